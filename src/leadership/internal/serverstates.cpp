// Choice of the server to promote.

#include "leadership/internal/serverstates.h"

#include <algorithm>

namespace rosemaryhinge::detail {

Term highestTerm(const ServerStates &servers) {
  Term out = 0;
  for (const auto &[target, it] : servers)
    if (it.Status)
      out = std::max({out, it.Status->RaisedTerm, it.Status->Log.Term});
  return out;
}

std::optional<TargetId> mostUpToDate(const ServerStates &servers) {
  std::optional<TargetId> best;
  for (const auto &[target, it] : servers) {
    const bool may = it.Status && !it.Missing && (!it.FormerPrimary || it.SteppedDown) &&
                     (it.FormerPrimary || it.Status->Role == TargetRole::Replica);
    if (!may)
      continue;
    if (!best) {
      best = target;
      continue;
    }
    const auto &other = servers.at(*best);
    const auto rank = [](const ServerState &one) {
      return std::tuple(one.Status->Log, !one.Leaving, !one.FormerPrimary);
    };
    if (rank(it) > rank(other))
      best = target;
  }
  return best;
}

bool holdsAllCommits(const ServerStates &servers, const TargetId &candidate) {
  const auto self = servers.find(candidate);
  if (self == servers.end() || !self->second.Status)
    return false;
  const auto at = self->second.Status->Log;
  // The former primary's own log has everything that it acknowledged, once it acknowledges nothing more.
  for (const auto &[target, it] : servers)
    if (it.FormerPrimary && it.SteppedDown && it.Status && it.Status->Log <= at)
      return true;
  return std::all_of(servers.begin(), servers.end(), [&](const auto &one) {
    const auto &[target, it] = one;
    return target == candidate || it.FormerPrimary ||
           (!it.Missing && it.Paused && it.Status && it.Status->Log <= at);
  });
}

bool anyReplicaAdvances(const ServerStates &servers) {
  return std::any_of(servers.begin(), servers.end(), [](const auto &one) {
    const auto &it = one.second;
    return !it.FormerPrimary && it.Status && it.FirstPosition && it.Status->Log > *it.FirstPosition;
  });
}

std::optional<TargetId> newerPrimary(const ServerStates &servers) {
  const auto newest = highestTerm(servers);
  for (const auto &[target, it] : servers)
    if (!it.FormerPrimary && it.Status && it.Status->Role == TargetRole::Primary &&
        it.Status->Log.Term >= newest)
      return target;
  return std::nullopt;
}

} // namespace rosemaryhinge::detail
