// Time types of the decision logic: microseconds of a monotonic clock that includes time spent suspended.

#pragma once

#include <chrono>

namespace rosemaryhinge {

using Duration = std::chrono::microseconds;

/// Clock type for CLOCK_BOOTTIME. The decision logic never reads the clock: times arrive with events.
struct BootClock {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady = true;
};

using TimePoint = BootClock::time_point;

using namespace std::chrono_literals;

} // namespace rosemaryhinge
