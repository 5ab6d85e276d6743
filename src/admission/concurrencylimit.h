// Concurrency of one target: additive increase, multiplicative decrease on latency.

#pragma once

#include "base/time.h"

#include <cstdint>

namespace rosemaryhinge {

class ConcurrencyLimit {
public:
  /// An execution ended that took this long and usually takes usual. Capacity is the number of connections.
  void recordExecution(Duration took, Duration baseline, std::uint32_t capacity);
  [[nodiscard]] std::uint32_t limit(std::uint32_t capacity) const;

private:
  double CapacityFraction = 1; ///< Share of the capacity in use, in (0, 1].
  std::uint32_t Executions = 0;
  std::uint32_t SlowExecutions = 0; ///< Of Seen.
};

} // namespace rosemaryhinge
