// Lag estimates.

#include "routing/lagtable.h"

#include <algorithm>

namespace rosemaryhinge {

namespace {
/// One part in this many of the difference is taken over when a replica seems to have fallen further behind.
constexpr int LagRiseDivisor = 8;
} // namespace

void LagTable::update(const GroupTable &groups, const GroupView &view, const TargetId &target,
                      const TargetView &replica) {
  if (!replica.SampledAt)
    return;
  auto it = Estimates.find(target);
  if (it != Estimates.end() && it->second.SampledAt >= *replica.SampledAt)
    return;
  auto current = groups.currentAt(view, replica.Status.Log);
  if (!current)
    return;
  const auto observed = std::max(Duration{}, *replica.SampledAt - *current);
  if (it == Estimates.end()) {
    Estimates[target] = {*replica.SampledAt, observed};
    return;
  }
  auto &[sampledAt, lag] = it->second;
  sampledAt = *replica.SampledAt;
  // A replica that holds everything shows no lag while nothing is written, however slow it is.
  if (view.Samples.back().End <= replica.Status.Log)
    return;
  lag = observed < lag ? observed : lag + (observed - lag) / LagRiseDivisor;
}

std::optional<Duration> LagTable::find(const TargetId &target) const {
  auto it = Estimates.find(target);
  return it == Estimates.end() ? std::nullopt : std::optional(it->second.Lag);
}

} // namespace rosemaryhinge
