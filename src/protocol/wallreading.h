// Wall clock readings.

#pragma once

#include "base/time.h"

#include <cstdint>

namespace rosemaryhinge {

/// A reading of the wall clock, supplied by the daemon. Used for records only, never for decisions.
struct WallReading {
  TimePoint At; ///< Boot clock at the reading.
  std::int64_t MicrosSinceEpoch = 0;
  Duration Uncertainty{}; ///< The true time lies within the reading plus or minus this.
};

} // namespace rosemaryhinge
