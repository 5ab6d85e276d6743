// Baseline of the measurement: every proxy watches the settings object in the store.

#pragma once

#include "spread/fleetoptions.h"

namespace rosemaryhinge::spread {

struct BaselineFigures {
  double InForceMs = 0;
  double BytesPerNodeS = 0;
  double StoreCallsPerS = 0;
};

/// A store that answers 2,000 reads a second answers the watches one after the other.
[[nodiscard]] BaselineFigures everyProxyWatches(const FleetOptions &options, Duration changeInterval,
                                                std::size_t objectBytes);

} // namespace rosemaryhinge::spread
