// Requests to the servers of a service during a change of primary, and what their answers tell.

#include "leadership/internal/pauses.h"
#include "leadership/leadershipmodule.h"

#include <algorithm>
#include <utility>

namespace rosemaryhinge {

namespace {

/// A request to a server that has no answer is sent again on another link.
constexpr Duration RequestTimeout = 600ms;
/// An order that a server has carried out is not repeated within this time.
constexpr Duration OrderInterval = 100ms;
/// Interval at which a replica that has to receive more is queried.
constexpr Duration QueryInterval = 20ms;

} // namespace

bool LeadershipModule::sendRequest(Run &run, const TargetId &target, Order order) {
  auto &[ctx, services, service, change] = run;
  auto it = change.Requests.find(target);
  if (it != change.Requests.end() && it->second.Sent) {
    if (ctx.Now - it->second.SentAt < RequestTimeout)
      return false;
    ctx.emit(Count{"orders_unanswered_total"});
    services.Links.close(ctx, it->second.Link, true);
    change.Requests.erase(it);
    it = change.Requests.end();
    forgetState(change, target);
  }
  const bool repeated = it != change.Requests.end() && it->second.CarriedOut && it->second.Order == order;
  if (repeated && order != Order::ReadStatus && ctx.Now - it->second.SentAt < OrderInterval)
    return false;
  if (it == change.Requests.end()) {
    const auto link = services.Links.acquire(target, {SessionId(), true}, {}, ctx.Now);
    if (!link) {
      services.Links.reserveForChange(target, ctx.Now);
      services.Links.openLinks(ctx, services.Catalog, target, 1, LinkPurpose::Control);
      return false;
    }
    it = change.Requests.emplace(target, detail::ServerRequest{*link, false, false, order, {}}).first;
  }
  auto &request = it->second;
  request.Sent = true;
  request.CarriedOut = false;
  request.Order = order;
  request.SentAt = ctx.Now;
  ctx.emit(Count{order == Order::ReadStatus ? "status_queries_total" : "orders_total"});
  if (order == Order::ReadStatus) {
    services.Links.send(ctx, request.Link, {ReadServerStatus{}});
    return true;
  }
  if (order == Order::Resume) {
    services.Links.send(ctx, request.Link, {ResumeReplica{}});
    return true;
  }
  if (change.OrderTerm == 0)
    change.OrderTerm = detail::highestTerm(change.Servers) + 1;
  if (order == Order::StepDown) {
    change.StepDownSent = change.StepDownSent || target == change.Reason.From;
    services.Links.send(ctx, request.Link, {StepDownPrimary{change.OrderTerm}});
    return true;
  }
  change.PausedByThisProxy.insert(target);
  services.Links.send(ctx, request.Link, {PauseReplica{change.OrderTerm}});
  return true;
}

void LeadershipModule::onReply(Context &ctx, LeadershipServices &services, const LinkPool::Reply &reply,
                               const LinkReplied &event) {
  const auto it = Changes.find(reply.Service);
  if (it == Changes.end())
    return;
  Run run{ctx, services, it->first, it->second};
  auto &change = run.Change;
  const auto found = change.Requests.find(reply.Target);
  if (found == change.Requests.end() || found->second.Link != event.Link)
    return;
  auto &request = found->second;
  request.Sent = false;
  const bool selecting = change.State == Phase::SelectingCandidate;
  if (request.Order == Order::Resume && !selecting) {
    change.PausedByThisProxy.erase(reply.Target);
    return;
  }
  if (change.State < Phase::SelectingCandidate) {
    // The answer to an order for another proxy, or to a question whether the primary answers.
    const bool stepDown = request.Order == Order::StepDown;
    releaseRequests(run);
    if (stepDown && event.Status)
      onStepDownForHolder(run, reply.Target, *event.Status);
    return;
  }
  if (change.State > Phase::AwaitingPrimary)
    return;
  if (!event.Status) {
    const auto *why = std::get_if<StatementRejection>(&event.Outcome);
    // The term may have been too low. The next order gets a higher one, unless a promotion is on its way: a
    // pause for a term above that of the new primary would outlast it.
    if (selecting)
      change.OrderTerm = 0;
    ctx.emit(
        Log{LogLevel::Info,
            "order refused",
            {{"server", reply.Target.str()}, {"why", why ? std::string(toString(why->Code)) : "no status"}}});
    return;
  }
  request.CarriedOut = true;
  recordStatus(run, reply.Target, request, *event.Status);
  if (selecting)
    selectCandidate(run);
}

void LeadershipModule::recordStatus(Run &run, const TargetId &target, const detail::ServerRequest &request,
                                    const TargetStatus &status) {
  auto &change = run.Change;
  const auto now = run.Ctx.Now;
  auto &server = change.Servers[target];
  const bool replica = status.Role == TargetRole::Replica;
  if (server.Paused && request.Order == Order::ReadStatus) {
    // The log of a paused replica does not change.
    if (!replica || status.Paused || !server.Status || !server.Status->Paused)
      return;
    logEndedPause(run, target, server, status);
    server.Paused = false;
    server.Settled = false;
    change.OthersPausedAt.reset();
    change.AllPausedAt.reset();
  }
  if (server.SteppedDown && !replica) {
    forgetStepDown(change);
    change.OrderTerm = 0;
  }
  server.Status = status;
  if (!server.FirstPosition)
    server.FirstPosition = status.Log;
  if (change.AllPositionsKnownAt && now - *change.AllPositionsKnownAt >= detail::ReplicationStallTime)
    change.QueriedAgain.insert(target);
  if (request.Order == Order::StepDown && server.FormerPrimary && replica && !server.SteppedDown) {
    server.SteppedDown = true;
    change.SteppedDownAt = now;
  }
  if (request.Order == Order::Pause && replica)
    server.Paused = true;
  if (request.Order == Order::Resume) {
    server.Paused = false;
    server.Settled = false;
    change.AllPausedAt.reset();
    change.PausedByThisProxy.erase(target);
  }
  server.Settled = server.Settled || server.Paused ||
                   (replica && change.SteppedDownAt && request.SentAt >= *change.SteppedDownAt);
  run.Ctx.emit(Log{LogLevel::Info,
                   "server surveyed",
                   {{"server", target.str()},
                    {"role", replica ? "replica" : "primary"},
                    {"term", std::to_string(status.RaisedTerm)},
                    {"log", detail::toString(status.Log)},
                    {"paused", server.Paused ? "yes" : "no"}}});
}

void LeadershipModule::onLinkClosed(const LinkPool::Closed &closed, LinkId link) {
  const auto it = Changes.find(closed.Service);
  if (it == Changes.end())
    return;
  const auto request = it->second.Requests.find(closed.Target);
  if (request == it->second.Requests.end() || request->second.Link != link)
    return;
  it->second.Requests.erase(request);
  forgetState(it->second, closed.Target);
}

/// A server that starts again is neither paused nor stepped down any more. So what it reported counts only as
/// long as the link on which it did is open.
void LeadershipModule::forgetState(PrimaryChange &change, const TargetId &target) {
  const auto it = change.Servers.find(target);
  if (it == change.Servers.end())
    return;
  auto &server = it->second;
  requireLog(change, server);
  if (server.SteppedDown)
    forgetStepDown(change);
  server.Paused = false;
  server.Settled = false;
  server.Status.reset();
  change.OthersPausedAt.reset();
  change.AllPausedAt.reset();
}

void LeadershipModule::forgetStepDown(PrimaryChange &change) {
  change.SteppedDownAt.reset();
  for (auto &[target, it] : change.Servers) {
    it.SteppedDown = false;
    it.Settled = it.Paused;
  }
}

void LeadershipModule::requireLog(PrimaryChange &change, const detail::ServerState &server) {
  if (!server.FormerPrimary && server.Status && server.Status->Role == TargetRole::Replica)
    change.Required = std::max(change.Required, server.Status->Log);
}

bool LeadershipModule::requestDue(const Run &run, const TargetId &target, Duration interval) {
  const auto it = run.Change.Requests.find(target);
  return it == run.Change.Requests.end() || run.Ctx.Now - it->second.SentAt >= interval;
}

void LeadershipModule::queryAgain(Run &run, const TargetId &target) {
  if (requestDue(run, target, QueryInterval))
    sendRequest(run, target, Order::ReadStatus);
}

} // namespace rosemaryhinge
