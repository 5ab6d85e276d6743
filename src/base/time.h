// Time of the decision logic: microseconds on a clock that counts suspended time and never goes back.

#pragma once

#include <chrono>

namespace rosemaryhinge {

using Duration = std::chrono::microseconds;

/// Tag of CLOCK_BOOTTIME. The decision logic never reads it: times arrive with events.
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
