// Choice of the server to promote.

#include "leadership/internal/serverstates.h"

#include <algorithm>

namespace rosemaryhinge::detail {

namespace {

std::string describe(const ServerState &it) {
  std::string out = it.Status ? toString(it.Status->Log) : "unknown";
  out += it.FormerPrimary ? "/former" : "";
  out += it.SteppedDown ? "/stepped_down" : "";
  out += it.Paused ? "/paused" : it.Settled ? "/settled" : "";
  out += it.Leaving ? "/leaving" : "";
  out += it.Missing ? "/missing" : "";
  return out;
}

} // namespace

std::string toString(Position position) {
  return std::to_string(position.Term) + "." + std::to_string(position.Lsn);
}

std::string describe(const ServerStates &servers) {
  std::string out;
  for (const auto &[target, it] : servers)
    out += (out.empty() ? "" : ",") + target.str() + ":" + describe(it);
  return out;
}

Term highestLogTerm(const ServerStates &servers) {
  Term out = 0;
  for (const auto &[target, it] : servers)
    if (it.Status)
      out = std::max(out, it.Status->Log.Term);
  return out;
}

Term highestTerm(const ServerStates &servers) {
  Term out = highestLogTerm(servers);
  for (const auto &[target, it] : servers)
    if (it.Status)
      out = std::max(out, it.Status->RaisedTerm);
  return out;
}

std::optional<TargetId> mostUpToDate(const ServerStates &servers, const TargetId &preferred) {
  std::optional<TargetId> best;
  const auto rank = [&](const TargetId &target) {
    const auto &it = servers.at(target);
    return std::tuple(it.Status->Log, !it.Leaving, !it.FormerPrimary, target == preferred);
  };
  for (const auto &[target, it] : servers) {
    const bool mayLead = it.Status && !it.Missing && (!it.FormerPrimary || it.SteppedDown) &&
                         (it.FormerPrimary || it.Status->Role == TargetRole::Replica);
    if (mayLead && (!best || rank(target) > rank(*best)))
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
    if (it.FormerPrimary && it.SteppedDown && it.Status && it.Status->Log <= at &&
        it.Status->Log.Term >= highestLogTerm(servers))
      return true;
  return std::all_of(servers.begin(), servers.end(), [&](const auto &one) {
    const auto &[target, it] = one;
    return target == candidate || it.FormerPrimary ||
           (!it.Missing && it.Paused && it.Status && it.Status->Log <= at);
  });
}

bool allReplicasPaused(const ServerStates &servers) {
  return std::all_of(servers.begin(), servers.end(), [](const auto &one) {
    const auto &it = one.second;
    return it.FormerPrimary || (!it.Missing && it.Paused);
  });
}

std::optional<TargetId> bestAfterStepDown(const ServerStates &servers, const TargetId &preferred,
                                          bool othersCount) {
  ServerStates settled;
  std::optional<Position> formerLog;
  bool all = true;
  for (const auto &[target, it] : servers) {
    if (it.FormerPrimary)
      formerLog = it.Status ? std::optional(it.Status->Log) : std::nullopt;
    else if (it.Settled && !it.Missing)
      settled.emplace(target, it);
    else
      all = false;
  }
  const auto best = mostUpToDate(settled, preferred);
  const bool holdsFormerLog = best && formerLog && settled.at(*best).Status->Log >= *formerLog &&
                              formerLog->Term >= highestLogTerm(servers);
  return all || holdsFormerLog || !othersCount ? best : std::nullopt;
}

bool listedSettled(const ServerStates &servers) {
  return std::all_of(servers.begin(), servers.end(), [](const auto &one) {
    const auto &it = one.second;
    return it.FormerPrimary || it.Missing || it.Settled;
  });
}

bool anyReplicaAdvances(const ServerStates &servers) {
  return std::any_of(servers.begin(), servers.end(), [](const auto &one) {
    const auto &it = one.second;
    return !it.FormerPrimary && it.Status && it.FirstPosition && it.Status->Log > *it.FirstPosition;
  });
}

std::optional<TargetId> newerPrimary(const ServerStates &servers) {
  Term newest = highestLogTerm(servers);
  for (const auto &[target, it] : servers)
    if (it.Status && !it.Paused && !it.Status->Paused)
      newest = std::max(newest, it.Status->RaisedTerm);
  for (const auto &[target, it] : servers)
    if (!it.FormerPrimary && it.Status && it.Status->Role == TargetRole::Primary &&
        it.Status->RaisedTerm >= newest)
      return target;
  return std::nullopt;
}

} // namespace rosemaryhinge::detail
