// Virtual clock and queue of what is due: the only source of time in a simulated run.

#pragma once

#include "base/time.h"

#include <cstdint>
#include <functional>
#include <vector>

namespace rosemaryhinge::fakes {

class EventQueue {
public:
  using Action = std::function<void()>;

  [[nodiscard]] TimePoint now() const { return Now; }
  /// Runs the action at the given time, or at once if that has passed. Equal times run in order of entry.
  void at(TimePoint time, Action action);
  void after(Duration delay, Action action) { at(Now + delay, std::move(action)); }
  /// Runs everything that is due up to and including the time, and sets the clock to it.
  void runUntil(TimePoint time);
  /// Number of actions run so far.
  [[nodiscard]] std::uint64_t steps() const { return Steps; }

private:
  struct Item {
    TimePoint At;
    std::uint64_t Order = 0;
    Action Run;
  };
  static bool later(const Item &a, const Item &b) { return a.At != b.At ? a.At > b.At : a.Order > b.Order; }

  std::vector<Item> Heap;
  TimePoint Now{};
  std::uint64_t NextOrder = 0;
  std::uint64_t Steps = 0;
};

} // namespace rosemaryhinge::fakes
