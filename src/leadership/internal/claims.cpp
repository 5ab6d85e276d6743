// Claims of changes of primary: reading, writing, renewing and taking over.

#include "leadership/internal/pauses.h"
#include "leadership/leadershipmodule.h"

#include <algorithm>

namespace rosemaryhinge {

namespace {

constexpr Duration CallTimeout = 800ms;
constexpr Duration RenewRetryDelay = 150ms;
/// Interval at which a claim of another proxy is read again.
constexpr Duration RereadInterval = 1s;

} // namespace

void LeadershipModule::claim(Run &run) {
  auto &change = run.Change;
  auto reason = findReason(run);
  if (!reason) {
    enterPhase(run, Phase::Idle);
    return;
  }
  change.Reason = std::move(*reason);
  if (!change.Claim.claimable(run.Ctx.Self.Node, run.Ctx.Now)) {
    readClaim(run);
    return;
  }
  change.Claim.start(std::to_string(run.Ctx.Incarnation) + "." + std::to_string(run.Ctx.nextNumber()));
  const auto &known = change.Claim.known();
  // Where nobody leads, the server that led last has every acknowledged commit.
  if (change.Reason.From.empty() && run.Services.Catalog.server(known.From))
    change.Reason.From = known.From;
  // An order of the holder whose claim is taken over may still be carried out.
  const bool inherits = !known.Done && !known.Candidate.empty();
  enterPhase(run, Phase::Claiming);
  writeClaim(run, inherits ? known.Candidate : change.Outstanding, false);
}

void LeadershipModule::readClaim(Run &run) {
  enterPhase(run, Phase::ReadingClaim);
  run.Change.Call = run.Ctx.call(Module::Leadership);
  run.Ctx.emit(DirectoryCall{*run.Change.Call, CallTimeout, ListDirectory{DirectoryKind::Claims, {}}});
}

void LeadershipModule::writeClaim(Run &run, const TargetId &candidate, bool done) {
  auto &change = run.Change;
  const auto leader = run.Services.Catalog.primary(run.Service).value_or(change.Reason.From);
  auto next = change.Claim.next(run.Service, run.Ctx.Self.Node, done ? leader : change.Reason.From,
                                run.Ctx.Now, requiredPosition(run));
  next.Acknowledged = acknowledgedPosition(run);
  next.TermSince = change.TermSince;
  next.Candidate = candidate;
  next.Done = done;
  change.Call = run.Ctx.call(Module::Leadership);
  run.Ctx.emit(DirectoryCall{*change.Call, CallTimeout, PutClaim{next}});
}

void LeadershipModule::onDirectoryAnswer(Context &ctx, LeadershipServices &services,
                                         const DirectoryAnswer &event) {
  if (Startup.Call == event.Call) {
    onStartupClaims(ctx, services, event);
    return;
  }
  if (Notices.owns(event.Call)) {
    const bool listed = std::holds_alternative<DirectoryListing>(event.Result);
    for (auto &notice : Notices.onAnswer(ctx, event)) {
      // The holder of one that is found in a list may have ended long ago.
      if (listed)
        notice.StepDownFor = 0;
      onFenceNotice(ctx, services, notice);
    }
    Notices.onTimer(ctx);
    return;
  }
  if (onNoticeAnswer(ctx, services, event))
    return;
  auto *it = completeCall(event.Call);
  if (!it)
    return;
  Run run{ctx, services, it->first, it->second};
  if (const auto *list = std::get_if<DirectoryListing>(&event.Result))
    onClaimsListed(run, *list);
  else if (const auto *stored = std::get_if<ClaimStored>(&event.Result))
    onClaimStored(run, stored->Stored);
  else if (const auto *conflict = std::get_if<ClaimConflict>(&event.Result))
    onClaimConflict(run, conflict->Current);
  else if (const auto *failure = std::get_if<DirectoryFailure>(&event.Result))
    onStoreFailure(run, *failure);
  else
    onStoreFailure(run, {"unexpected answer", false});
}

void LeadershipModule::onClaimsListed(Run &run, const DirectoryListing &listing) {
  auto &change = run.Change;
  Claim claim;
  claim.Service = run.Service;
  for (const auto &object : listing.Objects)
    if (const auto *one = std::get_if<Claim>(&object.Value); one && one->Service == run.Service)
      claim = *one;
  observeClaim(run, claim);
  if (change.Claim.isOwn(claim, run.Ctx.Self.Node)) {
    // The write without an answer was accepted.
    change.Claim.onStored(claim, run.Ctx.Now);
    onClaimed(run);
    return;
  }
  awaitTakeover(run);
}

void LeadershipModule::observeClaim(Run &run, const Claim &claim) {
  auto &change = run.Change;
  // A finished claim has no outstanding order, nor have those that it took over.
  if (claim.Done && claim.Revision > change.Claim.known().Revision)
    forgetOutstandingOrder(run, "a later claim has ended");
  else if (!claim.Done && claim.Holder != run.Ctx.Self.Node && claim.Candidate == change.Outstanding)
    change.OutstandingAt = run.Ctx.Now;
  change.Claim.observe(claim, run.Ctx.Now);
  change.TermSince = std::max(change.TermSince, claim.TermSince);
}

void LeadershipModule::awaitTakeover(Run &run) {
  auto &change = run.Change;
  change.Claim.reset();
  if (change.Claim.claimable(run.Ctx.Self.Node, run.Ctx.Now)) {
    change.ClaimAt = run.Ctx.Now;
    enterPhase(run, Phase::WaitingToClaim);
    return;
  }
  change.NextAttemptAt = std::min(change.Claim.takeoverAt(), run.Ctx.Now + RereadInterval);
  enterPhase(run, Phase::Idle);
}

void LeadershipModule::onClaimStored(Run &run, const Claim &stored) {
  auto &change = run.Change;
  change.Claim.onStored(stored, run.Ctx.Now);
  switch (change.State) {
  case Phase::Claiming:
    onClaimed(run);
    break;
  case Phase::ConfirmingClaim:
    promote(run);
    break;
  case Phase::EndingClaim:
    toIdle(run);
    break;
  default:
    break;
  }
}

void LeadershipModule::onClaimConflict(Run &run, const Claim &current) {
  auto &change = run.Change;
  observeClaim(run, current);
  const bool own = change.Claim.isOwn(current, run.Ctx.Self.Node);
  if (change.State == Phase::EndingClaim) {
    if (own)
      writeClaim(run, TargetId(), true);
    else
      toIdle(run);
    return;
  }
  if (change.State == Phase::Claiming) {
    if (own) {
      change.Claim.onStored(current, run.Ctx.Now);
      onClaimed(run);
    } else {
      awaitTakeover(run);
    }
    return;
  }
  if (own) {
    // An earlier write without an answer was accepted; the next one builds on it.
    change.RenewAt = run.Ctx.Now;
    if (change.State == Phase::ConfirmingClaim)
      confirmClaim(run);
    return;
  }
  run.Ctx.emit(Count{"claims_lost_total"});
  change.Claim.reset();
  giveUp(run, "another proxy has taken over the claim", detail::RetryDelay);
}

void LeadershipModule::onStoreFailure(Run &run, const DirectoryFailure &failure) {
  auto &change = run.Change;
  run.Ctx.emit(Count{"claim_failures_total"});
  switch (change.State) {
  case Phase::Claiming:
    if (!failure.NotApplied) {
      readClaim(run);
      return;
    }
    [[fallthrough]];
  case Phase::ReadingClaim:
    run.Ctx.emit(Log{LogLevel::Info,
                     "claim not written",
                     {{"service", run.Service.str()}, {"why", "store: " + failure.Message}}});
    change.NextAttemptAt = run.Ctx.Now + detail::RetryDelay;
    toIdle(run);
    return;
  case Phase::ConfirmingClaim:
    // Selects again, which renews the claim as long as it holds.
    change.RenewAt = run.Ctx.Now + RenewRetryDelay;
    enterPhase(run, change.PromotionAttempts > 0 ? Phase::Promoting : Phase::SelectingCandidate);
    change.NextAttemptAt = run.Ctx.Now + RenewRetryDelay;
    return;
  case Phase::EndingClaim:
    toIdle(run);
    return;
  default:
    change.RenewAt = run.Ctx.Now + RenewRetryDelay;
    return;
  }
}

void LeadershipModule::onClaimed(Run &run) {
  auto &change = run.Change;
  change.RenewAt.reset();
  // The time of an order that is known already stays, so that claims without an order of their own don't
  // prolong it.
  if (const auto candidate = change.Claim.known().Candidate; candidate != change.Outstanding)
    recordOutstandingOrder(run, candidate);
  if (!change.Outstanding.empty())
    logUnansweredOrder(run);
  change.Servers.clear();
  change.PassedOver.clear();
  change.JoinedAfterChoice.clear();
  releaseRequests(run);
  change.PausedByThisProxy.clear();
  change.OrderTerm = 0;
  change.OthersPausedAt.reset();
  change.AllPausedAt.reset();
  change.AllPositionsKnownAt.reset();
  change.QueriedAgain.clear();
  change.StayingAwaitedSince.reset();
  change.BehindSince.reset();
  change.Receiving = TargetId();
  change.StepDownSent = false;
  change.SteppedDownAt.reset();
  change.Candidate = TargetId();
  change.CandidateLog = Position();
  change.PromotionAttempts = 0;
  change.StartedAt = run.Ctx.Now;
  change.ClaimedRevision = change.Claim.token();
  if (change.Reason.Kind != detail::ReasonKind::ReplicasPaused)
    run.Services.Fleet.refresh(run.Ctx);
  enterPhase(run, Phase::SelectingCandidate);
  run.Ctx.emit(Count{"claims_total"});
  run.Ctx.emit(Log{LogLevel::Warn,
                   "change of primary claimed",
                   {{"service", run.Service.str()},
                    {"from", change.Reason.From.str()},
                    {"token", std::to_string(change.Claim.token())},
                    {"ordered_before", change.Outstanding.str()},
                    {"why", change.Reason.Why}}});
  selectCandidate(run);
}

bool LeadershipModule::claimLapsed(Run &run) {
  auto &change = run.Change;
  if (!change.Claim.lapsed(run.Ctx.Now))
    return false;
  if (change.State == Phase::Promoting && change.Call)
    recordOutstandingOrder(run, change.Candidate);
  run.Ctx.emit(Count{"claims_lost_total"});
  giveUp(run, "the claim could not be renewed", detail::RetryDelay);
  return true;
}

bool LeadershipModule::keepClaim(Run &run) {
  auto &change = run.Change;
  const auto now = run.Ctx.Now;
  if (claimLapsed(run))
    return false;
  if (!change.Call && change.Claim.renewalDue(now) && now >= change.RenewAt.value_or(now)) {
    const bool ordered = change.State == Phase::Promoting || change.State == Phase::AwaitingPrimary;
    writeClaim(run, ordered ? change.Candidate : change.Outstanding, false);
  }
  return change.Claim.held(now);
}

} // namespace rosemaryhinge
