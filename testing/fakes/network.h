// Network between proxies, servers, the store and callers: latency, partitions and misbehaving links.

#pragma once

#include "fakes/dice.h"
#include "fakes/eventqueue.h"
#include "fakes/layout.h"

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace rosemaryhinge::fakes {

/// Index of a machine on the network.
using Endpoint = std::uint32_t;

class FakeNetwork {
public:
  FakeNetwork(EventQueue &queue, Dice &dice, const Layout &layout)
      : Queue(queue), Random(dice), Plan(layout) {}

  Endpoint add(std::string name, Place place);
  [[nodiscard]] const std::string &name(Endpoint it) const { return Machines[it].Name; }
  [[nodiscard]] const Place &place(Endpoint it) const { return Machines[it].Where; }
  [[nodiscard]] std::size_t size() const { return Machines.size(); }

  /// Cuts every link between the two sides. OneWay loses only what goes from A to B. Returns the cut's id.
  std::uint32_t cut(const std::vector<Endpoint> &a, const std::vector<Endpoint> &b, bool oneWay = false);
  void heal(std::uint32_t cut);
  void healAll();
  [[nodiscard]] bool reaches(Endpoint from, Endpoint to) const;
  /// When a cut last touched the machine, also now. None if never.
  [[nodiscard]] TimePoint lastCutAt(Endpoint it) const;

  /// Delivers after the link's latency unless the link is cut at either end of the flight. Messages of one
  /// ordered stream (a TCP connection) keep their order. Lost runs if the message does not arrive.
  void send(Endpoint from, Endpoint to, EventQueue::Action deliver, bool ordered = true,
            EventQueue::Action lost = {});
  [[nodiscard]] Duration latency(Endpoint from, Endpoint to) const;

  /// Extra delay of each message, uniform up to this value. Unordered messages then overtake each other.
  Duration ExtraDelay{};
  /// Share of messages marked as unordered that are lost.
  double Loss = 0;
  std::uint64_t Lost = 0;
  std::uint64_t Sent = 0;

private:
  struct Machine {
    std::string Name;
    Place Where;
    TimePoint LastCut;
  };
  struct Cut {
    std::uint32_t Id = 0;
    std::vector<bool> A;
    std::vector<bool> B;
    bool OneWay = false;
  };
  void touch(const Cut &cut);

  EventQueue &Queue;
  Dice &Random;
  const Layout &Plan;
  std::vector<Machine> Machines;
  std::vector<Cut> Cuts;
  std::unordered_map<std::uint64_t, TimePoint> LastDelivery;
  std::uint32_t NextCut = 1;
};

} // namespace rosemaryhinge::fakes
