// What may be acknowledged between the choice of a server and the effect of its promotion.
//
// The choice holds for the servers that were compared. A server that joins afterwards, a replica whose pause
// ends, or a former primary that can be reached again may acknowledge commits that the chosen server lacks.
// Before the order, the choice is made again; after it, they are stopped.

#include "leadership/leadershipmodule.h"

namespace rosemaryhinge {

namespace {

/// Interval at which servers that may acknowledge commits are stopped or asked again.
constexpr Duration HoldInterval = 100ms;

} // namespace

bool LeadershipModule::choiceStands(Run &run) {
  logJoinedServers(run);
  refreshServerStates(run);
  return stopped(run) && coverageOf(run, run.Change.Candidate) != detail::Coverage::Uncompared &&
         positionToCover(run) <= run.Change.CoveredPosition;
}

void LeadershipModule::verifyPauses(Run &run) {
  for (const auto &[target, it] : run.Change.Servers)
    if (it.Paused && !it.Missing && requestDue(run, target, HoldInterval))
      sendRequest(run, target, Order::ReadStatus);
}

void LeadershipModule::verifyStepDown(Run &run) {
  const auto &from = run.Change.Reason.From;
  if (run.Change.Servers.contains(from) && requestDue(run, from, HoldInterval))
    sendRequest(run, from, Order::ReadStatus);
}

void LeadershipModule::holdServers(Run &run) {
  auto &change = run.Change;
  if (!change.Claim.held(run.Ctx.Now))
    return;
  logJoinedServers(run);
  refreshServerStates(run);
  if (change.SteppedDownAt) {
    // A former primary that is promoted again leads by this change's own order.
    if (change.Candidate != change.Reason.From && formerReachable(run))
      verifyStepDown(run);
    return;
  }
  verifyPauses(run);
  for (const auto &[target, it] : change.Servers) {
    if (it.Missing || it.Paused || target == change.Candidate || !requestDue(run, target, HoldInterval))
      continue;
    const bool mayLead =
        it.FormerPrimary || run.Services.Catalog.server(target)->Entry.Role == TargetRole::Primary;
    sendRequest(run, target, mayLead ? Order::StepDown : Order::Pause);
  }
}

} // namespace rosemaryhinge
