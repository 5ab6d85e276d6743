// Start and end of a change of primary.

#include "leadership/leadershipmodule.h"

#include "leadership/internal/pauses.h"

#include <algorithm>

namespace rosemaryhinge {

namespace {

constexpr Duration IdleInterval = 200ms;
constexpr Duration ActiveInterval = 20ms;
constexpr Duration RepairInterval = 1s;
/// Limit on resuming replicas; one that does not answer until then is resumed under a later claim.
constexpr Duration ResumeTimeout = 900ms;
constexpr Duration ClaimantInterval = 30ms;
constexpr Duration ClaimJitter = 40ms;
constexpr Duration LateClaimJitter = 1500ms;
/// An order to promote a server that is not listed may be carried out for this long: orders without an answer
/// are carried out up to 12 s late, and an entry also lapses while its server runs.
constexpr Duration OrderLifetime = 15s;

Duration claimDelay(Context &ctx, std::size_t rank) {
  if (rank < detail::FirstClaimants)
    return ClaimantInterval * static_cast<int>(rank) + ctx.jitter(ClaimJitter);
  return ClaimantInterval * static_cast<int>(detail::FirstClaimants) + ctx.jitter(LateClaimJitter);
}

} // namespace

bool LeadershipModule::changeInProgress() const {
  return std::any_of(Changes.begin(), Changes.end(),
                     [](const auto &it) { return it.second.State >= Phase::SelectingCandidate; });
}

void LeadershipModule::enterPhase(Run &run, Phase next) {
  run.Change.State = next;
  run.Change.PhaseSince = run.Ctx.Now;
}

std::pair<const DatabaseId, LeadershipModule::PrimaryChange> *
LeadershipModule::completeCall(const CallId &call) {
  const auto it =
      std::find_if(Changes.begin(), Changes.end(), [&](const auto &one) { return one.second.Call == call; });
  if (it == Changes.end())
    return nullptr;
  it->second.Call.reset();
  return &*it;
}

void LeadershipModule::onTimer(Context &ctx, LeadershipServices &services) {
  readStartupClaims(ctx, services);
  bool active = false;
  // An answer is written into this proxy's entry.
  if (services.Fleet.knownSince() && !services.Fleet.leaving())
    Notices.onTimer(ctx);
  for (const auto &service : services.Catalog.services()) {
    auto &change = Changes[service];
    // An entry may name any service. What was begun before a service was dropped is carried to its end.
    if (!services.Catalog.limits(service) && change.State == Phase::Idle)
      continue;
    Run run{ctx, services, service, change};
    keepFence(run);
    step(run);
    active = active || change.State != Phase::Idle || change.Kept;
  }
  Next = ctx.Now + (active ? ActiveInterval : IdleInterval);
  if (!Startup.Call && Startup.ListAt > ctx.Now)
    Next = std::min(*Next, Startup.ListAt);
}

void LeadershipModule::step(Run &run) {
  auto &change = run.Change;
  recordCoveringPositions(run);
  if (const auto primary = run.Services.Catalog.primary(run.Service);
      primary != change.Primary || change.PrimarySince == TimePoint()) {
    change.Primary = primary;
    change.PrimarySince = run.Ctx.Now;
  }
  watchPrimary(run);
  renewFence(run);
  switch (change.State) {
  case Phase::Idle:
    settleOutstandingOrder(run);
    startIfNeeded(run);
    break;
  case Phase::WaitingToClaim:
    if (run.Ctx.Now >= change.ClaimAt)
      claim(run);
    break;
  case Phase::SelectingCandidate:
    selectCandidate(run);
    break;
  case Phase::ConfirmingClaim:
    if (!claimLapsed(run))
      holdServers(run);
    break;
  case Phase::Promoting:
    if (claimLapsed(run))
      break;
    holdServers(run);
    if (!change.Call && run.Ctx.Now >= change.NextAttemptAt)
      confirmClaim(run);
    break;
  case Phase::AwaitingPrimary:
    holdServers(run);
    awaitPrimary(run);
    break;
  case Phase::ResumingReplicas:
    resumeReplicas(run);
    break;
  default:
    break;
  }
}

void LeadershipModule::settleOutstandingOrder(Run &run) {
  const auto &outstanding = run.Change.Outstanding;
  const bool leads = outstanding == run.Change.Primary;
  const bool recent = !outstanding.empty() && run.Ctx.Now - run.Change.OutstandingAt < OrderLifetime;
  if (!leads && (recent || run.Services.Catalog.server(outstanding)))
    return;
  endFence(run, leads ? outstanding : TargetId());
  forgetOutstandingOrder(run, leads ? "its server leads" : "its server is gone");
}

std::optional<detail::ChangeReason> LeadershipModule::findReason(const Run &run) const {
  const auto &change = run.Change;
  auto reason = detail::reasonToChange(run.Service, run.Services.Catalog, run.Services.Links,
                                       run.Services.Sessions, change.PrimarySince, run.Ctx.Now);
  if (!reason && !change.Outstanding.empty())
    return detail::ChangeReason{detail::ReasonKind::OrderOutstanding, "an order may still be carried out",
                                change.Primary.value_or(TargetId())};
  if (!reason && run.Services.Sessions.commitFence(run.Service).overdue(run.Ctx.Now) &&
      run.Services.Fleet.rank(run.Ctx.Self.Node, run.Service.str()) < detail::FirstClaimants)
    return detail::ChangeReason{detail::ReasonKind::FenceLeft, "a proxy that changes the primary is silent",
                                change.Primary.value_or(TargetId())};
  if (!reason && !change.LeftPaused.empty())
    return detail::ChangeReason{detail::ReasonKind::ReplicasPaused, "replicas were left paused",
                                change.Primary.value_or(TargetId())};
  return reason;
}

void LeadershipModule::startIfNeeded(Run &run) {
  auto &change = run.Change;
  auto reason = findReason(run);
  logSuspicion(run, reason);
  if (!reason)
    change.UnansweredSince.reset();
  forgetUncovered(run);
  // The proxy that changes the primary asks those that it finds in the store.
  if (reason && run.Services.Sessions.acknowledgedUpTo(run.Service))
    run.Services.Fleet.verifyEntry(run.Ctx);
  const auto &catalog = run.Services.Catalog;
  // A primary that is the only server left cannot be replaced.
  const std::size_t others = catalog.servers(run.Service).size() - (change.Primary ? 1 : 0);
  const bool settled = run.Services.Era.knownFor(detail::ClaimState::TakeoverDelay, run.Ctx.Now);
  if (!reason || Leaving || !settled || run.Ctx.Now < change.NextAttemptAt || others == 0)
    return;
  change.Reason = std::move(*reason);
  change.ClaimAt =
      run.Ctx.Now + claimDelay(run.Ctx, run.Services.Fleet.rank(run.Ctx.Self.Node, run.Service.str()));
  enterPhase(run, Phase::WaitingToClaim);
}

void LeadershipModule::forgetUncovered(Run &run) {
  auto &change = run.Change;
  if (!change.Primary)
    return;
  const auto reply = run.Services.Links.health(*change.Primary).lastReplyAt();
  if (reply && change.UncoveredSince && *reply > change.UncoveredAt)
    change.UncoveredSince.reset();
}

void LeadershipModule::stepSoon(const Context &ctx) {
  const auto at = ctx.Now + ActiveInterval;
  Next = std::min(Next.value_or(at), at);
}

void LeadershipModule::giveUp(Run &run, const std::string &why, Duration pause) {
  run.Ctx.emit(Count{"changes_given_up_total"});
  run.Ctx.emit(
      Log{LogLevel::Warn, "change of primary given up", {{"service", run.Service.str()}, {"why", why}}});
  run.Change.NextAttemptAt = run.Ctx.Now + pause;
  release(run);
}

void LeadershipModule::onStoreRestored(Context &ctx, LeadershipServices &services) {
  for (auto &[service, change] : Changes) {
    Run run{ctx, services, service, change};
    if (change.State == Phase::Promoting && change.Call)
      recordOutstandingOrder(run, change.Candidate);
    change.Call.reset();
    if (const auto &claim = change.Claim.known(); !claim.Done && !claim.Candidate.empty())
      change.ForgottenCandidate = claim.Candidate;
    change.Claim.forget(ctx.Now);
    if (change.State >= Phase::SelectingCandidate)
      giveUp(run, "the store was restored, and the claim may be gone", detail::RetryDelay);
    else if (change.State != Phase::Idle)
      toIdle(run);
  }
}

void LeadershipModule::complete(Run &run) {
  auto &change = run.Change;
  run.Ctx.emit(Count{"primary_changes_total"});
  run.Ctx.emit(Observe{"primary_change_seconds", run.Ctx.Now - change.StartedAt});
  run.Ctx.emit(Log{LogLevel::Warn,
                   "primary changed",
                   {{"service", run.Service.str()},
                    {"server", change.Candidate.str()},
                    {"source", "this proxy"},
                    {"ms", std::to_string((run.Ctx.Now - change.StartedAt) / 1ms)}}});
  // It was a replica under this claim.
  change.TermSince = std::max(change.TermSince, change.ClaimedRevision);
  endFence(run, change.Candidate);
  forgetOutstandingOrder(run, "the change is complete");
  change.ForgottenCandidate = TargetId();
  change.PausedByThisProxy.merge(change.LeftPaused);
  change.NextAttemptAt = run.Ctx.Now + detail::MinChangeInterval;
  release(run);
}

void LeadershipModule::release(Run &run) {
  auto &change = run.Change;
  if (!change.Outstanding.empty()) {
    logUnansweredOrder(run);
    // The order may still be carried out, so the claim stays as it is until another proxy takes it over, and
    // the replicas must not receive from the former primary again.
    change.LeftPaused.merge(change.PausedByThisProxy);
    change.PausedByThisProxy.clear();
    toIdle(run);
    return;
  }
  const auto leader = run.Services.Catalog.primary(run.Service).value_or(change.Reason.From);
  endFence(run, leader == change.Reason.From ? TargetId() : leader);
  enterPhase(run, Phase::ResumingReplicas);
  resumeReplicas(run);
}

void LeadershipModule::resumeReplicas(Run &run) {
  auto &change = run.Change;
  std::erase_if(change.PausedByThisProxy,
                [&](const TargetId &it) { return !run.Services.Catalog.server(it); });
  if (change.PausedByThisProxy.empty()) {
    endClaim(run);
    return;
  }
  if (!change.Claim.held(run.Ctx.Now) || run.Ctx.Now - change.PhaseSince >= ResumeTimeout) {
    change.LeftPaused = std::exchange(change.PausedByThisProxy, {});
    change.NextAttemptAt = std::max(change.NextAttemptAt, run.Ctx.Now + RepairInterval);
    endClaim(run);
    return;
  }
  for (const auto &target : change.PausedByThisProxy)
    sendRequest(run, target, Order::Resume);
}

void LeadershipModule::endClaim(Run &run) {
  if (run.Change.Claim.lapsed(run.Ctx.Now)) {
    toIdle(run);
    return;
  }
  enterPhase(run, Phase::EndingClaim);
  writeClaim(run, TargetId(), true);
}

void LeadershipModule::releaseRequests(Run &run) {
  for (const auto &[target, it] : run.Change.Requests)
    run.Services.Links.release(run.Ctx, it.Link);
  run.Change.Requests.clear();
}

void LeadershipModule::toIdle(Run &run) {
  auto &change = run.Change;
  releaseRequests(run);
  change.Claim.reset();
  change.Call.reset();
  enterPhase(run, Phase::Idle);
}

} // namespace rosemaryhinge
