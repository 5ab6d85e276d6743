// Steps of a change of primary.

#include "leadership/leadershipmodule.h"

#include <algorithm>

namespace rosemaryhinge {

namespace {

constexpr Duration IdleInterval = 200ms;
constexpr Duration ActiveInterval = 20ms;
constexpr Duration CallTimeout = 800ms;
/// Proxies that see the same fault wait a random time below this before they claim.
constexpr Duration ClaimSpread = 120ms;
/// The claim of another proxy gets this long before it is taken over.
constexpr Duration TakeoverAfter = 3s;
constexpr Duration RetryPause = 400ms;
constexpr Duration SurveyLimit = 6s;
/// An order or status query that has no answer is sent again on another link.
constexpr Duration OrderPatience = 600ms;
/// Time for the candidate to receive what the paused replicas had, before it is paused, too.
constexpr Duration CatchUp = 150ms;
/// Replicas that receive nothing for this long, while commits wait, have lost the primary. Above the usual
/// lag of the network between regions.
constexpr Duration CompareTime = 200ms;
/// Without an answer of all replicas, the former primary is asked to step down.
constexpr Duration StepDownAfter = 1500ms;
constexpr Duration PromoteTimeout = 900ms;
constexpr int MaxPromoteTries = 4;
constexpr Duration SettleLimit = 4s;
/// Pause after a change before the next one of the same service.
constexpr Duration MinChangeInterval = 2s;
/// A replica that was lost this long before the primary had no commit that the others did not receive.
constexpr Duration MissingIrrelevantAfter = 3s;

} // namespace

bool LeadershipModule::changing() const {
  return std::any_of(Changes.begin(), Changes.end(),
                     [](const auto &it) { return it.second.State >= Phase::Surveying; });
}

void LeadershipModule::enter(Change &change, Phase next, TimePoint now) {
  change.State = next;
  change.PhaseSince = now;
}

std::pair<const DatabaseId, LeadershipModule::Change> *LeadershipModule::answered(const CallId &call) {
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
    active = active || change.State != Phase::None;
  }
  Next = ctx.Now + (active ? ActiveInterval : IdleInterval);
}

void LeadershipModule::step(Context &ctx, LeadershipServices &services, const DatabaseId &service,
                            Change &change) {
  if (const auto primary = services.Catalog.primary(service);
      primary != change.Primary || change.PrimarySince == TimePoint()) {
    change.Primary = primary;
    change.PrimarySince = ctx.Now;
  }
  switch (change.State) {
  case Phase::None:
    consider(ctx, services, service, change);
    break;
  case Phase::Waiting:
    if (ctx.Now >= change.ClaimAt) {
      if (detail::reasonToChange(service, services.Catalog, services.Links, services.Sessions,
                                 change.PrimarySince, ctx.Now))
        putClaim(ctx, service, change, false);
      else
        enter(change, Phase::None, ctx.Now);
    }
    break;
  case Phase::Surveying:
    survey(ctx, services, service, change);
    break;
  case Phase::Promoting:
    if (!change.Call && ctx.Now >= change.NotBefore)
      promote(ctx, service, change);
    break;
  case Phase::Settling:
    settle(ctx, services, service, change);
    break;
  default:
    break;
  }
}

void LeadershipModule::consider(Context &ctx, LeadershipServices &services, const DatabaseId &service,
                                Change &change) {
  if (Leaving || ctx.Now < change.NotBefore || services.Catalog.servers(service).size() < 2)
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

void LeadershipModule::readClaim(Context &ctx, Change &change) {
  enter(change, Phase::Reading, ctx.Now);
  change.Call = ctx.call(Module::Leadership);
  ctx.emit(DirectoryCall{*change.Call, CallTimeout, ListDirectory{DirectoryKind::Claims, {}}});
}

void LeadershipModule::onDirectoryAnswer(Context &ctx, LeadershipServices &services,
                                         const DirectoryAnswer &event) {
  auto *it = answered(event.Call);
  if (!it)
    return;
  auto &[service, change] = *it;
  if (change.State == Phase::Recording) {
    enter(change, Phase::None, ctx.Now);
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
           failure ? "store: " + failure->Message : "store: unexpected answer", RetryPause);
  }
}

