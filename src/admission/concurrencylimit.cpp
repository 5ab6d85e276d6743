// AIMD on latency.

#include "admission/concurrencylimit.h"

#include <algorithm>
#include <cmath>

namespace rosemaryhinge {

namespace {

/// Decisions fall once per this many executions, so that single outliers change nothing.
constexpr std::uint32_t ExecutionsPerDecision = 16;
/// An execution is slow when it takes more than SlowFactor times the usual time plus SlowMargin.
constexpr int SlowFactor = 2;
constexpr Duration SlowMargin = 5ms;
constexpr double Decrease = 0.8;
/// Below a quarter of the connections a server's latency is not caused by this proxy.
constexpr double MinShare = 0.25;

} // namespace

void ConcurrencyLimit::recordExecution(Duration took, Duration baseline, std::uint32_t capacity) {
  ++Executions;
  if (took > SlowFactor * baseline + SlowMargin)
    ++SlowExecutions;
  if (Executions < ExecutionsPerDecision || capacity == 0)
    return;
  CapacityFraction =
      SlowExecutions * 2 > Executions ? CapacityFraction * Decrease : CapacityFraction + 1.0 / capacity;
  CapacityFraction = std::clamp(CapacityFraction, MinShare, 1.0);
  Executions = 0;
  SlowExecutions = 0;
}

std::uint32_t ConcurrencyLimit::limit(std::uint32_t capacity) const {
  return std::min(capacity, std::max(2U, static_cast<std::uint32_t>(std::ceil(capacity * CapacityFraction))));
}

} // namespace rosemaryhinge
