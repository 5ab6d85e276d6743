// Leases of primaries: which statements need one, and how it is confirmed.
//
// A current read is sent to the primary only once its lead is proven for a time at or after the read's
// arrival, and a read of bounded staleness for a time within its bound. Single writes need no lease: they are
// acknowledged only after a replica has received them.

#include "sessions/internal/serverchoice.h"
#include "sessions/sessionsmodule.h"

#include <algorithm>

namespace rosemaryhinge {

namespace {

/// Time after which another replica is asked.
constexpr Duration LeaseQueryTimeout = 200ms;
/// A replica that did not confirm the lease is not asked again for this time.
constexpr Duration LeaseQueryBackoff = 100ms;

} // namespace

TimePoint SessionsModule::leaseTime(const Session &session, const PendingStatement &work) {
  const auto began = detail::readTime(session, work);
  return work.Route.Reads == Consistency::Primary ? began : began - work.Route.MaxStaleness;
}

bool SessionsModule::admitByLease(Context &ctx, SessionServices &services, SessionId id, Session &session,
                                  Term term) {
  auto &work = *session.Current;
  auto &attempt = *work.Attempt;
  auto &service = Services[work.Route.Service];
  if (service.Lease.superseded(term)) {
    attempt.LeaseTerm.reset();
    handleRejection(ctx, services, id, session,
                    {Rejection::ReadOnly, "a server of a later term is the primary"}, TransactionState::Open);
    return false;
  }
  if (service.Lease.covers(term, leaseTime(session, work))) {
    attempt.LeaseTerm.reset();
    return true;
  }
  if (!attempt.LeaseTerm)
    ctx.emit(Count{"statements_awaiting_lease_total"});
  attempt.LeaseTerm = term;
  attempt.LeaseRetryAt = ctx.Now + WaitRetryInterval;
  service.AwaitingLease.insert(id);
  requestLease(ctx, services, work.Route.Service);
  scheduleTimer(id, session);
  return false;
}

void SessionsModule::confirmPrimary(Context &ctx, SessionServices &services, const DatabaseId &id,
                                    const TargetId &target, Term term) {
  const auto proven = Services[id].Lease.provenUntil(term);
  if (ctx.Self.PromotionFencing)
    services.Catalog.confirmPrimary(target, term);
  else if (proven && *proven >= ctx.Now)
    services.Catalog.confirmPrimary(target, term, *proven);
}

void SessionsModule::recordLeader(Context &ctx, SessionServices &services, const DatabaseId &id,
                                  const TargetId &target, Term term) {
  auto &service = Services[id];
  if (term <= service.LeaderTerm)
    return;
  const auto acknowledged = service.Acknowledged.value_or(Position());
  ctx.emit(
      Log{LogLevel::Info,
          "term began",
          {{"service", id.str()},
           {"server", target.str()},
           {"term", std::to_string(term)},
           {"acknowledged", std::to_string(acknowledged.Term) + "." + std::to_string(acknowledged.Lsn)}}});
  service.Leader = target;
  service.LeaderTerm = term;
  // The promotion has decided on the commits of the servers before.
  if (service.AnswerLost && service.AnswerLost->Server != target)
    service.AnswerLost.reset();
  applyWitness(ctx, services, id);
}

void SessionsModule::applyWitness(Context &ctx, SessionServices &services, const DatabaseId &id) {
  auto &service = Services[id];
  if (!service.Witness)
    return;
  const auto witness = *service.Witness;
  // A server that led the term may report itself as a replica of it before it knows of the next one.
  if (witness.FollowedTerm == service.LeaderTerm && witness.Target != service.Leader) {
    confirmLease(ctx, services, id, witness.FollowedTerm, witness.AskedAt);
    return;
  }
  service.LeaseRefusedAt[witness.Target] = ctx.Now;
  if (!service.Lease.superseded(witness.FollowedTerm)) {
    service.Lease.onTerm(witness.FollowedTerm);
    resumeAfterLease(ctx, services, id);
  }
}

void SessionsModule::confirmLease(Context &ctx, SessionServices &services, const DatabaseId &id, Term term,
                                  TimePoint at) {
  auto &service = Services[id];
  // The proxy that changes the primary counts on leases that run out once the fence is raised.
  const auto leader = term == service.LeaderTerm ? service.Leader : TargetId();
  if (!ctx.Self.PromotionFencing && service.Fence.withholds(leader, Position{term, 0}, ctx.Now))
    return;
  service.Lease.confirm(term, at);
  if (service.UnprovenSample && service.UnprovenSample->At.Term == term)
    addSample(ctx, services, *std::exchange(service.UnprovenSample, std::nullopt));
  resumeAfterLease(ctx, services, id);
}

void SessionsModule::resumeAfterLease(Context &ctx, SessionServices &services, const DatabaseId &id) {
  for (const auto &waiting : std::exchange(Services[id].AwaitingLease, {})) {
    const auto it = Sessions.find(waiting);
    if (it == Sessions.end() || !it->second.Current)
      continue;
    const auto &work = *it->second.Current;
    if (work.Route.Service != id || !work.Attempt || !work.Attempt->LeaseTerm)
      continue;
    const auto term = *work.Attempt->LeaseTerm;
    if (!admitByLease(ctx, services, waiting, it->second, term))
      continue;
    confirmPrimary(ctx, services, id, work.Target, term);
    sendStatement(ctx, services, waiting, it->second);
  }
}

void SessionsModule::requestLease(Context &ctx, SessionServices &services, const DatabaseId &id) {
  const auto &query = Services[id].PendingLeaseQuery;
  const bool pending =
      query && services.Links.targetOf(query->Link) && ctx.Now - query->SentAt < LeaseQueryTimeout;
  if (pending || services.Exchange.request(ctx, services.Fleet, id))
    return;
  queryReplica(ctx, services, id);
}

std::vector<TargetId> SessionsModule::leaseWitnesses(Context &ctx, SessionServices &services,
                                                     const DatabaseId &id, const Service &service) {
  std::vector<std::pair<Duration, TargetId>> found;
  const auto primary = services.Catalog.primary(id);
  for (const auto &target : services.Catalog.servers(id)) {
    const auto refused = service.LeaseRefusedAt.find(target);
    const bool rests =
        refused != service.LeaseRefusedAt.end() && ctx.Now - refused->second < LeaseQueryBackoff;
    if (target == primary || rests || services.Links.health(target).suspect(ctx.Now))
      continue;
    const auto &entry = services.Catalog.server(target)->Entry;
    found.emplace_back(detail::roundTrip(ctx.Self, entry.AvailabilityZone), target);
  }
  std::sort(found.begin(), found.end());
  std::vector<TargetId> out;
  out.reserve(found.size());
  for (const auto &[rtt, target] : found)
    out.push_back(target);
  return out;
}

void SessionsModule::queryReplica(Context &ctx, SessionServices &services, const DatabaseId &id) {
  auto &service = Services[id];
  const auto confirmed = service.Lease.confirmedAt();
  if (service.AwaitingLease.empty() && confirmed &&
      ctx.Now - *confirmed <= PositionExchange::MaxSharedLeaseAge)
    return;
  if (auto &query = service.PendingLeaseQuery; query && services.Links.targetOf(query->Link)) {
    if (ctx.Now - query->SentAt < LeaseQueryTimeout)
      return;
    service.LeaseRefusedAt[query->Target] = ctx.Now;
  }
  service.PendingLeaseQuery.reset();
  const auto witnesses = leaseWitnesses(ctx, services, id, service);
  for (const auto &target : witnesses) {
    const auto link = services.Links.acquire(target, {}, {}, ctx.Now);
    if (!link)
      continue;
    service.PendingLeaseQuery = LeaseQuery{*link, target, ctx.Now};
    ctx.emit(Count{"lease_queries_total"});
    services.Links.send(ctx, *link, {ReadServerStatus{}});
    services.Links.release(ctx, *link);
    return;
  }
  if (!witnesses.empty())
    services.Links.openLinks(ctx, services.Catalog, witnesses.front(), 1, LinkPurpose::Control);
}

void SessionsModule::onLeaseReply(Context &ctx, SessionServices &services, const LinkPool::Reply &reply,
                                  const LinkReplied &event) {
  auto &service = Services[reply.Service];
  if (!service.PendingLeaseQuery || service.PendingLeaseQuery->Link != event.Link)
    return;
  service.PendingLeaseQuery.reset();
  const auto &status = event.Status;
  if (status && status->Role == TargetRole::Replica && !status->Paused) {
    service.Witness = LeaseWitness{reply.Target, status->RaisedTerm, reply.SentAt};
    applyWitness(ctx, services, reply.Service);
    return;
  }
  ctx.emit(Count{"lease_queries_refused_total"});
  service.LeaseRefusedAt[reply.Target] = ctx.Now;
  if (!service.AwaitingLease.empty())
    queryReplica(ctx, services, reply.Service);
}

} // namespace rosemaryhinge