void LeadershipModule::onClaimRead(Context &ctx, LeadershipServices &services, const DatabaseId &service,
                                   Change &change, const Claim &claim) {
  if (!change.Nonce.empty() && claim.Nonce == change.Nonce && claim.Holder == ctx.Self.Node && !claim.Done) {
    // The answer to our own claim was lost.
    onClaimed(ctx, services, service, change, claim.Revision);
    return;
  }
  change.ClaimRevision = claim.Revision;
  if (!claim.Done && claim.Holder != ctx.Self.Node) {
    if (claim.Revision != change.ForeignRevision) {
      change.ForeignRevision = claim.Revision;
      change.ForeignSince = ctx.Now;
    }
    if (ctx.Now - change.ForeignSince < TakeoverAfter) {
      enter(change, Phase::None, ctx.Now);
      change.NotBefore = ctx.Now + RetryPause;
      return;
    }
  }
  enter(change, Phase::Waiting, ctx.Now);
  change.ClaimAt = ctx.Now + ctx.jitter(ClaimSpread);
}

void LeadershipModule::putClaim(Context &ctx, const DatabaseId &service, Change &change, bool done) {
  if (!done)
    change.Nonce = std::to_string(ctx.Incarnation) + "." + std::to_string(ctx.nextNumber());
  enter(change, done ? Phase::Recording : Phase::Claiming, ctx.Now);
  change.Call = ctx.call(Module::Leadership);
  ctx.emit(DirectoryCall{
      *change.Call, CallTimeout,
      PutClaim{{service, ctx.Self.Node, change.Reason.From, done, change.Nonce, change.ClaimRevision}}});
}

void LeadershipModule::onClaimed(Context &ctx, LeadershipServices &services, const DatabaseId &service,
                                 Change &change, std::uint64_t revision) {
  change.ClaimRevision = revision;
  change.Servers.clear();
  change.Orders.clear();
  change.PausedByUs.clear();
  change.OrderTerm = 0;
  change.OthersPausedAt.reset();
  change.ComparedAt.reset();
  change.AskedAgain.clear();
  change.Chosen = TargetId();
  change.PromoteTries = 0;
  change.StartedAt = ctx.Now;
  enter(change, Phase::Surveying, ctx.Now);
  ctx.emit(Count{"claims_total"});
  ctx.emit(Log{LogLevel::Warn,
               "change of primary claimed",
               {{"service", service.str()},
                {"from", change.Reason.From.str()},
                {"token", std::to_string(revision)},
                {"why", change.Reason.Why}}});
  survey(ctx, services, service, change);
}

void LeadershipModule::refreshSurvey(LeadershipServices &services, const DatabaseId &service, Change &change,
                                     TimePoint now) {
  const auto &from = change.Reason.From;
  for (const auto &target : services.Catalog.servers(service)) {
    auto &it = change.Servers[target];
    it.Leaving = services.Catalog.server(target)->Entry.Leaving;
    it.Former = target == from;
    it.Missing = false;
  }
  const auto seen = services.Sessions.primarySeen(service).value_or(now);
  for (const auto &it : services.Catalog.missing(service)) {
    const bool irrelevant = it.WasPrimary || it.Target == from || seen - it.Since >= MissingIrrelevantAfter;
    if (irrelevant)
      change.Servers.erase(it.Target);
    else
      change.Servers[it.Target].Missing = true;
  }
  std::erase_if(change.Servers,
                [&](const auto &it) { return !it.second.Missing && !services.Catalog.server(it.first); });
}

void LeadershipModule::order(Context &ctx, LeadershipServices &services, Change &change,
                             const TargetId &target, bool pause) {
  auto it = change.Orders.find(target);
  if (it != change.Orders.end() && it->second.Sent) {
    if (ctx.Now - it->second.SentAt < OrderPatience)
      return;
    ctx.emit(Count{"orders_unanswered_total"});
    services.Links.close(ctx, it->second.Link, true);
    change.Orders.erase(it);
    it = change.Orders.end();
  }
  if (it == change.Orders.end()) {
    const auto link = services.Links.acquire(target, {SessionId(), true}, {}, ctx.Now);
    if (!link) {
      services.Links.openLinks(ctx, services.Catalog, target, 1);
      return;
    }
    it = change.Orders.emplace(target, Order{*link, false, false, {}}).first;
  }
  auto &one = it->second;
  one.Sent = true;
  one.Pause = pause;
  one.SentAt = ctx.Now;
  if (pause && change.OrderTerm == 0)
    change.OrderTerm = detail::newestTerm(change.Servers) + 1;
  const auto term = change.OrderTerm;
  if (!pause)
    services.Links.send(ctx, one.Link, {ReadServerStatus{}});
  else if (change.Servers[target].Former)
    services.Links.send(ctx, one.Link, {StepDownPrimary{term}});
  else
    services.Links.send(ctx, one.Link, {PauseReplica{term}});
  if (pause && !change.Servers[target].Former)
    change.PausedByUs.insert(target);
  ctx.emit(Count{pause ? "orders_total" : "status_queries_total"});
}

