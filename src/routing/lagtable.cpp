// Lag estimates.

#include "routing/lagtable.h"

#include <algorithm>

namespace rosemaryhinge {

namespace {
/// One part in this many of the difference is taken over when a replica seems to have fallen further behind.
constexpr int RiseDivisor = 8;
} // namespace

void LagTable::note(const GroupTable &groups, const GroupView &view, const TargetId &target,
                    const TargetView &replica) {
  if (!replica.SampledAt)
    return;
  auto it = Known.find(target);
  if (it != Known.end() && it->second.SampledAt >= *replica.SampledAt)
    return;
  auto current = groups.lastProvenCurrentAt(view, replica.Status.Log);
  if (!current)
    return;
  const auto seen = std::max(Duration{}, *replica.SampledAt - *current);
  if (it == Known.end()) {
    Known[target] = {*replica.SampledAt, seen};
    return;
  }
  auto &[sampledAt, lag] = it->second;
  sampledAt = *replica.SampledAt;
  // A replica that holds everything shows no lag while nothing is written, however slow it is.
  if (view.Samples.back().End <= replica.Status.Log)
    return;
  lag = seen < lag ? seen : lag + (seen - lag) / RiseDivisor;
}

std::optional<Duration> LagTable::find(const TargetId &target) const {
  auto it = Known.find(target);
  return it == Known.end() ? std::nullopt : std::optional(it->second.Lag);
}

} // namespace rosemaryhinge
