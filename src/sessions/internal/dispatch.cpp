// Selects the server and the link for a statement, and sends it.

#include "sessions/internal/serverchoice.h"
#include "sessions/sessionsmodule.h"

#include <algorithm>

namespace rosemaryhinge {

namespace {

/// A read without an idle link to the cheapest server goes to another one if that costs at most this much
/// more.
constexpr Duration MaxExtraCost = 30ms;
/// A statement that would wait longer than this part of its timeout is refused on arrival.
constexpr int MaxWaitPercent = 60;
/// Statements without a link after which the rest of a queue is left for the next pass.
constexpr std::size_t MaxFailuresInPass = 4;
/// The same where statements belong to workspaces: one without a link tells nothing about other workspaces.
constexpr std::size_t MaxFailuresWithWorkspaces = 256;
/// How long a replica that rejected a read as lagging is avoided.
constexpr Duration LaggingBackoff = 400ms;
/// Minimum interval between attempts to use the same server as the primary while none is known.
constexpr Duration PrimaryProbeInterval = 150ms;

} // namespace

void SessionsModule::dispatch(Context &ctx, SessionServices &services, SessionId id, Session &session) {
  DispatchPass attempt;
  if (session.Transaction && session.Transaction->Link) {
    send(ctx, services, id, session, *session.Transaction->Link,
         services.Links.targetOf(*session.Transaction->Link).value_or(TargetId()));
    return;
  }
  if (ctx.Now >= session.Current->RetryAt && tryStart(ctx, services, id, session, attempt))
    return;
  if (WaitingCount >= MaxWaiting) {
    handleRejection(ctx, services, id, session,
                    {Rejection::Busy, "too many statements wait; retry in 500 ms"}, TransactionState::Idle);
    return;
  }
  if (refuseLongWait(ctx, services, id, session))
    return;
  if (isWriteCommit(session, *session.Current) && commitsHeld(services.Fleet))
    countHeldCommit(ctx, services);
  enqueueWaiting(ctx, services, id, session);
  scheduleTimer(id, session);
}

bool SessionsModule::needsPrimary(const Session &session, const PendingStatement &work) {
  return !detail::isRead(session, work) || work.Route.Reads == Consistency::Primary || work.PrimaryOnly;
}

SessionsModule::WaitQueue &SessionsModule::queueOf(const Session &session) {
  auto &queues = Waiting[session.Current->Route.Service];
  return needsPrimary(session, *session.Current) ? queues.ForPrimary : queues.ForAnyServer;
}

bool SessionsModule::refuseLongWait(Context &ctx, SessionServices &services, SessionId id, Session &session) {
  const auto &work = *session.Current;
  const auto wait = queueOf(session).Estimator.expected(work.Route.Priority, ctx.Now);
  if (wait <= work.Route.StatementTimeout * MaxWaitPercent / 100)
    return false;
  ctx.emit(Count{"statements_refused_early_total"});
  const auto retryAfter = (wait + ctx.jitter(wait)) / 1ms;
  handleRejection(ctx, services, id, session,
                  {Rejection::Busy, "the queue is too long; retry in " + std::to_string(retryAfter) + " ms"},
                  TransactionState::Idle);
  return true;
}

void SessionsModule::enqueueWaiting(Context &ctx, SessionServices &services, SessionId id, Session &session) {
  auto &work = *session.Current;
  auto &queue = queueOf(session);
  const WaitKey key{work.Route.Priority, work.ArrivedAt, id};
  if (!queue.Statements.insert(key).second)
    return;
  queue.Estimator.onQueued(work.Route.Priority, ctx.Now);
  if (WaitingCount++ == 0)
    NextWaitingPass = ctx.Now + WaitRetryInterval;
  // It is not sent when too little time is left for a server to finish it.
  const auto needed = expectedDuration(ctx, services, work.Route.Service);
  work.LatestStart = std::max(work.Deadline - needed, work.ArrivedAt + work.Route.StatementTimeout / 2);
  if (LeavingSince)
    work.LatestStart = std::min(work.LatestStart, servingEndsAt() - needed);
}

Duration SessionsModule::expectedDuration(Context &ctx, SessionServices &services,
                                          const DatabaseId &service) {
  const auto primary = services.Catalog.primary(service);
  return primary ? services.Links.health(*primary).smoothedDuration(ctx.Now) : ServerHealth::InitialDuration;
}

void SessionsModule::removeWaiting(SessionId id, const Session &session) {
  if (!session.Current)
    return;
  const auto &work = *session.Current;
  const WaitKey key{work.Route.Priority, work.ArrivedAt, id};
  auto &queues = Waiting[work.Route.Service];
  for (auto *queue : {&queues.ForPrimary, &queues.ForAnyServer})
    if (queue->Statements.erase(key) > 0) {
      queue->Estimator.onRemoved(work.Route.Priority);
      --WaitingCount;
    }
}

void SessionsModule::onCapacity(Context &ctx, SessionServices &services) {
  // A statement that is refused in a pass frees its link; the next event passes it on.
  if (std::exchange(InPass, true))
    return;
  queryPrimaryForRequesters(ctx, services);
  for (const auto &[id, service] : Services)
    if (!service.AwaitingLease.empty())
      requestLease(ctx, services, id);
  if (!PendingSessions.empty())
    admitPendingSessions(ctx, services);
  for (auto &[service, queues] : Waiting) {
    DispatchPass attempt;
    startWaiting(ctx, services, queues.ForPrimary, attempt);
    startWaiting(ctx, services, queues.ForAnyServer, attempt);
  }
  InPass = false;
}

void SessionsModule::startWaiting(Context &ctx, SessionServices &services, WaitQueue &queue,
                                  DispatchPass &attempt) {
  const auto &statements = queue.Statements;
  std::size_t failures = 0;
  std::size_t left = statements.size();
  const bool byWorkspace = services.Catalog.configuration().Workspaces.has_value();
  const auto maxFailures = byWorkspace ? MaxFailuresWithWorkspaces : MaxFailuresInPass;
  attempt.Wanted.reset();
  for (auto it = statements.begin(); it != statements.end() && failures < maxFailures; --left) {
    const auto key = *it;
    const auto id = std::get<SessionId>(key);
    const auto session = Sessions.find(id);
    const bool due =
        session != Sessions.end() && session->second.Current && session->second.Current->RetryAt <= ctx.Now;
    if (due && tryStart(ctx, services, id, session->second, attempt))
      queue.Estimator.onStarted(ctx.Now);
    else if (due)
      ++failures;
    it = statements.upper_bound(key);
  }
  if (failures < maxFailures || left == 0 || !attempt.Wanted || byWorkspace)
    return;
  // The statements behind those that found no link would not find one either.
  const auto session = Sessions.find(std::get<SessionId>(*statements.begin()));
  if (session != Sessions.end() && session->second.Current)
    requestLinks(ctx, services, *attempt.Wanted, attempt.LinksWanted[{*attempt.Wanted, WorkspaceId()}] + left,
                 *session->second.Current);
}

std::optional<Position> SessionsModule::requiredPosition(const Session &session,
                                                         const PendingStatement &work) {
  if (work.Route.Reads == Consistency::Primary || work.PrimaryOnly)
    return std::nullopt;
  const auto began = detail::readTime(session, work);
  auto out = Services[work.Route.Service].Positions.smallestCovering(began - work.Route.MaxStaleness);
  if (!out || session.WrittenAtUnknownPosition.contains(work.Route.Service))
    return std::nullopt;
  if (const auto it = session.WrittenUpTo.find(work.Route.Service); it != session.WrittenUpTo.end())
    out = std::max(*out, it->second);
  return out;
}

std::vector<TargetId> SessionsModule::primaryCandidates(Context &ctx, SessionServices &services,
                                                        const PendingStatement &work) {
  const auto usable = [&](const TargetId &target) {
    const auto *view = services.Catalog.server(target);
    return view && (!view->LeavingSince || ctx.Now - *view->LeavingSince < detail::LeavingServerGrace);
  };
  if (const auto primary = services.Catalog.primary(work.Route.Service)) {
    if (!usable(*primary) || services.Links.health(*primary).suspect(ctx.Now)) {
      // Opening a link shows whether the server is reachable again.
      requestLinks(ctx, services, *primary, 1, work);
      return {};
    }
    return {*primary};
  }
  // No primary is known. Any server may have been promoted meanwhile; one that was not rejects the statement.
  auto &asked = Services[work.Route.Service].PrimaryProbedAt;
  std::vector<TargetId> out;
  for (const auto &target : services.Catalog.servers(work.Route.Service)) {
    const auto it = asked.find(target);
    if ((it == asked.end() || ctx.Now - it->second >= PrimaryProbeInterval) && usable(target) &&
        !services.Links.health(target).suspect(ctx.Now))
      out.push_back(target);
  }
  return out;
}

std::vector<TargetId> SessionsModule::candidates(Context &ctx, SessionServices &services,
                                                 const Session &session, PendingStatement &work,
                                                 std::optional<Position> &after) {
  const bool read = detail::isRead(session, work);
  after = read ? requiredPosition(session, work) : std::nullopt;
  if (!after) {
    const bool provable = read && work.Route.Reads != Consistency::Primary && !work.PrimaryOnly &&
                          !work.ExchangeTried &&
                          !session.WrittenAtUnknownPosition.contains(work.Route.Service);
    if (provable && services.Exchange.request(ctx, services.Fleet, work.Route.Service))
      return {};
    // No other proxy supplied a position, so ask the primary.
    work.ExchangeTried = work.ExchangeTried || provable;
    auto out = primaryCandidates(ctx, services, work);
    if (!read && commitsHeld(services.Fleet))
      return {};
    if (!read)
      std::erase_if(out, [&, &fence = Services[work.Route.Service].Fence](const TargetId &it) {
        return fence.bars(it, ctx.Now);
      });
    return out;
  }
  const auto primary = services.Catalog.primary(work.Route.Service);
  const auto &lagged = Services[work.Route.Service].LaggedAt;
  std::vector<std::pair<Duration, TargetId>> costs;
  for (const auto &target : services.Catalog.servers(work.Route.Service)) {
    const auto *view = services.Catalog.server(target);
    if (view->LeavingSince && ctx.Now - *view->LeavingSince >= detail::LeavingServerGrace)
      continue;
    const auto lag = lagged.find(target);
    const bool lags = lag != lagged.end() && ctx.Now - lag->second < LaggingBackoff;
    const bool avoid = lags || work.Avoid.contains(target) || view->LeavingSince;
    const auto cost =
        detail::readCost(ctx.Self, *view, services.Links, work.Workspace, primary == target, ctx.Now);
    costs.emplace_back(avoid ? cost + 1s : cost, target);
  }
  std::sort(costs.begin(), costs.end());
  std::vector<TargetId> out;
  for (const auto &[cost, target] : costs)
    if (cost <= costs.front().first + MaxExtraCost)
      out.push_back(target);
  return out;
}

void SessionsModule::requestLinks(Context &ctx, SessionServices &services, const TargetId &target,
                                  std::size_t waiting, const PendingStatement &work) {
  const auto lender =
      services.Lenders.lenderOf(ctx, services.Catalog, services.Links, services.Fleet, target);
  if (lender)
    services.Links.borrowLinks(ctx, services.Catalog, target, waiting,
                               {*lender, work.Route.Priority, work.Workspace});
  else
    services.Links.openLinks(ctx, services.Catalog, target, waiting, LinkPurpose::Statements, work.Workspace);
}

bool SessionsModule::tryStart(Context &ctx, SessionServices &services, SessionId id, Session &session,
                              DispatchPass &attempt) {
  auto &work = *session.Current;
  std::optional<Position> after;
  const auto targets = candidates(ctx, services, session, work, after);
  for (const auto &target : targets) {
    if (attempt.Exhausted.contains({target, work.Workspace}))
      continue;
    const auto link = services.Links.acquire(target, {id, false, 0, work.Workspace}, session.Values, ctx.Now);
    if (!link) {
      attempt.Exhausted.insert({target, work.Workspace});
      continue;
    }
    if (!services.Catalog.primary(work.Route.Service) && !after)
      Services[work.Route.Service].PrimaryProbedAt[target] = ctx.Now;
    // This statement uses a more costly server; open a link to the cheapest one for the statements that
    // follow.
    if (target != targets.front() && services.Links.idle(targets.front(), work.Workspace) == 0)
      requestLinks(ctx, services, targets.front(), 1, work);
    work.After = after;
    removeWaiting(id, session);
    send(ctx, services, id, session, *link, target);
    return true;
  }
  if (targets.empty())
    return false;
  attempt.Wanted = targets.front();
  requestLinks(ctx, services, targets.front(), ++attempt.LinksWanted[{targets.front(), work.Workspace}],
               work);
  return false;
}

void SessionsModule::send(Context &ctx, SessionServices &services, SessionId id, Session &session,
                          LinkId link, const TargetId &target) {
  auto &work = *session.Current;
  work.Attempt.emplace().Link = link;
  work.Target = target;
  work.SentAt = ctx.Now;
  ++work.SendCount;
  auto &transaction = session.Transaction;
  if (transaction && transaction->Link) {
    sendStatement(ctx, services, id, session);
    return;
  }
  if (!transaction && (work.Mode == AccessMode::Write || work.After)) {
    sendStatement(ctx, services, id, session);
    return;
  }
  // The statement is sent only after BEGIN has succeeded: if BEGIN were rejected, it would run outside the
  // transaction. A server that is no longer the primary rejects a read-write transaction but not a read-only
  // one.
  const bool replica = transaction && transaction->ReadOnly && work.After;
  if (transaction)
    transaction->Link = link;
  else
    work.Attempt->WrappedRead = true;
  const auto *execute = std::get_if<ExecuteStatement>(&work.Statement.Parsed);
  auto commands =
      services.Links.prepare(link, session.Values, execute ? &session.Prepared.at(execute->Name) : nullptr);
  commands.emplace_back(BeginTransaction{replica, replica ? work.After : std::nullopt});
  services.Links.send(ctx, link, std::move(commands));
  const auto confirmed = Services[work.Route.Service].Lease.confirmedAt();
  const bool covered = confirmed && *confirmed + PrimaryLease::Length >= leaseTime(session, work);
  if (!ctx.Self.PromotionFencing && !replica && !work.Commit && !covered)
    requestLease(ctx, services, work.Route.Service);
  scheduleTimer(id, session);
}

bool SessionsModule::isWriteCommit(const Session &session, const PendingStatement &work) {
  if (session.Transaction)
    return work.Commit && session.Transaction->Wrote;
  return work.Mode == AccessMode::Write;
}

void SessionsModule::countHeldCommit(Context &ctx, const SessionServices &services) {
  const std::string reason = services.Fleet.registration() > 0 ? "claims_not_listed" : "not_registered";
  ctx.emit(Count{"commits_held_total{reason=\"" + reason + "\"}"});
}

void SessionsModule::sendStatement(Context &ctx, SessionServices &services, SessionId id, Session &session) {
  auto &work = *session.Current;
  // The configuration may have changed since the statement arrived.
  if (workspaceFor(services.Catalog, session.Key, work.Route) != work.Workspace) {
    refuseUnsent(ctx, services, id, session, detail::unknownKey());
    return;
  }
  if (isWriteCommit(session, work) && commitsHeld(services.Fleet)) {
    countHeldCommit(ctx, services);
    const auto code = session.Transaction ? Rejection::Aborted : Rejection::Busy;
    handleRejection(ctx, services, id, session, {code, "not committed: the proxy is being registered"},
                    TransactionState::Open);
    return;
  }
  if (isWriteCommit(session, work) && Services[work.Route.Service].Fence.bars(work.Target, ctx.Now)) {
    const auto code = session.Transaction ? Rejection::Aborted : Rejection::Busy;
    handleRejection(ctx, services, id, session, {code, "not committed: another server is promoted"},
                    TransactionState::Open);
    return;
  }
  const PreparedShape *shape = nullptr;
  RunStatement run{work.Statement.Id, work.Statement.Text, std::nullopt};
  if (const auto *it = std::get_if<ExecuteStatement>(&work.Statement.Parsed)) {
    shape = &session.Prepared.at(it->Name);
    run.Body = ExecuteStatement{services.Links.preparedName(*shape), it->Arguments};
  }
  if (!session.Transaction && work.Mode == AccessMode::Read)
    run.After = work.After;
  auto commands = services.Links.prepare(work.Attempt->Link, session.Values, shape);
  commands.emplace_back(std::move(run));
  if (work.Attempt->WrappedRead)
    commands.emplace_back(RollbackTransaction{});
  work.Attempt->StatementSent = true;
  work.SentAt = ctx.Now;
  if (isWriteCommit(session, work))
    WritesInFlight[work.Route.Service].insert({work.SentAt, id});
  services.Links.send(ctx, work.Attempt->Link, std::move(commands));
  scheduleTimer(id, session);
}

} // namespace rosemaryhinge