void LeadershipModule::survey(Context &ctx, LeadershipServices &services, const DatabaseId &service,
                              Change &change) {
  if (ctx.Now - change.StartedAt > SurveyLimit) {
    giveUp(ctx, services, service, change, "the servers' logs could not be compared", RetryPause);
    return;
  }
  refreshSurvey(services, service, change, ctx.Now);
  if (const auto leader = detail::leads(change.Servers)) {
    services.Catalog.confirmPrimary(*leader);
    giveUp(ctx, services, service, change, "another server leads already", MinChangeInterval);
    return;
  }
  bool allKnown = true;
  for (const auto &[target, it] : change.Servers) {
    if (it.Missing || it.Former) {
      continue;
    }
    if (!it.Status) {
      allKnown = false;
      order(ctx, services, change, target, false);
    }
  }
  const bool former = change.Servers.contains(change.Reason.From) &&
                      !services.Links.health(change.Reason.From).suspect(ctx.Now);
  if (former && ctx.Now - change.StartedAt >= StepDownAfter &&
      !change.Servers[change.Reason.From].SteppedDown && detail::newestTerm(change.Servers) > 0)
    order(ctx, services, change, change.Reason.From, true);
  const auto candidate = detail::furthest(change.Servers);
  if (!candidate || (!allKnown && !change.Servers[change.Reason.From].SteppedDown))
    return;
  if (change.Reason.Doubtful && doubtsRemain(ctx, services, service, change))
    return;
  bool othersPaused = true;
  for (const auto &[target, it] : change.Servers) {
    if (target == *candidate || it.Former || it.Missing || it.Paused)
      continue;
    othersPaused = false;
    order(ctx, services, change, target, true);
  }
  if (detail::holdsAll(change.Servers, *candidate)) {
    if (losesCommits(ctx, services, service, change, *candidate))
      return;
    change.Chosen = *candidate;
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
  order(ctx, services, change, *candidate, ctx.Now - *change.OthersPausedAt >= CatchUp);
}

bool LeadershipModule::losesCommits(Context &ctx, LeadershipServices &services, const DatabaseId &service,
                                    Change &change, const TargetId &candidate) {
  const auto acknowledged = services.Sessions.acknowledgedUpTo(service);
  const auto &from = change.Reason.From;
  const bool present = services.Catalog.server(from) && !services.Links.health(from).suspect(ctx.Now);
  if (!present || candidate == from || !acknowledged ||
      change.Servers.at(candidate).Status->Log >= *acknowledged)
    return false;
  // The primary still has what the candidate lacks. A replica that was left paused catches up once it is
  // resumed.
  for (const auto &[target, it] : change.Servers)
    if (!it.Former && !it.Missing)
      change.PausedByUs.insert(target);
  giveUp(ctx, services, service, change, "the candidate lacks acknowledged commits that the primary has",
         MinChangeInterval);
  return true;
}

bool LeadershipModule::doubtsRemain(Context &ctx, LeadershipServices &services, const DatabaseId &service,
                                    Change &change) {
  if (!change.ComparedAt)
    change.ComparedAt = ctx.Now;
  if (detail::receives(change.Servers)) {
    giveUp(ctx, services, service, change, "the replicas receive from the primary", MinChangeInterval);
    return true;
  }
  if (ctx.Now - *change.ComparedAt < CompareTime)
    return true;
  bool all = true;
  for (const auto &[target, it] : change.Servers) {
    if (it.Missing || it.Former || !it.Status || change.AskedAgain.contains(target))
      continue;
    all = false;
    order(ctx, services, change, target, false);
  }
  return !all;
}

void LeadershipModule::onReply(Context &ctx, LeadershipServices &services, const LinkPool::Reply &reply,
                               const LinkReplied &event) {
  const auto it = Changes.find(reply.Service);
  if (it == Changes.end())
    return;
  auto &change = it->second;
  const auto order = change.Orders.find(reply.Target);
  if (order == change.Orders.end() || order->second.Link != event.Link)
    return;
  order->second.Sent = false;
  if (change.State != Phase::Surveying)
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
  if (!entry.FirstLog)
    entry.FirstLog = event.Status->Log;
  if (change.ComparedAt && ctx.Now - *change.ComparedAt >= CompareTime)
    change.AskedAgain.insert(reply.Target);
  if (order->second.Pause && entry.Former)
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
  survey(ctx, services, it->first, change);
}

void LeadershipModule::onLinkClosed(Context &, LeadershipServices &, const LinkPool::Closed &closed,
                                    LinkId link) {
  const auto it = Changes.find(closed.Service);
  if (it == Changes.end())
    return;
  const auto order = it->second.Orders.find(closed.Target);
  if (order != it->second.Orders.end() && order->second.Link == link)
    it->second.Orders.erase(order);
}

void LeadershipModule::promote(Context &ctx, const DatabaseId &service, Change &change) {
  enter(change, Phase::Promoting, ctx.Now);
  ++change.PromoteTries;
  change.Call = ctx.call(Module::Leadership);
  ctx.emit(Count{"promotions_ordered_total"});
  ctx.emit(PromotionCall{*change.Call, PromoteTimeout, service, change.Chosen, change.ClaimRevision});
}

void LeadershipModule::onPromotionAnswer(Context &ctx, LeadershipServices &services,
                                         const PromotionAnswer &event) {
  auto *it = answered(event.Call);
  if (!it)
    return;
  auto &[service, change] = *it;
  ctx.emit(Log{LogLevel::Warn,
               "promotion answered",
               {{"service", service.str()},
                {"server", change.Chosen.str()},
                {"token", std::to_string(change.ClaimRevision)},
                {"result", event.Message}}});
  switch (event.Result) {
  case PromotionResult::Accepted:
    if (!change.Reason.From.empty() && change.Reason.From != change.Chosen && change.Reason.Urgent)
      services.Catalog.denyPrimary(change.Reason.From);
    enter(change, Phase::Settling, ctx.Now);
    return;
  case PromotionResult::Fenced:
    // Another proxy may rely on the replicas that are paused.
    change.PausedByUs.clear();
    giveUp(ctx, services, service, change, "fenced, or the server is not running", MinChangeInterval);
    return;
  default:
    if (change.PromoteTries >= MaxPromoteTries)
      giveUp(ctx, services, service, change, "the promotion was not accepted", RetryPause);
    else
      change.NotBefore = ctx.Now + RetryPause;
    return;
  }
}

void LeadershipModule::settle(Context &ctx, LeadershipServices &services, const DatabaseId &service,
                              Change &change) {
  if (services.Catalog.primary(service) == change.Chosen) {
    ctx.emit(Count{"primary_changes_total"});
    ctx.emit(Observe{"primary_change_seconds", ctx.Now - change.StartedAt});
    ctx.emit(Log{LogLevel::Warn,
                 "primary changed",
                 {{"service", service.str()},
                  {"server", change.Chosen.str()},
                  {"source", "this proxy"},
                  {"ms", std::to_string((ctx.Now - change.StartedAt) / 1ms)}}});
    releaseOrders(ctx, services, change, true);
    change.NotBefore = ctx.Now + MinChangeInterval;
    putClaim(ctx, service, change, true);
    return;
  }
  if (ctx.Now - change.PhaseSince >= SettleLimit)
    giveUp(ctx, services, service, change, "the promoted server does not lead", RetryPause);
}

void LeadershipModule::giveUp(Context &ctx, LeadershipServices &services, const DatabaseId &service,
                              Change &change, const std::string &why, Duration pause) {
  ctx.emit(Count{"changes_given_up_total"});
  ctx.emit(Log{LogLevel::Warn, "change of primary given up", {{"service", service.str()}, {"why", why}}});
  releaseOrders(ctx, services, change, true);
  change.NotBefore = ctx.Now + pause;
  enter(change, Phase::None, ctx.Now);
}

void LeadershipModule::releaseOrders(Context &ctx, LeadershipServices &services, Change &change,
                                     bool resume) {
  for (const auto &[target, it] : change.Orders) {
    if (resume && change.PausedByUs.contains(target) && services.Links.targetOf(it.Link))
      services.Links.send(ctx, it.Link, {ResumeReplica{}});
    services.Links.release(ctx, it.Link);
  }
  change.Orders.clear();
  change.PausedByUs.clear();
}

} // namespace rosemaryhinge
