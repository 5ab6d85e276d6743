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
  refreshServerStates(run);
  return stopped(run) && coverageOf(run, run.Change.Candidate) != detail::Coverage::Uncompared;
}

void LeadershipModule::holdServers(Run &run) {
  auto &change = run.Change;
  logJoinedServers(run);
  refreshServerStates(run);
  if (change.SteppedDownAt)
    return;
  for (const auto &[target, it] : change.Servers) {
    if (it.Missing || target == change.Candidate || !requestDue(run, target, HoldInterval))
      continue;
    if (it.FormerPrimary || run.Services.Catalog.primary(run.Service) == target)
      sendRequest(run, target, Order::StepDown);
    else
      sendRequest(run, target, it.Paused ? Order::ReadStatus : Order::Pause);
  }
}

} // namespace rosemaryhinge
