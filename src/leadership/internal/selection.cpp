// Selection of the server to promote: queries the servers of the service and stops those that may acknowledge
// commits which the candidate would lack.

#include "freshness/primarylease.h"
#include "leadership/internal/pauses.h"
#include "leadership/leadershipmodule.h"

#include <algorithm>
#include <utility>

namespace rosemaryhinge {

namespace {

constexpr Duration SelectionTimeout = 4s;
/// Pause after an attempt that proved needless.
constexpr Duration NeedlessPause = 1s;
/// Time for the candidate to receive what the paused replicas had, before it is paused, too.
constexpr Duration CatchUpTime = 150ms;
/// The same for a replica that stays, where only one that is about to leave has the longest log, and the
/// primary serves on meanwhile. Above the usual lag of a replica.
constexpr Duration ServingCatchUpTime = 1s;
/// A former primary that has answered this recently still has its log, which then does not count as lost.
constexpr Duration PrimaryReplyWindow = 5s;
/// A log that holds acknowledged commits which no other has is waited for this long. Servers that crash are
/// back, or replaced, well before.
constexpr Duration AbsentLogTimeout = 60s;
/// The same where no server is known that may hold them.
constexpr Duration UnknownLogTimeout = 10s;
/// The same where only commits are missing that no caller has been told of.
constexpr Duration UnreportedLogTimeout = 6s;
/// Without an answer of all replicas, the former primary is asked to step down after this time.
constexpr Duration StepDownDelay = 1500ms;
/// Time for a replica to receive what the former primary had when it stepped down, and for one that has
/// joined to be listed. After it, the longest log of all replicas is promoted or, without the reports of all,
/// the former primary itself again.
constexpr Duration ReportTime = 800ms;
/// The same while commits are unanswered: a replica that is not listed yet may hold them.
constexpr Duration UnlistedReportTime = 1200ms;
/// Added to the length of a lease, for differences between the rates of clocks.
constexpr Duration ClockMargin = 30ms;

/// The server that is chosen among equal logs.
const TargetId &preferred(const detail::PrimaryChange &change) {
  return change.Outstanding.empty() ? change.ForgottenCandidate : change.Outstanding;
}

} // namespace

void LeadershipModule::selectCandidate(Run &run) {
  auto &change = run.Change;
  if (!keepClaim(run))
    return;
  if (change.Reason.Kind == detail::ReasonKind::ReplicasPaused) {
    change.PausedByThisProxy = std::exchange(change.LeftPaused, {});
    release(run);
    return;
  }
  if (run.Ctx.Now - change.StartedAt > SelectionTimeout) {
    giveUp(run, "the servers' logs could not be compared", detail::RetryDelay);
    return;
  }
  if (change.Reason.Kind == detail::ReasonKind::FenceLeft && change.Outstanding.empty()) {
    endLeftFence(run);
    return;
  }
  refreshServerStates(run);
  if (const auto why = reasonRefuted(run)) {
    giveUp(run, *why, NeedlessPause);
    return;
  }
  const bool allKnown = queryServers(run);
  verifyPauses(run);
  const auto former = change.Servers.find(change.Reason.From);
  if (former != change.Servers.end() && former->second.SteppedDown)
    selectAfterStepDown(run);
  else
    selectBesidePrimary(run, allKnown);
}

void LeadershipModule::refreshServerStates(Run &run) {
  auto &change = run.Change;
  const auto &catalog = run.Services.Catalog;
  const auto &from = change.Reason.From;
  for (const auto &target : catalog.servers(run.Service)) {
    auto &it = change.Servers[target];
    it.Leaving = catalog.server(target)->Entry.Leaving;
    it.FormerPrimary = target == from;
    it.Missing = false;
  }
  refreshEndedServers(run);
  std::erase_if(change.Servers, [&](const auto &it) {
    const auto &[target, server] = it;
    if (server.Missing || catalog.server(target))
      return false;
    requireLog(change, server);
    return true;
  });
}

std::optional<std::string> LeadershipModule::reasonRefuted(Run &run) {
  auto &change = run.Change;
  auto &catalog = run.Services.Catalog;
  const auto &from = change.Reason.From;
  if (const auto primary = catalog.primary(run.Service);
      primary && *primary != from && !replacesLeader(run, *primary))
    return "another server is listed as the primary";
  // One of a term before that of acknowledged commits does not know that it leads no more.
  if (const auto leader = detail::newerPrimary(change.Servers);
      leader && change.Servers.at(*leader).Status->RaisedTerm >= requiredPosition(run).Term) {
    catalog.confirmPrimary(*leader, change.Servers.at(*leader).Status->RaisedTerm);
    if (!replacesLeader(run, *leader))
      return "another server leads already";
  }
  if (!change.Outstanding.empty())
    return std::nullopt;
  const auto reply = run.Services.Links.health(from).lastReplyAt();
  // One that has stepped down, for this proxy or another one, answers without leading.
  const bool stopped = change.StepDownSent || change.Fence.steppedDownAt() || change.Fence.awaitsStepDown();
  if (change.Reason.refutedByAnswer() && !stopped && reply && *reply > change.StartedAt)
    return "the primary answers again";
  return std::nullopt;
}

bool LeadershipModule::replacesLeader(Run &run, const TargetId &leader) {
  auto &change = run.Change;
  if (leader == change.Outstanding)
    forgetOutstandingOrder(run, "its server leads");
  if (change.Outstanding.empty())
    return false;
  change.Reason.From = leader;
  forgetStepDown(change);
  refreshServerStates(run);
  return true;
}

bool LeadershipModule::queryServers(Run &run) {
  bool allKnown = true;
  for (const auto &[target, it] : run.Change.Servers) {
    if (it.Missing || it.FormerPrimary || it.Status)
      continue;
    allKnown = false;
    sendRequest(run, target, Order::ReadStatus);
  }
  return allKnown;
}

bool LeadershipModule::leasesEnded(const Run &run) {
  const auto &change = run.Change;
  constexpr auto Time = PrimaryLease::Length + ClockMargin;
  const bool pausedLong = change.AllPausedAt && run.Ctx.Now - *change.AllPausedAt >= Time;
  return (pausedLong && detail::allReplicasPaused(change.Servers)) ||
         change.Fence.completeFor(Time, run.Ctx.Now);
}

bool LeadershipModule::stopped(const Run &run) {
  return run.Ctx.Self.PromotionFencing || run.Change.SteppedDownAt || leasesEnded(run);
}

bool LeadershipModule::pauseReplicas(Run &run, const std::optional<TargetId> &except) {
  bool allPaused = true;
  for (const auto &[target, it] : run.Change.Servers) {
    if (target == except || it.FormerPrimary || it.Missing || it.Paused)
      continue;
    allPaused = false;
    // A server that has led an earlier term and knows of no later one accepts no pause.
    const bool leads = it.Status && it.Status->Role == TargetRole::Primary;
    sendRequest(run, target, leads ? Order::StepDown : Order::Pause);
  }
  return allPaused;
}

bool LeadershipModule::primaryLossUnconfirmed(Run &run) {
  auto &change = run.Change;
  if (!change.AllPositionsKnownAt) {
    change.AllPositionsKnownAt = run.Ctx.Now;
    change.QueriedAgain.clear();
  }
  if (detail::anyReplicaAdvances(change.Servers)) {
    giveUp(run, "the replicas receive from the primary", detail::MinChangeInterval);
    return true;
  }
  if (run.Ctx.Now - *change.AllPositionsKnownAt < detail::ReplicationStallTime)
    return true;
  bool all = true;
  for (const auto &[target, it] : change.Servers) {
    if (it.Missing || it.FormerPrimary || !it.Status || change.QueriedAgain.contains(target))
      continue;
    all = false;
    sendRequest(run, target, Order::ReadStatus);
  }
  return !all;
}

/// Until the former primary stops, its commits are acknowledged through the candidate alone. It steps down
/// right before the order, if it can be reached: a replica that nobody has listed yet may receive, too.
void LeadershipModule::selectBesidePrimary(Run &run, bool allKnown) {
  auto &change = run.Change;
  const bool nobodyLeads = change.Reason.Kind == detail::ReasonKind::NoPrimary;
  if (formerReachable(run) && (nobodyLeads || run.Ctx.Now - change.StartedAt >= StepDownDelay))
    stepDownFormer(run);
  const auto candidate = bestCandidate(run);
  const bool waitedLong = run.Ctx.Now - change.StartedAt >= StepDownDelay;
  if (!candidate || (!allKnown && !waitedLong))
    return;
  if (change.Outstanding.empty() && change.Reason.needsConfirmation() && primaryLossUnconfirmed(run))
    return;
  if (awaitsStayingReplica(run))
    return;
  const bool othersPaused = pauseReplicas(run, candidate);
  if (coverageOf(run, *candidate) != detail::Coverage::Uncompared) {
    onCandidateFound(run, *candidate);
    return;
  }
  // Once the fleet has raised the fence, servers that cannot be compared do not count.
  if (!formerReachable(run) && (othersPaused || waitedLong))
    awaitFence(run);
  if (!othersPaused)
    return;
  if (!change.OthersPausedAt)
    change.OthersPausedAt = run.Ctx.Now;
  if (run.Ctx.Now - *change.OthersPausedAt < CatchUpTime)
    queryAgain(run, *candidate);
  else if (!change.Servers.at(*candidate).Paused)
    sendRequest(run, *candidate, Order::Pause);
}

void LeadershipModule::onCandidateFound(Run &run, const TargetId &candidate) {
  const bool fencing = run.Ctx.Self.PromotionFencing;
  if (formerReachable(run)) {
    if (receives(run, candidate))
      stepDownFormer(run);
  } else if (!fencing) {
    chooseAfterLeases(run);
  } else if (receives(run, candidate)) {
    choose(run, candidate);
  }
}

/// Without fencing, a former primary that cannot be reached leads until it learns of the promotion. All
/// replicas are paused, and the leases of its reads run out. Replicas that cannot be paused confirm no lease
/// once all proxies have raised the fence.
void LeadershipModule::chooseAfterLeases(Run &run) {
  auto &change = run.Change;
  if (!pauseReplicas(run, std::nullopt) || !detail::allReplicasPaused(change.Servers))
    change.AllPausedAt.reset();
  else if (!change.AllPausedAt)
    change.AllPausedAt = run.Ctx.Now;
  if (!leasesEnded(run))
    return;
  if (const auto best = detail::mostUpToDate(change.Servers, preferred(change)))
    choose(run, *best);
}

bool LeadershipModule::awaitsOrderedServer(const Run &run, TimePoint since) {
  const auto &change = run.Change;
  const auto it = change.Servers.find(change.Outstanding);
  return it != change.Servers.end() && it->second.Status && run.Ctx.Now - since < ReportTime;
}

std::optional<TargetId> LeadershipModule::bestCandidate(const Run &run) {
  const auto &change = run.Change;
  if (awaitsOrderedServer(run, change.StartedAt))
    return change.Outstanding;
  return detail::mostUpToDate(change.Servers,
                              change.Receiving.empty() ? preferred(change) : change.Receiving);
}

bool LeadershipModule::receives(Run &run, const TargetId &candidate) {
  const auto &server = run.Change.Servers.at(candidate);
  if (!server.Paused && !server.Status->Paused)
    return true;
  run.Change.Receiving = candidate;
  sendRequest(run, candidate, Order::Resume);
  return false;
}

bool LeadershipModule::formerReachable(const Run &run) {
  const auto &from = run.Change.Reason.From;
  return run.Change.Servers.contains(from) && !run.Services.Links.health(from).suspect(run.Ctx.Now);
}

void LeadershipModule::stepDownFormer(Run &run) {
  const bool known = detail::highestTerm(run.Change.Servers) > 0;
  // The promotion has to follow at once, and needs the store.
  if (known && run.Change.Claim.age(run.Ctx.Now) < detail::MaxClaimAge)
    sendRequest(run, run.Change.Reason.From, Order::StepDown);
}

/// Nothing is acknowledged any more. A replica that has all that the former primary had is promoted; one that
/// stays, if it gets that in time.
void LeadershipModule::selectAfterStepDown(Run &run) {
  auto &change = run.Change;
  const auto &from = change.Reason.From;
  const auto former = change.Servers.at(from).Status->Log;
  if (formerReachable(run))
    verifyStepDown(run);
  querySettling(run, former);
  if (!change.SteppedDownAt)
    return;
  awaitFence(run);
  const auto waited = run.Ctx.Now - *change.SteppedDownAt;
  const bool othersCount = !fenceCovers(run) || waited < ReportTime;
  const auto best = detail::bestAfterStepDown(change.Servers, preferred(change), othersCount);
  const bool whole =
      best && change.Servers.at(*best).Status->Log >= former && !change.Servers.at(*best).Leaving;
  if (awaitsOrderedServer(run, *change.SteppedDownAt) && best != change.Outstanding)
    return;
  if (whole)
    choose(run, *best);
  else
    chooseAmongReports(run, best, waited);
}

void LeadershipModule::querySettling(Run &run, Position former) {
  for (const auto &[target, it] : run.Change.Servers) {
    if (it.FormerPrimary || it.Missing)
      continue;
    if (!it.Settled)
      sendRequest(run, target, Order::ReadStatus);
    else if (it.Status->Log < former)
      queryAgain(run, target);
  }
}

void LeadershipModule::chooseAmongReports(Run &run, const std::optional<TargetId> &best, Duration waited) {
  const auto &servers = run.Change.Servers;
  const auto &from = run.Change.Reason.From;
  const bool unanswered = commitsUnanswered(run);
  if (unanswered && waited >= ReportTime)
    run.Services.Directory.refreshServers(run.Ctx);
  if (waited < (unanswered ? UnlistedReportTime : ReportTime))
    return;
  const bool formerSafer =
      unanswered && servers.at(from).Status->Log >= positionToCover(run) && !detail::listedSettled(servers);
  choose(run, formerSafer ? from : best.value_or(from));
}

Position LeadershipModule::acknowledgedPosition(Run &run) {
  auto &change = run.Change;
  const auto own = run.Services.Sessions.acknowledgedUpTo(run.Service).value_or(Position());
  change.Acknowledged =
      std::max({change.Acknowledged, change.Claim.known().Acknowledged, own, change.Fence.acknowledged()});
  return change.Acknowledged;
}

Position LeadershipModule::serverAcknowledgedPosition(Run &run) {
  auto &change = run.Change;
  const auto own = run.Services.Sessions.unreportedCommits(run.Service, TargetId()).Acknowledged;
  change.ServerAcknowledged = std::max({change.ServerAcknowledged, own, change.Fence.serverAcknowledged()});
  return change.ServerAcknowledged;
}

Position LeadershipModule::requiredPosition(Run &run) {
  auto &change = run.Change;
  change.Required = std::max({change.Required, change.Claim.known().Required, acknowledgedPosition(run)});
  return change.Required;
}

Position LeadershipModule::steppedDownPosition(const Run &run) {
  const auto it = run.Change.Servers.find(run.Change.Reason.From);
  const bool steppedDown = it != run.Change.Servers.end() && it->second.SteppedDown && it->second.Status;
  return steppedDown ? it->second.Status->Log : Position();
}

Position LeadershipModule::reportedPosition(Run &run) {
  if (run.Change.Fence.complete(run.Ctx.Now))
    return acknowledgedPosition(run);
  return std::max({requiredPosition(run), endedServersPosition(run), steppedDownPosition(run)});
}

Position LeadershipModule::positionToCover(Run &run) {
  return std::max(reportedPosition(run), serverAcknowledgedPosition(run));
}

bool LeadershipModule::logsAbsent(const Run &run) {
  const auto &servers = run.Change.Servers;
  const auto ended = run.Services.Catalog.missingServers(run.Service);
  return std::any_of(ended.begin(), ended.end(), [](const auto &it) { return !it.Announced; }) ||
         std::any_of(servers.begin(), servers.end(), [](const auto &one) { return !one.second.Status; });
}

detail::Coverage LeadershipModule::coverageOf(Run &run, const TargetId &candidate) {
  return detail::coverage({run.Change.Servers, positionToCover(run), logsAbsent(run), fenceCovers(run)},
                          candidate);
}

bool LeadershipModule::mustAwaitLog(Run &run, detail::Coverage coverage, Position log) {
  auto &change = run.Change;
  if (coverage == detail::Coverage::Complete) {
    change.UncoveredSince.reset();
    return false;
  }
  // Where nobody leads, the server that led last may have what is required, and reports it as it steps down.
  const auto &last = change.Reason.From;
  if (change.Reason.Kind == detail::ReasonKind::NoPrimary && run.Services.Catalog.server(last) &&
      !run.Services.Links.health(last).suspect(run.Ctx.Now) && !change.SteppedDownAt &&
      run.Ctx.Now - change.StartedAt < StepDownDelay)
    return true;
  if (run.Ctx.Now - change.UncoveredAt >= AbsentLogTimeout)
    change.UncoveredSince.reset();
  const auto since = change.UncoveredSince.value_or(run.Ctx.Now);
  change.UncoveredSince = since;
  change.UncoveredAt = run.Ctx.Now;
  const auto &from = change.Reason.From;
  const auto &health = run.Services.Links.health(from);
  const auto reply = health.lastReplyAt();
  const bool primaryServes = run.Services.Catalog.server(from) && !change.SteppedDownAt &&
                             !health.suspect(run.Ctx.Now) && reply &&
                             run.Ctx.Now - *reply < PrimaryReplyWindow;
  const bool reported = log < reportedPosition(run);
  const auto limit = !reported                                 ? UnreportedLogTimeout
                     : coverage == detail::Coverage::AwaitsLog ? AbsentLogTimeout
                                                               : UnknownLogTimeout;
  if (!primaryServes && run.Ctx.Now - since >= limit) {
    run.Ctx.emit(Count{"promotions_uncovered_total"});
    run.Ctx.emit(Log{LogLevel::Warn,
                     "acknowledged commits are taken as lost: no log that holds them has come back",
                     {{"service", run.Service.str()},
                      {"term", std::to_string(positionToCover(run).Term)},
                      {"position", std::to_string(positionToCover(run).Lsn)}}});
    return false;
  }
  // A replica that was left paused catches up once it is resumed.
  for (const auto &[target, it] : change.Servers)
    if (!it.FormerPrimary && !it.Missing)
      change.PausedByThisProxy.insert(target);
  giveUp(run,
         "no server that can be promoted has all acknowledged commits: required " +
             detail::toString(positionToCover(run)) + ", compared " + detail::describe(change.Servers),
         primaryServes ? detail::MinChangeInterval : NeedlessPause);
  return true;
}

bool LeadershipModule::awaitsStayingReplica(Run &run) {
  auto &change = run.Change;
  const auto best = detail::mostUpToDate(change.Servers, preferred(change));
  if (!best || !change.Servers.at(*best).Leaving)
    return false;
  auto staying = change.Servers;
  std::erase_if(staying, [](const auto &one) { return one.second.Leaving; });
  const auto heir = detail::mostUpToDate(staying, preferred(change));
  if (!heir)
    return false;
  if (!change.StayingAwaitedSince)
    change.StayingAwaitedSince = run.Ctx.Now;
  const auto limit = change.Reason.writesUnavailable() ? CatchUpTime : ServingCatchUpTime;
  if (run.Ctx.Now - *change.StayingAwaitedSince >= limit)
    return false;
  pauseReplicas(run, heir);
  queryAgain(run, *heir);
  return true;
}

void LeadershipModule::choose(Run &run, const TargetId &proposed) {
  auto &change = run.Change;
  // Also after a step-down: the server that stepped down may have led an earlier term only.
  if (!awaitServerList(run) || !awaitFence(run))
    return;
  const auto required = positionToCover(run);
  const auto candidate = detail::unlessFormerHoldsMore(change.Servers, proposed, required);
  const auto coverage = coverageOf(run, candidate);
  if (coverage == detail::Coverage::Uncompared)
    return;
  // Beside a primary that serves on, the candidate goes on receiving; its answer may be older than the newest
  // commit.
  const auto &server = change.Servers.at(candidate);
  if (coverage != detail::Coverage::Complete && !server.Paused && !server.FormerPrimary) {
    if (!change.BehindSince)
      change.BehindSince = run.Ctx.Now;
    if (run.Ctx.Now - *change.BehindSince < CatchUpTime) {
      queryAgain(run, candidate);
      return;
    }
  }
  const auto &log = change.Servers.at(candidate).Status->Log;
  if (mustAwaitLog(run, coverage, log))
    return;
  // The choice is made again for as long as the claim cannot be confirmed.
  const bool repeated = change.Candidate == candidate && change.CandidateLog == log;
  change.Candidate = candidate;
  change.CandidateLog = log;
  if (!repeated) {
    change.ChosenAt = run.Ctx.Now;
    logChoice(run, coverage);
  }
  change.Required = std::max(change.Required, log);
  change.CoveredPosition = std::max(required, log);
  confirmClaim(run);
}

} // namespace rosemaryhinge
