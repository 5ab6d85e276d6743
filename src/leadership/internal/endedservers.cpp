// Replicas that ended together with their logs during or before a change of primary.
//
// Such a replica may have held the only copy of an acknowledged commit besides the primary's. A log stands in
// for it if it reaches a position that the primary told after the replica had ended: that covers each commit
// that the replica can have acknowledged. The log of a former primary that has stepped down does, too.
// Without such a log, the proxies tell what they have reported.

#include "leadership/leadershipmodule.h"

#include <algorithm>

namespace rosemaryhinge {

namespace {

/// Time for a primary that is away to come back and cover what a replica that ended has acknowledged. One
/// that crashes is back, or replaced, well before.
constexpr Duration EndedServerTimeout = 60s;
/// Time for a proxy that does not answer to tell what it has reported, where nothing else covers what a
/// server that ended has acknowledged. Above the length of most suspensions, restarts and cuts.
constexpr Duration SilentProxyTimeout = 6s;

} // namespace

void LeadershipModule::recordCoveringPositions(Run &run) {
  auto &covered = run.Change.CoveredBy;
  const auto ended = run.Services.Catalog.missingServers(run.Service);
  std::erase_if(covered, [&](const auto &one) {
    return std::none_of(ended.begin(), ended.end(), [&](const MissingServer &it) {
      return it.Target == one.first && it.Since == one.second.EndedAt;
    });
  });
  for (const auto &it : ended)
    if (!covered.contains(it.Target))
      if (const auto position = run.Services.Sessions.positionCovering(run.Service, it.Since))
        covered.emplace(it.Target, detail::CoveringPosition{it.Since, *position});
}

bool LeadershipModule::primaryMayReturn(const Run &run) {
  const auto &catalog = run.Services.Catalog;
  const auto &from = run.Change.Reason.From;
  const auto &servers = run.Change.Servers;
  const auto known = servers.find(from);
  // One that led an earlier term only covers nothing.
  const bool outdated = known != servers.end() && known->second.SteppedDown && known->second.Status &&
                        known->second.Status->Log.Term < detail::highestLogTerm(servers);
  if (catalog.server(from) && !outdated)
    return true;
  const auto ended = catalog.missingServers(run.Service);
  return std::any_of(ended.begin(), ended.end(), [&](const MissingServer &it) {
    return (it.WasPrimary || it.Target == from) && !it.Announced;
  });
}

bool LeadershipModule::proxiesSilent(const Run &run) {
  const auto &fence = run.Change.Fence;
  const bool complete = fence.started() && fence.allKnown() && fence.silent(run.Ctx.Now).empty();
  return run.Services.Fleet.enabled() && !complete;
}

void LeadershipModule::refreshEndedServers(Run &run) {
  auto &change = run.Change;
  const auto timeout = primaryMayReturn(run) ? EndedServerTimeout
                       : proxiesSilent(run)  ? SilentProxyTimeout
                                             : Duration{};
  for (const auto &it : run.Services.Catalog.missingServers(run.Service)) {
    const auto covered = change.CoveredBy.find(it.Target);
    std::string why;
    if (it.WasPrimary || it.Target == change.Reason.From)
      why = "it was the primary";
    else if (covered != change.CoveredBy.end())
      why = "covered by " + detail::toString(covered->second.At);
    else if (run.Ctx.Now - it.Since >= timeout)
      why = "nothing covers it any more";
    if (why.empty()) {
      change.Servers[it.Target].Missing = true;
      continue;
    }
    logPassedOver(run, it, why);
    if (const auto known = change.Servers.find(it.Target); known != change.Servers.end()) {
      requireLog(change, known->second);
      change.Servers.erase(known);
    }
  }
}

Position LeadershipModule::endedServersPosition(const Run &run) {
  Position out;
  for (const auto &[target, it] : run.Change.CoveredBy)
    out = std::max(out, it.At);
  return out;
}

} // namespace rosemaryhinge
