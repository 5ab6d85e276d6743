// Seeded random choices that are the same on every platform.

#pragma once

#include "base/time.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <random>

namespace rosemaryhinge::fakes {

class Dice {
public:
  explicit Dice(std::uint64_t seed) : Engine(seed) {}

  std::uint64_t next() { return Engine(); }
  /// Uniform in [0, bound); 0 for an empty range.
  std::uint64_t below(std::uint64_t bound) { return bound == 0 ? 0 : Engine() % bound; }
  /// Uniform in [0, 1).
  double unit() { return static_cast<double>(Engine() >> 11U) * 0x1p-53; }
  bool chance(double probability) { return unit() < probability; }
  Duration between(Duration low, Duration high) {
    return low + Duration(static_cast<std::int64_t>(
                     below(static_cast<std::uint64_t>(std::max<std::int64_t>((high - low).count() + 1, 1)))));
  }
  /// Exponentially distributed, as the gaps of independent arrivals are.
  Duration exponential(Duration mean) {
    return Duration(static_cast<std::int64_t>(-std::log(1.0 - unit()) * static_cast<double>(mean.count())));
  }

private:
  std::mt19937_64 Engine;
};

} // namespace rosemaryhinge::fakes
