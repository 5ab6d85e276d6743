// The rule by which reads go to replicas.

#include "routing/replicarule.h"

#include "session/coverage.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace rosemaryhinge {

namespace {

/// Holders query their servers several times in this time; an older sample says little.
constexpr Duration RecentSample = 1s;

/// Time at which the replica is expected to hold the token: when the primary first showed it, plus the lag.
std::optional<TimePoint> expectedAt(const GroupView &view, Position token, std::optional<Duration> lag,
                                    TimePoint now) {
  if (!lag)
    return std::nullopt;
  auto it = std::find_if(view.Samples.begin(), view.Samples.end(), [&](const PrimarySample &sample) {
    return covers(sample.End, token, view.Group.History);
  });
  return (it == view.Samples.end() ? now : it->At) + *lag;
}

/// Latest time at which a majority of the servers is known not to have gone on to a later term. A primary
/// that was cut off still calls itself current, so its samples prove nothing after this time.
std::optional<TimePoint> termConfirmedAt(const GroupView &view) {
  std::vector<TimePoint> times;
  for (const auto &[target, server] : view.Targets)
    if (server.SampledAt && server.Status.RaisedTerm == view.Group.Term)
      times.push_back(*server.SampledAt);
  const auto need = view.Group.majority();
  if (times.size() < need)
    return std::nullopt;
  std::sort(times.begin(), times.end(), std::greater<>());
  return times[need - 1];
}

} // namespace

bool satisfies(const GroupTable &groups, const GroupView &view, Position at, const ReadNeed &need,
               TimePoint asked, const Rules &rules) {
  if (!rules.ReadYourWrites)
    return true;
  // A server that has not yet undone what a change of primary discarded shows data that nobody else will see.
  if (!survives(at, view.Group.History))
    return false;
  if (need.Token && !covers(at, *need.Token, view.Group.History))
    return false;
  if (!need.MaxAge)
    return true;
  const auto current = need.FromPrimaryAt ? need.FromPrimaryAt : groups.lastProvenCurrentAt(view, at);
  const auto confirmed = termConfirmedAt(view);
  return current && confirmed && asked - std::min(*current, *confirmed) < *need.MaxAge;
}

ReplicaVerdict mayReadFromReplica(const GroupTable &groups, const GroupView &view, const TargetView &replica,
                                  const ReadNeed &need, std::optional<Duration> lag, TimePoint now,
                                  const Rules &rules, ReadPolicy policy) {
  if (policy == ReadPolicy::StickyPrimary && need.Token)
    return ReplicaVerdict::No;
  if (!replica.SampledAt)
    return ReplicaVerdict::Unknown;
  if (satisfies(groups, view, replica.Status.Log, need, now, rules))
    return ReplicaVerdict::Yes;
  if (now - *replica.SampledAt > RecentSample)
    return ReplicaVerdict::Unknown;
  if (!need.Token || need.Wait <= Duration{} || !survives(replica.Status.Log, view.Group.History))
    return ReplicaVerdict::No;
  auto expected = expectedAt(view, *need.Token, lag, now);
  return expected && *expected <= now + need.Wait ? ReplicaVerdict::Soon : ReplicaVerdict::No;
}

} // namespace rosemaryhinge
