// The platform's object API: versions, conditional updates, watches and the lagging list of VMs.

#pragma once

#include "fakes/dice.h"
#include "fakes/eventqueue.h"
#include "fakes/network.h"
#include "protocol/platform.h"

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <string>

namespace rosemaryhinge::fakes {

using PlatformResult = decltype(PlatformAnswer::Result);

class FakeStore {
public:
  using Reply = std::function<void(PlatformResult)>;

  FakeStore(EventQueue &queue, Dice &dice, Endpoint place) : Where(place), Queue(queue), Random(dice) {}

  /// A call that has reached the store. Reply sends the answer back; it is not run if the answer is lost.
  void handle(const PlatformCall &call, Reply reply);

  [[nodiscard]] ObjectValue read(const std::string &key) const;
  /// Conditional update made directly, by a rival or by the set-up of a run.
  PlatformResult write(const PutObject &put);

  /// Enters a VM in the list, or changes its state; the list shows it after ListLag.
  void setVm(const NodeId &vm, bool leaving);
  void removeVm(const NodeId &vm);
  [[nodiscard]] bool listedLeaving(const NodeId &vm) const;

  Endpoint Where;
  bool Down = false;
  Duration Slow{};       ///< Added to each call.
  double LoseAnswer = 0; ///< Share of conditional updates whose answer is lost after the effect.
  Duration ListLag = 500ms;

  // Counts of calls, for the capacity figures.
  std::uint64_t Reads = 0;
  std::uint64_t Writes = 0;
  std::uint64_t Lists = 0;
  std::uint64_t Watches = 0;
  std::uint64_t AnswersLost = 0;
  std::uint64_t Refused = 0; ///< Calls during an outage.
  std::function<void(const std::string &key, const ObjectValue &value)> OnChange;

private:
  struct Watch {
    std::uint64_t Id = 0;
    std::string Key;
    ObjectVersion Above = 0;
    Reply Answer;
  };
  void act(const PlatformCall &call, const Reply &reply);
  void watch(const WatchObject &request, Duration timeout, const Reply &reply);
  void notify(const std::string &key);

  EventQueue &Queue;
  Dice &Random;
  std::map<std::string, ObjectValue> Objects;
  std::map<NodeId, bool> Vms;
  std::list<Watch> Pending;
  std::uint64_t NextWatch = 1;
};

} // namespace rosemaryhinge::fakes
