// Implementation of the replication lag estimates.

#include "routing/lagtable.h"

#include <algorithm>

namespace rosemaryhinge {

namespace {
/// When the observed lag is above the estimate, the estimate rises by 1 / LagRiseDivisor of the difference.
constexpr int LagRiseDivisor = 8;
} // namespace

void LagTable::update(const GroupTable &groups, const GroupView &view, const TargetId &target,
                      const TargetView &replica) {
  if (!replica.SampledAt)
    return;
  auto it = Estimates.find(target);
  if (it != Estimates.end() && it->second.SampledAt >= *replica.SampledAt)
    return;
  auto current = groups.lastProvenCurrentAt(view, replica.Status.Log);
  if (!current)
    return;
  const auto observed = std::max(Duration{}, *replica.SampledAt - *current);
  if (it == Estimates.end()) {
    Estimates[target] = {*replica.SampledAt, observed};
    return;
  }
  auto &[sampledAt, lag] = it->second;
  sampledAt = *replica.SampledAt;
  // While nothing is written, an up-to-date replica shows no lag, however slowly it replicates.
  if (view.Samples.back().End <= replica.Status.Log)
    return;
  lag = observed < lag ? observed : lag + (observed - lag) / LagRiseDivisor;
}

std::optional<Duration> LagTable::find(const TargetId &target) const {
  auto it = Estimates.find(target);
  return it == Estimates.end() ? std::nullopt : std::optional(it->second.Lag);
}

} // namespace rosemaryhinge
