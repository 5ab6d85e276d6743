// Medians over the latest durations.

#include "admission/classmeter.h"

#include <algorithm>

namespace rosemaryhinge {

namespace {
constexpr Duration DefaultExpected = 5ms;
/// The low-load duration takes over one part in this many of a rise, so that a load peak does not redefine
/// it.
constexpr int RiseDivisor = 64;
} // namespace

void ClassMeter::record(Duration took) {
  Window[Count++ % WindowSize] = took;
  auto median = p50();
  if (!median)
    return;
  Baseline = !Baseline || *median < *Baseline ? *median : *Baseline + (*median - *Baseline) / RiseDivisor;
}

std::optional<Duration> ClassMeter::p50() const {
  const auto n = std::min(Count, WindowSize);
  if (n < MinSamples)
    return std::nullopt;
  auto sorted = Window;
  auto mid = sorted.begin() + static_cast<std::ptrdiff_t>(n / 2);
  std::nth_element(sorted.begin(), mid, sorted.begin() + static_cast<std::ptrdiff_t>(n));
  return *mid;
}

Duration ClassMeter::expected() const { return p50().value_or(DefaultExpected); }

Lane ClassMeter::lane(Lane declared, Duration longAfter) {
  if (auto median = p50()) {
    // Half the limit on the way back, so that a class near it does not alternate.
    MovedToLong = MovedToLong ? *median > longAfter / 2 : *median > longAfter;
  }
  return MovedToLong ? Lane::Long : declared;
}

} // namespace rosemaryhinge
