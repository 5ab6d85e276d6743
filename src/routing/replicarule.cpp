// Implementation of the replica read rule.

#include "routing/replicarule.h"

#include "session/coverage.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace rosemaryhinge {

namespace {

/// Slot holders query their servers several times in this period, so an older sample is outdated.
constexpr Duration MaxSampleAge = 1s;

/// Time at which the replica is expected to reach the token: when the primary was first seen at it, plus the
/// lag.
std::optional<TimePoint> expectedAt(const GroupView &view, Position token, std::optional<Duration> lag,
                                    TimePoint now) {
  if (!lag)
    return std::nullopt;
  auto it = std::find_if(view.Samples.begin(), view.Samples.end(), [&](const PrimarySample &sample) {
    return covers(sample.End, token, view.Group.History);
  });
  return (it == view.Samples.end() ? now : it->At) + *lag;
}

/// Latest time at which a majority of the servers is known not to have moved to a later term. A partitioned
/// primary still reports itself as current, so its samples prove nothing after this time.
std::optional<TimePoint> termConfirmedAt(const GroupView &view) {
  std::vector<TimePoint> times;
  for (const auto &[target, server] : view.Targets)
    if (server.SampledAt && server.Status.RaisedTerm == view.Group.Term)
      times.push_back(*server.SampledAt);
  const auto majority = view.Group.majority();
  if (times.size() < majority)
    return std::nullopt;
  std::sort(times.begin(), times.end(), std::greater<>());
  return times[majority - 1];
}

} // namespace

bool satisfies(const GroupTable &groups, const GroupView &view, Position at,
               const ReadRequirement &requirement, TimePoint sentAt, const Rules &rules) {
  if (!rules.ReadYourWrites)
    return true;
  // A server that has not yet rolled back writes discarded in a change of primary shows data that exists
  // nowhere else.
  if (!isRetained(at, view.Group.History))
    return false;
  if (requirement.Token && !covers(at, *requirement.Token, view.Group.History))
    return false;
  if (!requirement.MaxAge)
    return true;
  const auto current =
      requirement.ReadFromPrimaryAt ? requirement.ReadFromPrimaryAt : groups.lastProvenCurrentAt(view, at);
  const auto confirmed = termConfirmedAt(view);
  return current && confirmed && sentAt - std::min(*current, *confirmed) < *requirement.MaxAge;
}

ReplicaVerdict mayReadFromReplica(const GroupTable &groups, const GroupView &view, const TargetView &replica,
                                  const ReadRequirement &requirement, std::optional<Duration> lag,
                                  TimePoint now, const Rules &rules, ReadPolicy policy) {
  if (policy == ReadPolicy::StickyPrimary && requirement.Token)
    return ReplicaVerdict::No;
  if (!replica.SampledAt)
    return ReplicaVerdict::Unknown;
  if (satisfies(groups, view, replica.Status.Log, requirement, now, rules))
    return ReplicaVerdict::Yes;
  if (now - *replica.SampledAt > MaxSampleAge)
    return ReplicaVerdict::Unknown;
  if (!requirement.Token || requirement.MaxWait <= Duration{} ||
      !isRetained(replica.Status.Log, view.Group.History))
    return ReplicaVerdict::No;
  auto expected = expectedAt(view, *requirement.Token, lag, now);
  return expected && *expected <= now + requirement.MaxWait ? ReplicaVerdict::Soon : ReplicaVerdict::No;
}

} // namespace rosemaryhinge
