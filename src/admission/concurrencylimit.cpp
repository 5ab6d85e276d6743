// AIMD on latency.

#include "admission/concurrencylimit.h"

#include <algorithm>
#include <cmath>

namespace rosemaryhinge {

namespace {

/// Decisions fall once per this many executions, so that single outliers change nothing.
constexpr std::uint32_t DecisionEvery = 16;
/// An execution is slow when it takes more than SlowFactor times the usual time plus SlowMargin.
constexpr int SlowFactor = 2;
constexpr Duration SlowMargin = 5ms;
constexpr double Decrease = 0.8;
/// Below a quarter of the connections a server's latency is not caused by this proxy.
constexpr double MinShare = 0.25;

} // namespace

void ConcurrencyLimit::finished(Duration took, Duration usual, std::uint32_t capacity) {
  ++Seen;
  if (took > SlowFactor * usual + SlowMargin)
    ++Slow;
  if (Seen < DecisionEvery || capacity == 0)
    return;
  Reduction = Slow * 2 > Seen ? Reduction * Decrease : Reduction + 1.0 / capacity;
  Reduction = std::clamp(Reduction, MinShare, 1.0);
  Seen = 0;
  Slow = 0;
}

std::uint32_t ConcurrencyLimit::limit(std::uint32_t capacity) const {
  return std::min(capacity, std::max(2U, static_cast<std::uint32_t>(std::ceil(capacity * Reduction))));
}

} // namespace rosemaryhinge
