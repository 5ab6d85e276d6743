// Wall clock reading for the timestamps of journal records. Never used for decisions.

#pragma once

#include "base/time.h"

#include <cstdint>

namespace rosemaryhinge {

struct WallClockReading {
  TimePoint At; ///< Boot clock at the reading.
  std::int64_t MicrosSinceEpoch = 0;
  Duration Uncertainty{}; ///< The true time lies within the reading plus or minus this.
};

} // namespace rosemaryhinge
