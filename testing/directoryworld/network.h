// Simulated links of VMs: bandwidth that all transfers of a VM share, delay, and partitions.

#pragma once

#include "base/time.h"
#include "fakes/eventqueue.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <vector>

namespace rosemaryhinge::directoryworld {

/// Number of a VM in the network.
using VmIndex = std::size_t;

class Network {
public:
  using Delivery = std::function<void()>;

  explicit Network(fakes::EventQueue &queue) : Queue(queue) {}

  VmIndex add(double megabitsPerSecond);
  /// Sends a message. Messages from one VM to another arrive in order; those to different VMs share the
  /// bandwidth of the sender.
  void send(VmIndex from, VmIndex to, std::size_t bytes, Delivery delivery);
  /// Receives an answer of the store: only the bandwidth of the receiver counts.
  void receive(VmIndex to, std::size_t bytes, Delivery delivery);
  /// Cuts a VM off from all others, or ends that. What was sent meanwhile arrives after the end.
  void cut(VmIndex vm, bool on);
  [[nodiscard]] bool isCut(VmIndex vm) const { return Vms[vm].Cut; }
  /// Forgets what a VM has not sent yet: its process has ended.
  void clear(VmIndex vm);

  static constexpr Duration Delay = 1ms;
  /// Bytes of one transfer that are sent before the next one has its turn.
  static constexpr std::size_t SegmentBytes = 16'384;
  /// Time after the end of a cut until the sender tries again what was held up.
  static constexpr Duration RetransmissionDelay = 800ms;

private:
  struct Message {
    std::size_t BytesLeft = 0;
    Delivery Arrive;
  };
  /// What arrives at the end of a cut.
  struct HeldMessage {
    VmIndex From = 0;
    VmIndex To = 0;
    Delivery Arrive;
  };
  struct Vm {
    double BytesPerSecond = 0;
    std::map<VmIndex, std::deque<Message>> Transfers; ///< By receiver; none is empty.
    std::deque<VmIndex> Turns;                        ///< Receivers in the order of their turns.
    bool Sending = false;
    TimePoint ReceivingUntil;
    bool Cut = false;
  };
  void sendSegment(VmIndex from);
  void deliver(VmIndex from, VmIndex to, Delivery delivery);
  static Duration transferTime(const Vm &vm, std::size_t bytes);

  fakes::EventQueue &Queue;
  std::vector<Vm> Vms;
  std::vector<HeldMessage> Held;
};

} // namespace rosemaryhinge::directoryworld
