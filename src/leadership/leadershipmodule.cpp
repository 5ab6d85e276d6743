// Steps of a change of primary.

#include "leadership/leadershipmodule.h"

#include <algorithm>

namespace rosemaryhinge {

namespace {

constexpr Duration IdleInterval = 200ms;
constexpr Duration ActiveInterval = 20ms;
constexpr Duration CallTimeout = 800ms;
/// Proxies that see the same fault wait a random time below this before they claim.
constexpr Duration MaxClaimDelay = 120ms;
/// The claim of another proxy gets this long before it is taken over.
constexpr Duration ClaimTakeoverDelay = 3s;
constexpr Duration RetryDelay = 400ms;
constexpr Duration SelectionTimeout = 6s;
/// An order or status query that has no answer is sent again on another link.
constexpr Duration RequestTimeout = 600ms;
/// Time for the candidate to receive what the paused replicas had, before it is paused, too.
constexpr Duration CatchUpTime = 150ms;
/// Replicas that receive nothing for this long, while commits wait, have lost the primary. Above the usual
/// lag of the network between regions.
constexpr Duration ReplicationStallTime = 200ms;
/// Without an answer of all replicas, the former primary is asked to step down.
constexpr Duration StepDownDelay = 1500ms;
constexpr Duration PromoteTimeout = 900ms;
constexpr int MaxPromotionAttempts = 4;
constexpr Duration NewPrimaryTimeout = 4s;
/// Pause after a change before the next one of the same service.
constexpr Duration MinChangeInterval = 2s;
/// A replica that was lost this long before the primary had no commit that the others did not receive.
constexpr Duration MissingReplicaLookback = 3s;

} // namespace

bool LeadershipModule::changeInProgress() const {
  return std::any_of(Changes.begin(), Changes.end(),
                     [](const auto &it) { return it.second.State >= Phase::SelectingCandidate; });
}

void LeadershipModule::enterPhase(PrimaryChange &change, Phase next, TimePoint now) {
  change.State = next;
  change.PhaseSince = now;
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
  bool active = false;
  for (const auto &service : services.Catalog.services()) {
    auto &change = Changes[service];
    step(ctx, services, service, change);
    active = active || change.State != Phase::Idle;
  }
  Next = ctx.Now + (active ? ActiveInterval : IdleInterval);
}

void LeadershipModule::step(Context &ctx, LeadershipServices &services, const DatabaseId &service,
                            PrimaryChange &change) {
  if (const auto primary = services.Catalog.primary(service);
      primary != change.Primary || change.PrimarySince == TimePoint()) {
    change.Primary = primary;
    change.PrimarySince = ctx.Now;
  }
  switch (change.State) {
  case Phase::Idle:
    startIfNeeded(ctx, services, service, change);
    break;
  case Phase::WaitingToClaim:
    if (ctx.Now >= change.ClaimAt) {
      if (detail::reasonToChange(service, services.Catalog, services.Links, services.Sessions,
                                 change.PrimarySince, ctx.Now))
        putClaim(ctx, service, change, false);
      else
        enterPhase(change, Phase::Idle, ctx.Now);
    }
    break;
  case Phase::SelectingCandidate:
    selectCandidate(ctx, services, service, change);
    break;
  case Phase::Promoting:
    if (!change.Call && ctx.Now >= change.NextAttemptAt)
      promote(ctx, service, change);
    break;
  case Phase::AwaitingPrimary:
    awaitPrimary(ctx, services, service, change);
    break;
  default:
    break;
  }
}

void LeadershipModule::startIfNeeded(Context &ctx, LeadershipServices &services, const DatabaseId &service,
                                     PrimaryChange &change) {
  if (Leaving || ctx.Now < change.NextAttemptAt || services.Catalog.servers(service).size() < 2)
    return;
  auto reason = detail::reasonToChange(service, services.Catalog, services.Links, services.Sessions,
                                       change.PrimarySince, ctx.Now);
  if (!reason)
    return;
  change.Reason = std::move(*reason);
  ctx.emit(
      Log{LogLevel::Warn,
          "primary suspected",
          {{"service", service.str()}, {"server", change.Reason.From.str()}, {"why", change.Reason.Why}}});
  readClaim(ctx, change);
}

void LeadershipModule::readClaim(Context &ctx, PrimaryChange &change) {
  enterPhase(change, Phase::ReadingClaim, ctx.Now);
  change.Call = ctx.call(Module::Leadership);
  ctx.emit(DirectoryCall{*change.Call, CallTimeout, ListDirectory{DirectoryKind::Claims, {}}});
}

void LeadershipModule::onDirectoryAnswer(Context &ctx, LeadershipServices &services,
                                         const DirectoryAnswer &event) {
  auto *it = completeCall(event.Call);
  if (!it)
    return;
  auto &[service, change] = *it;
  if (change.State == Phase::RecordingCompletion) {
    enterPhase(change, Phase::Idle, ctx.Now);
    return;
  }
  if (const auto *list = std::get_if<DirectoryListing>(&event.Result)) {
    Claim claim;
    claim.Service = service;
    claim.Done = true;
    for (const auto &object : list->Objects)
      if (const auto *one = std::get_if<Claim>(&object.Value); one && one->Service == service)
        claim = *one;
    onClaimRead(ctx, services, service, change, claim);
  } else if (const auto *stored = std::get_if<ClaimStored>(&event.Result)) {
    onClaimed(ctx, services, service, change, stored->Stored.Revision);
  } else if (const auto *conflict = std::get_if<ClaimConflict>(&event.Result)) {
    onClaimRead(ctx, services, service, change, conflict->Current);
  } else {
    const auto *failure = std::get_if<DirectoryFailure>(&event.Result);
    ctx.emit(Count{"claim_failures_total"});
    giveUp(ctx, services, service, change,
           failure ? "store: " + failure->Message : "store: unexpected answer", RetryDelay);
  }
}

void LeadershipModule::onClaimRead(Context &ctx, LeadershipServices &services, const DatabaseId &service,
                                   PrimaryChange &change, const Claim &claim) {
  if (!change.Nonce.empty() && claim.Nonce == change.Nonce && claim.Holder == ctx.Self.Node && !claim.Done) {
    // The answer to our own claim was lost.
    onClaimed(ctx, services, service, change, claim.Revision);
    return;
  }
  change.ClaimRevision = claim.Revision;
  if (!claim.Done && claim.Holder != ctx.Self.Node) {
    if (claim.Revision != change.OtherClaimRevision) {
      change.OtherClaimRevision = claim.Revision;
      change.OtherClaimSince = ctx.Now;
    }
    if (ctx.Now - change.OtherClaimSince < ClaimTakeoverDelay) {
      enterPhase(change, Phase::Idle, ctx.Now);
      change.NextAttemptAt = ctx.Now + RetryDelay;
      return;
    }
  }
  enterPhase(change, Phase::WaitingToClaim, ctx.Now);
  change.ClaimAt = ctx.Now + ctx.jitter(MaxClaimDelay);
}

void LeadershipModule::putClaim(Context &ctx, const DatabaseId &service, PrimaryChange &change, bool done) {
  if (!done)
    change.Nonce = std::to_string(ctx.Incarnation) + "." + std::to_string(ctx.nextNumber());
  enterPhase(change, done ? Phase::RecordingCompletion : Phase::Claiming, ctx.Now);
  change.Call = ctx.call(Module::Leadership);
  ctx.emit(DirectoryCall{
      *change.Call, CallTimeout,
      PutClaim{{service, ctx.Self.Node, change.Reason.From, done, change.Nonce, change.ClaimRevision}}});
}

void LeadershipModule::onClaimed(Context &ctx, LeadershipServices &services, const DatabaseId &service,
                                 PrimaryChange &change, std::uint64_t revision) {
  change.ClaimRevision = revision;
  change.Servers.clear();
  change.Requests.clear();
  change.PausedByThisProxy.clear();
  change.PauseTerm = 0;
  change.OthersPausedAt.reset();
  change.AllPositionsKnownAt.reset();
  change.QueriedAgain.clear();
  change.Candidate = TargetId();
  change.PromotionAttempts = 0;
  change.StartedAt = ctx.Now;
  enterPhase(change, Phase::SelectingCandidate, ctx.Now);
  ctx.emit(Count{"claims_total"});
  ctx.emit(Log{LogLevel::Warn,
               "change of primary claimed",
               {{"service", service.str()},
                {"from", change.Reason.From.str()},
                {"token", std::to_string(revision)},
                {"why", change.Reason.Why}}});
  selectCandidate(ctx, services, service, change);
}

void LeadershipModule::refreshServerStates(LeadershipServices &services, const DatabaseId &service,
                                           PrimaryChange &change, TimePoint now) {
  const auto &from = change.Reason.From;
  for (const auto &target : services.Catalog.servers(service)) {
    auto &it = change.Servers[target];
    it.Leaving = services.Catalog.server(target)->Entry.Leaving;
    it.FormerPrimary = target == from;
    it.Missing = false;
  }
  const auto seen = services.Sessions.primaryConfirmedAt(service).value_or(now);
  for (const auto &it : services.Catalog.missingServers(service)) {
    const bool irrelevant = it.WasPrimary || it.Target == from || seen - it.Since >= MissingReplicaLookback;
    if (irrelevant)
      change.Servers.erase(it.Target);
    else
      change.Servers[it.Target].Missing = true;
  }
  std::erase_if(change.Servers,
                [&](const auto &it) { return !it.second.Missing && !services.Catalog.server(it.first); });
}

void LeadershipModule::sendRequest(Context &ctx, LeadershipServices &services, PrimaryChange &change,
                                   const TargetId &target, bool pause) {
  auto it = change.Requests.find(target);
  if (it != change.Requests.end() && it->second.Sent) {
    if (ctx.Now - it->second.SentAt < RequestTimeout)
      return;
    ctx.emit(Count{"orders_unanswered_total"});
    services.Links.close(ctx, it->second.Link, true);
    change.Requests.erase(it);
    it = change.Requests.end();
  }
  if (it == change.Requests.end()) {
    const auto link = services.Links.acquire(target, {SessionId(), true}, {}, ctx.Now);
    if (!link) {
      services.Links.openLinks(ctx, services.Catalog, target, 1);
      return;
    }
    it = change.Requests.emplace(target, ServerRequest{*link, false, false, {}}).first;
  }
  auto &one = it->second;
  one.Sent = true;
  one.Pause = pause;
  one.SentAt = ctx.Now;
  if (pause && change.PauseTerm == 0)
    change.PauseTerm = detail::highestTerm(change.Servers) + 1;
  const auto term = change.PauseTerm;
  if (!pause)
    services.Links.send(ctx, one.Link, {ReadServerStatus{}});
  else if (change.Servers[target].FormerPrimary)
    services.Links.send(ctx, one.Link, {StepDownPrimary{term}});
  else
    services.Links.send(ctx, one.Link, {PauseReplica{term}});
  if (pause && !change.Servers[target].FormerPrimary)
    change.PausedByThisProxy.insert(target);
  ctx.emit(Count{pause ? "orders_total" : "status_queries_total"});
}

void LeadershipModule::selectCandidate(Context &ctx, LeadershipServices &services, const DatabaseId &service,
                                       PrimaryChange &change) {
  if (ctx.Now - change.StartedAt > SelectionTimeout) {
    giveUp(ctx, services, service, change, "the servers' logs could not be compared", RetryDelay);
    return;
  }
  refreshServerStates(services, service, change, ctx.Now);
  if (const auto leader = detail::newerPrimary(change.Servers)) {
    services.Catalog.confirmPrimary(*leader);
    giveUp(ctx, services, service, change, "another server leads already", MinChangeInterval);
    return;
  }
  bool allKnown = true;
  for (const auto &[target, it] : change.Servers) {
    if (it.Missing || it.FormerPrimary) {
      continue;
    }
    if (!it.Status) {
      allKnown = false;
      sendRequest(ctx, services, change, target, false);
    }
  }
  const bool former = change.Servers.contains(change.Reason.From) &&
                      !services.Links.health(change.Reason.From).suspect(ctx.Now);
  if (former && ctx.Now - change.StartedAt >= StepDownDelay &&
      !change.Servers[change.Reason.From].SteppedDown && detail::highestTerm(change.Servers) > 0)
    sendRequest(ctx, services, change, change.Reason.From, true);
  const auto candidate = detail::mostUpToDate(change.Servers);
  if (!candidate || (!allKnown && !change.Servers[change.Reason.From].SteppedDown))
    return;
  if (change.Reason.NeedsConfirmation && primaryLossUnconfirmed(ctx, services, service, change))
    return;
  bool othersPaused = true;
  for (const auto &[target, it] : change.Servers) {
    if (target == *candidate || it.FormerPrimary || it.Missing || it.Paused)
      continue;
    othersPaused = false;
    sendRequest(ctx, services, change, target, true);
  }
  if (detail::holdsAllCommits(change.Servers, *candidate)) {
    if (wouldLoseCommits(ctx, services, service, change, *candidate))
      return;
    change.Candidate = *candidate;
    ctx.emit(Log{LogLevel::Warn,
                 "server chosen to lead",
                 {{"service", service.str()},
                  {"server", candidate->str()},
                  {"term", std::to_string(change.Servers[*candidate].Status->Log.Term)},
                  {"position", std::to_string(change.Servers[*candidate].Status->Log.Lsn)},
                  {"ms", std::to_string((ctx.Now - change.StartedAt) / 1ms)}}});
    promote(ctx, service, change);
    return;
  }
  if (!othersPaused)
    return;
  if (!change.OthersPausedAt)
    change.OthersPausedAt = ctx.Now;
  sendRequest(ctx, services, change, *candidate, ctx.Now - *change.OthersPausedAt >= CatchUpTime);
}

bool LeadershipModule::wouldLoseCommits(Context &ctx, LeadershipServices &services, const DatabaseId &service,
                                        PrimaryChange &change, const TargetId &candidate) {
  const auto acknowledged = services.Sessions.acknowledgedUpTo(service);
  const auto &from = change.Reason.From;
  const bool present = services.Catalog.server(from) && !services.Links.health(from).suspect(ctx.Now);
  if (!present || candidate == from || !acknowledged ||
      change.Servers.at(candidate).Status->Log >= *acknowledged)
    return false;
  // The primary still has what the candidate lacks. A replica that was left paused catches up once it is
  // resumed.
  for (const auto &[target, it] : change.Servers)
    if (!it.FormerPrimary && !it.Missing)
      change.PausedByThisProxy.insert(target);
  giveUp(ctx, services, service, change, "the candidate lacks acknowledged commits that the primary has",
         MinChangeInterval);
  return true;
}

bool LeadershipModule::primaryLossUnconfirmed(Context &ctx, LeadershipServices &services,
                                              const DatabaseId &service, PrimaryChange &change) {
  if (!change.AllPositionsKnownAt)
    change.AllPositionsKnownAt = ctx.Now;
  if (detail::anyReplicaAdvances(change.Servers)) {
    giveUp(ctx, services, service, change, "the replicas receive from the primary", MinChangeInterval);
    return true;
  }
  if (ctx.Now - *change.AllPositionsKnownAt < ReplicationStallTime)
    return true;
  bool all = true;
  for (const auto &[target, it] : change.Servers) {
    if (it.Missing || it.FormerPrimary || !it.Status || change.QueriedAgain.contains(target))
      continue;
    all = false;
    sendRequest(ctx, services, change, target, false);
  }
  return !all;
}

void LeadershipModule::onReply(Context &ctx, LeadershipServices &services, const LinkPool::Reply &reply,
                               const LinkReplied &event) {
  const auto it = Changes.find(reply.Service);
  if (it == Changes.end())
    return;
  auto &change = it->second;
  const auto order = change.Requests.find(reply.Target);
  if (order == change.Requests.end() || order->second.Link != event.Link)
    return;
  order->second.Sent = false;
  if (change.State != Phase::SelectingCandidate)
    return;
  if (!event.Status) {
    const auto *why = std::get_if<StatementRejection>(&event.Outcome);
    ctx.emit(
        Log{LogLevel::Info,
            "order refused",
            {{"server", reply.Target.str()}, {"why", why ? std::string(toString(why->Code)) : "no status"}}});
    return;
  }
  auto &entry = change.Servers[reply.Target];
  entry.Status = *event.Status;
  if (!entry.FirstPosition)
    entry.FirstPosition = event.Status->Log;
  if (change.AllPositionsKnownAt && ctx.Now - *change.AllPositionsKnownAt >= ReplicationStallTime)
    change.QueriedAgain.insert(reply.Target);
  if (order->second.Pause && entry.FormerPrimary)
    entry.SteppedDown = event.Status->Role == TargetRole::Replica;
  else if (order->second.Pause)
    entry.Paused = true;
  ctx.emit(Log{LogLevel::Info,
               "server surveyed",
               {{"server", reply.Target.str()},
                {"role", event.Status->Role == TargetRole::Primary ? "primary" : "replica"},
                {"term", std::to_string(event.Status->RaisedTerm)},
                {"log", std::to_string(event.Status->Log.Term) + "." + std::to_string(event.Status->Log.Lsn)},
                {"paused", entry.Paused ? "yes" : "no"}}});
  selectCandidate(ctx, services, it->first, change);
}

void LeadershipModule::onLinkClosed(Context &, LeadershipServices &, const LinkPool::Closed &closed,
                                    LinkId link) {
  const auto it = Changes.find(closed.Service);
  if (it == Changes.end())
    return;
  const auto order = it->second.Requests.find(closed.Target);
  if (order != it->second.Requests.end() && order->second.Link == link)
    it->second.Requests.erase(order);
}

void LeadershipModule::promote(Context &ctx, const DatabaseId &service, PrimaryChange &change) {
  enterPhase(change, Phase::Promoting, ctx.Now);
  ++change.PromotionAttempts;
  change.Call = ctx.call(Module::Leadership);
  ctx.emit(Count{"promotions_ordered_total"});
  ctx.emit(PromotionCall{*change.Call, PromoteTimeout, service, change.Candidate, change.ClaimRevision});
}

void LeadershipModule::onPromotionAnswer(Context &ctx, LeadershipServices &services,
                                         const PromotionAnswer &event) {
  auto *it = completeCall(event.Call);
  if (!it)
    return;
  auto &[service, change] = *it;
  ctx.emit(Log{LogLevel::Warn,
               "promotion answered",
               {{"service", service.str()},
                {"server", change.Candidate.str()},
                {"token", std::to_string(change.ClaimRevision)},
                {"result", event.Message}}});
  switch (event.Result) {
  case PromotionResult::Accepted:
    if (!change.Reason.From.empty() && change.Reason.From != change.Candidate &&
        change.Reason.WritesUnavailable)
      services.Catalog.denyPrimary(change.Reason.From);
    enterPhase(change, Phase::AwaitingPrimary, ctx.Now);
    return;
  case PromotionResult::Fenced:
    // Another proxy may rely on the replicas that are paused.
    change.PausedByThisProxy.clear();
    giveUp(ctx, services, service, change, "fenced, or the server is not running", MinChangeInterval);
    return;
  default:
    if (change.PromotionAttempts >= MaxPromotionAttempts)
      giveUp(ctx, services, service, change, "the promotion was not accepted", RetryDelay);
    else
      change.NextAttemptAt = ctx.Now + RetryDelay;
    return;
  }
}

void LeadershipModule::awaitPrimary(Context &ctx, LeadershipServices &services, const DatabaseId &service,
                                    PrimaryChange &change) {
  if (services.Catalog.primary(service) == change.Candidate) {
    ctx.emit(Count{"primary_changes_total"});
    ctx.emit(Observe{"primary_change_seconds", ctx.Now - change.StartedAt});
    ctx.emit(Log{LogLevel::Warn,
                 "primary changed",
                 {{"service", service.str()},
                  {"server", change.Candidate.str()},
                  {"source", "this proxy"},
                  {"ms", std::to_string((ctx.Now - change.StartedAt) / 1ms)}}});
    releaseRequests(ctx, services, change, true);
    change.NextAttemptAt = ctx.Now + MinChangeInterval;
    putClaim(ctx, service, change, true);
    return;
  }
  if (ctx.Now - change.PhaseSince >= NewPrimaryTimeout)
    giveUp(ctx, services, service, change, "the promoted server does not lead", RetryDelay);
}

void LeadershipModule::giveUp(Context &ctx, LeadershipServices &services, const DatabaseId &service,
                              PrimaryChange &change, const std::string &why, Duration pause) {
  ctx.emit(Count{"changes_given_up_total"});
  ctx.emit(Log{LogLevel::Warn, "change of primary given up", {{"service", service.str()}, {"why", why}}});
  releaseRequests(ctx, services, change, true);
  change.NextAttemptAt = ctx.Now + pause;
  enterPhase(change, Phase::Idle, ctx.Now);
}

void LeadershipModule::releaseRequests(Context &ctx, LeadershipServices &services, PrimaryChange &change,
                                       bool resume) {
  for (const auto &[target, it] : change.Requests) {
    if (resume && change.PausedByThisProxy.contains(target) && services.Links.targetOf(it.Link))
      services.Links.send(ctx, it.Link, {ResumeReplica{}});
    services.Links.release(ctx, it.Link);
  }
  change.Requests.clear();
  change.PausedByThisProxy.clear();
}

} // namespace rosemaryhinge
