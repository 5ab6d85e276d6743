// The commit fence of a change of primary: raised at all proxies before the order, and kept until the
// promotion has taken effect or cannot any more.
//
// Once every proxy has raised it, no commit of the former primary is reported to callers any more. What the
// promoted server must hold is then the highest position that one of them has reported, whichever servers
// have received commits and whatever becomes of the former primary.

#include "leadership/internal/pauses.h"
#include "leadership/leadershipmodule.h"

#include <algorithm>

namespace rosemaryhinge {

namespace {

/// Time for the other proxies to answer while the former primary may serve some of them.
constexpr Duration FenceWait = 400ms;
/// The same once it has stepped down: the fence then only guards against orders that are carried out late.
constexpr Duration SteppedDownFenceWait = 100ms;
/// Time for proxies that reach the former primary to stop it, while commits may still be acknowledged there.
constexpr Duration StepDownWait = 800ms;
/// Time for what the former primary had acknowledged before it stepped down for another proxy to be told.
constexpr Duration AnswerWait = 100ms;
/// Time for which commits without an answer count that only servers tell which cannot be compared.
constexpr Duration UnansweredWait = 2s;
/// Time for a list of the proxies that is as new as the fence.
constexpr Duration FleetListWait = 400ms;

} // namespace

bool LeadershipModule::awaitServerList(Run &run) {
  if (run.Services.Catalog.serversRevision() >= run.Change.ClaimedRevision)
    return true;
  run.Services.Directory.refreshServers(run.Ctx);
  return false;
}

bool LeadershipModule::awaitFence(Run &run) {
  auto &change = run.Change;
  change.Fence.begin(change.ClaimedRevision, change.TermSince, run.Ctx.Now);
  change.Fence.setOwnKnownSince(recordKnownSince(run));
  const bool allFound = change.Fence.allKnown() || findMembers(run);
  renewFence(run);
  readStoredAnswers(run);
  return allFound &&
         change.Fence.settled(change.SteppedDownAt ? SteppedDownFenceWait : FenceWait, run.Ctx.Now) &&
         !awaitsOtherStepDown(run);
}

bool LeadershipModule::commitsUnanswered(const Run &run) {
  return run.Services.Sessions.unreportedCommits(run.Service, run.Change.Reason.From).Unanswered ||
         !run.Change.Fence.unanswered().empty();
}

bool LeadershipModule::awaitsOtherStepDown(const Run &run) {
  const auto &fence = run.Change.Fence;
  if (run.Change.SteppedDownAt || fence.askedFor(StepDownWait, run.Ctx.Now) || !commitsUnanswered(run))
    return false;
  const auto since = fence.steppedDownAt();
  return since ? run.Ctx.Now - *since < AnswerWait : fence.awaitsStepDown();
}

bool LeadershipModule::fenceCovers(Run &run) {
  if (!run.Change.Fence.complete(run.Ctx.Now))
    return false;
  auto &since = run.Change.UnansweredSince;
  if (!commitsUnanswered(run)) {
    since.reset();
    return true;
  }
  since = since.value_or(run.Ctx.Now);
  return run.Ctx.Now - *since >= UnansweredWait;
}

bool LeadershipModule::findMembers(Run &run) {
  auto &fleet = run.Services.Fleet;
  auto &fence = run.Change.Fence;
  // A proxy that registers after the fence was begun finds the claim, and reports nothing.
  const bool current = fleet.enabled() && fleet.listedRevision() >= run.Change.ClaimedRevision &&
                       fence.begunBy(fleet.listedAt());
  if (!current)
    fleet.refresh(run.Ctx);
  fence.addMembers(fleet.others(run.Ctx.Self.Node), current);
  return !fleet.enabled() || current || fence.askedFor(FleetListWait, run.Ctx.Now);
}

std::optional<std::uint64_t> LeadershipModule::recordKnownSince(const Run &run) {
  const auto &fleet = run.Services.Fleet;
  const auto own = fleet.knownSince();
  return own ? std::optional(std::max(*own, fleet.endedKnownSince())) : std::nullopt;
}

TargetId LeadershipModule::fenceSuccessor(const Run &run) {
  const auto &change = run.Change;
  const bool ordered = change.State == Phase::Promoting || change.State == Phase::AwaitingPrimary;
  return ordered ? change.Candidate : TargetId();
}

void LeadershipModule::renewFence(Run &run) {
  auto &change = run.Change;
  auto &fence = change.Fence;
  if (!fence.started())
    return;
  if (change.Claim.held(run.Ctx.Now))
    fence.setToken(change.Claim.token());
  fence.setSuccessor(fenceSuccessor(run));
  const auto upTo = std::max(detail::highestLogTerm(change.Servers), requiredPosition(run).Term);
  const CommitFence::Bounds bounds{fence.token(), fence.successor(), upTo};
  // Refused if another proxy has taken the claim over.
  if (!run.Services.Sessions.commitFence(run.Service).raise(bounds, run.Ctx.Now))
    return;
  sendFence(run, bounds);
  askThroughStore(run);
}

Term LeadershipModule::stepDownTerm(Run &run) {
  auto &change = run.Change;
  const auto known = detail::highestTerm(change.Servers);
  if (known == 0)
    return 0;
  if (change.OrderTerm == 0)
    change.OrderTerm = known + 1;
  // The promotion has to follow at once, and needs the store until the order is accepted.
  const bool accepted = change.State == Phase::AwaitingPrimary;
  const bool ordering = change.State >= Phase::SelectingCandidate && change.State <= Phase::Promoting;
  const bool stepDown = !change.SteppedDownAt && change.Candidate != change.Reason.From &&
                        (accepted || (ordering && change.Claim.age(run.Ctx.Now) < detail::MaxClaimAge));
  return stepDown ? change.OrderTerm : 0;
}

void LeadershipModule::sendFence(Run &run, const CommitFence::Bounds &bounds) {
  auto &change = run.Change;
  const auto due = change.Fence.takeDue(run.Ctx.Now);
  if (due.empty())
    return;
  const CommitFenceRequest request{run.Service, bounds.Token,       bounds.Successor,
                                   bounds.UpTo, change.Reason.From, stepDownTerm(run)};
  for (const auto &node : due)
    run.Ctx.emit(SendToPeer{node, request});
  run.Ctx.emit(Count{"commit_fence_requests_total", static_cast<double>(due.size())});
}

void LeadershipModule::endFence(Run &run, const TargetId &promoted) {
  auto &fence = run.Change.Fence;
  if (!fence.started())
    return;
  run.Services.Sessions.commitFence(run.Service).end(fence.token(), promoted);
  for (const auto &node : fence.members())
    run.Ctx.emit(SendToPeer{node, CommitFenceEnd{run.Service, fence.token(), promoted}});
  endNotice(run, promoted);
  fence.reset();
}

void LeadershipModule::endLeftFence(Run &run) {
  auto &fence = run.Change.Fence;
  fence.begin(run.Change.ClaimedRevision, run.Change.TermSince, run.Ctx.Now);
  fence.addMembers(run.Services.Fleet.others(run.Ctx.Self.Node), false);
  fence.setToken(run.Change.Claim.token());
  giveUp(run, "no order is outstanding", detail::MinChangeInterval);
}

void LeadershipModule::onFenceReply(Context &ctx, LeadershipServices &services, const NodeId &from,
                                    const CommitFenceReply &reply) {
  const auto it = Changes.find(reply.Service);
  if (it == Changes.end())
    return;
  services.Sessions.noteAcknowledged(reply.Service, reply.Acknowledged);
  services.Sessions.noteServerAcknowledged(reply.Service, reply.Unreported.Acknowledged);
  auto &fence = it->second.Fence;
  if (!reply.Update)
    fence.onReply(from, reply.Token, reply.Acknowledged, reply.KnownSince, ctx.Now);
  fence.onUnreported(from, reply.Token, reply.Unreported, reply.StepDown, ctx.Now);
  if (it->second.State != Phase::SelectingCandidate || !it->second.Fence.raisedByAll(ctx.Now))
    return;
  Run run{ctx, services, it->first, it->second};
  selectCandidate(run);
}

void LeadershipModule::handOverPositions(Context &ctx, const LeadershipServices &services) {
  const auto &self = ctx.Self;
  for (const auto &service : services.Catalog.services()) {
    const auto acknowledged = services.Sessions.acknowledgedUpTo(service);
    if (!acknowledged)
      continue;
    auto heirs = services.Fleet.others(self.Node, self.AvailabilityZone, service.str(), 0);
    heirs.resize(std::min(heirs.size(), detail::FirstClaimants));
    for (const auto &node : heirs)
      ctx.emit(SendToPeer{node, CommitFenceReply{service, 0, *acknowledged, std::nullopt,
                                                 services.Sessions.unreportedCommits(service, TargetId())}});
  }
}

void LeadershipModule::onPeerLost(const NodeId &node) {
  for (auto &[service, change] : Changes)
    change.Fence.onLost(node);
}

} // namespace rosemaryhinge
