// Session lifecycle, timers and graceful shutdown.

#include "sessions/sessionsmodule.h"

#include "sessions/internal/configurationlog.h"

#include <algorithm>

namespace rosemaryhinge {

namespace {

constexpr std::size_t MaxQueuedStatements = 32;
/// Time until the load balancer stops sending sessions. It polls readiness once a second and takes a proxy
/// out of rotation after two failed checks. Until then sessions stay open: a closed one would reconnect to
/// this proxy.
constexpr Duration BalancerDrainTime = 2200ms;
/// Upper limit of the wait for the load balancer, in percent of the shutdown grace.
constexpr int BalancerDrainPercent = 40;
/// During shutdown, a session whose last answer did not end an operation, or came before the load balancer
/// had stopped, is closed once it has been idle this long. Without the delay, the next statement of the same
/// operation would find the connection closed.
constexpr Duration IdleCloseDelay = 250ms;
/// During shutdown, a session that has sent no statement yet is closed once it has been open this long: its
/// first statement may still be in transit.
constexpr Duration UnusedCloseDelay = 500ms;
/// Divisor of the shutdown grace: open transactions are rolled back after Grace / TransactionGraceDivisor.
constexpr int TransactionGraceDivisor = 2;
/// How long before the end of the shutdown grace the remaining statements are answered and their sessions
/// closed.
constexpr Duration ForcedCloseMargin = 800ms;

} // namespace

void SessionsModule::onConnected(Context &ctx, const CallerConnected &event) {
  Connected.emplace(event.Session, ctx.Now);
}

void SessionsModule::onOpened(Context &ctx, SessionServices &services, const SessionOpened &event) {
  // The start of a session may cross the end of its connection.
  if (Connected.erase(event.Session) == 0)
    return;
  if (services.Catalog.configured())
    startSession(ctx, services, event);
  else
    PendingSessions.emplace(event.Session, PendingSession{event, ctx.Now + ConfigurationTimeout});
}

void SessionsModule::startSession(Context &ctx, SessionServices &services, const SessionOpened &event) {
  std::optional<StatementRejection> why;
  const auto *route = services.Catalog.route(event.Database);
  if (!route)
    why = {Rejection::NoDatabase, "no route has this name"};
  else
    why = refusalOfKey(ctx, services.Catalog, event.Key, *route);
  if (why) {
    ctx.emit(Count{"sessions_refused_total"});
    Log line{LogLevel::Info,
             "session refused",
             {{"session", std::to_string(event.Session.Value)},
              {"database", event.Database},
              {"reason", std::string(toString(why->Code))}}};
    detail::addConfiguration(line, services.Catalog, ctx.Now);
    ctx.emit(std::move(line));
    ctx.emit(RefuseSession{event.Session, *why});
    return;
  }
  auto &session = Sessions[event.Session];
  session.Database = event.Database;
  session.Key = event.Key;
  session.IdleSince = ctx.Now;
  ctx.emit(Count{"sessions_opened_total"});
  ctx.emit(AcceptSession{event.Session});
  if (LeavingSince)
    scheduleTimer(event.Session, session);
}

void SessionsModule::admitPendingSessions(Context &ctx, SessionServices &services) {
  if (services.Catalog.configured()) {
    for (const auto &[id, it] : std::exchange(PendingSessions, {}))
      startSession(ctx, services, it.Opened);
    return;
  }
  for (auto it = PendingSessions.begin(); it != PendingSessions.end();) {
    if (ctx.Now < pendingUntil(it->second)) {
      ++it;
      continue;
    }
    ctx.emit(Count{"sessions_refused_total"});
    ctx.emit(RefuseSession{it->first, {Rejection::Busy, "no configuration was read yet; retry in 500 ms"}});
    it = PendingSessions.erase(it);
  }
}

void SessionsModule::onStatement(Context &ctx, SessionServices &services, const StatementArrived &event) {
  closeLargeSessions(ctx, services);
  const auto it = Sessions.find(event.Session);
  if (it == Sessions.end()) {
    // It was in the queue of events when its session was closed, and the connection is still open.
    if (!PendingSessions.contains(event.Session))
      ctx.emit(AnswerStatement{
          event.Session, event.Statement.Id,
          StatementRejection{Rejection::Busy, "the session is closed; retry at another proxy"},
          TransactionState::Idle, std::nullopt});
    return;
  }
  auto &session = it->second;
  session.ReceivedStatement = true;
  if (session.Current) {
    if (session.Queued.size() < MaxQueuedStatements) {
      session.Queued.push_back(event.Statement);
      return;
    }
    ctx.emit(Log{LogLevel::Warn,
                 "session closed",
                 {{"session", std::to_string(event.Session.Value)},
                  {"request", session.Current->Statement.Id},
                  {"why", "too many queued statements"}}});
    endWithoutAnswer(ctx, services, event.Session);
    ctx.emit(CloseSession{event.Session, true});
    return;
  }
  handleStatement(ctx, services, event.Session, session, event.Statement);
}

void SessionsModule::onClosed(Context &ctx, SessionServices &services, const SessionClosed &event) {
  Connected.erase(event.Session);
  PendingSessions.erase(event.Session);
  const auto it = Sessions.find(event.Session);
  if (it == Sessions.end())
    return;
  if (const auto &work = it->second.Current) {
    ctx.emit(Count{"statements_abandoned_total"});
    ctx.emit(Log{LogLevel::Info,
                 "caller left during a statement",
                 {{"request", work->Statement.Id},
                  {"session", std::to_string(event.Session.Value)},
                  {"database", it->second.Database},
                  {"service", work->Route.Service.str()},
                  {"server", work->Attempt ? work->Target.str() : "-"},
                  {"ms", std::to_string((ctx.Now - work->ArrivedAt) / 1ms)}}});
  }
  endWithoutAnswer(ctx, services, event.Session);
}

void SessionsModule::endWithoutAnswer(Context &ctx, SessionServices &services, SessionId id) {
  const auto it = Sessions.find(id);
  if (it == Sessions.end())
    return;
  const auto &session = it->second;
  if (const auto &work = session.Current;
      work && work->Attempt && work->Attempt->StatementSent && isWriteCommit(session, *work))
    Services[work->Route.Service].AnswerLost = LostAnswer{work->Target, ctx.Now};
  if (session.Transaction && session.Transaction->Link) {
    services.Links.release(ctx, *session.Transaction->Link);
  } else if (session.Current && session.Current->Attempt) {
    services.Links.release(ctx, session.Current->Attempt->Link);
  }
  services.Quota.cancel(id);
  erase(id);
  onCapacity(ctx, services);
}

void SessionsModule::erase(SessionId id) {
  const auto it = Sessions.find(id);
  removeWaiting(id, it->second);
  if (it->second.TimerAt)
    Timers.erase({*it->second.TimerAt, id});
  if (const auto &work = it->second.Current; work && work->Attempt)
    WritesInFlight[work->Route.Service].erase({work->SentAt, id});
  State.set(id, 0);
  Sessions.erase(it);
}

void SessionsModule::closeLargeSessions(Context &ctx, SessionServices &services) {
  State.setLimit(ctx.Self.SessionStateBytes);
  for (const auto &id : State.excess()) {
    const auto it = Sessions.find(id);
    if (it == Sessions.end())
      continue;
    const bool unanswered = it->second.Current.has_value();
    ctx.emit(Count{"callers_closed_total{reason=\"session_state\"}"});
    ctx.emit(Log{LogLevel::Warn,
                 "session closed",
                 {{"session", std::to_string(id.Value)},
                  {"why", "its values and prepared statements take too much memory"}}});
    endWithoutAnswer(ctx, services, id);
    ctx.emit(CloseSession{id, unanswered});
  }
}

std::optional<TimePoint> SessionsModule::nextTimer() const {
  std::optional<TimePoint> out;
  if (!Timers.empty())
    out = Timers.begin()->first;
  const auto earlier = [&out](TimePoint it) { out = out ? std::min(*out, it) : it; };
  for (const auto &[id, it] : PendingSessions)
    earlier(pendingUntil(it));
  if (LeavingSince)
    for (const auto &[id, connectedAt] : Connected)
      earlier(unusedCloseTime(connectedAt));
  if (WaitingCount > 0)
    earlier(NextWaitingPass);
  return out;
}

void SessionsModule::onTimer(Context &ctx, SessionServices &services) {
  admitPendingSessions(ctx, services);
  closeUnusedConnections(ctx);
  // Each due session is handled once; a timer that is set again while this runs waits for the next event.
  std::vector<SessionId> due;
  for (auto it = Timers.begin(); it != Timers.end() && it->first <= ctx.Now; ++it)
    due.push_back(it->second);
  for (const auto &id : due) {
    const auto it = Sessions.find(id);
    if (it == Sessions.end() || !it->second.TimerAt || *it->second.TimerAt > ctx.Now)
      continue;
    Timers.erase({*it->second.TimerAt, id});
    it->second.TimerAt.reset();
    onSessionTimer(ctx, services, id, it->second);
  }
  if (WaitingCount > 0 && ctx.Now >= NextWaitingPass) {
    NextWaitingPass = ctx.Now + WaitRetryInterval;
    onCapacity(ctx, services);
  }
}

void SessionsModule::scheduleTimer(SessionId id, Session &session) {
  std::optional<TimePoint> at;
  const auto earlier = [&at](TimePoint it) { at = at ? std::min(*at, it) : it; };
  if (const auto &work = session.Current) {
    earlier(detail::giveUpTime(session, *work));
    if (work->Attempt && work->Attempt->LeaseTerm)
      earlier(work->Attempt->LeaseRetryAt);
    else if (work->Attempt && !session.Transaction && work->Mode == AccessMode::Read)
      earlier(work->SentAt + ReadResendTimeout);
    if (!work->Attempt && work->RetryPending)
      earlier(work->RetryAt);
  } else if (session.Transaction && !session.Transaction->Failed && session.Transaction->Link) {
    earlier(session.Transaction->IdleSince + TransactionIdle);
  }
  if (LeavingSince) {
    if (!session.Current && !session.Transaction)
      earlier(idleCloseTime(session));
    else if (!session.Current && !session.Transaction->Failed)
      earlier(transactionsEndAt());
    earlier(servingEndsAt());
  }
  if (session.TimerAt == at)
    return;
  if (session.TimerAt)
    Timers.erase({*session.TimerAt, id});
  session.TimerAt = at;
  if (at)
    Timers.insert({*at, id});
}

void SessionsModule::onSessionTimer(Context &ctx, SessionServices &services, SessionId id, Session &session) {
  if (LeavingSince && ctx.Now >= servingEndsAt()) {
    endSession(ctx, services, id, session);
    return;
  }
  if (session.Current) {
    auto &work = *session.Current;
    const bool sent = work.Attempt.has_value();
    if (ctx.Now >= detail::giveUpTime(session, work)) {
      handleNoAnswer(ctx, services, id, session, detail::NoAnswer::DeadlineExceeded);
      return;
    }
    if (sent && work.Attempt->LeaseTerm) {
      work.Attempt->LeaseRetryAt = ctx.Now + WaitRetryInterval;
      requestLease(ctx, services, work.Route.Service);
    } else if (sent && !session.Transaction && work.Mode == AccessMode::Read &&
               ctx.Now >= work.SentAt + ReadResendTimeout) {
      resendRead(ctx, services, id, session);
      return;
    }
    if (!sent && work.RetryPending && ctx.Now >= work.RetryAt) {
      work.RetryPending = false;
      DispatchPass attempt;
      if (session.Transaction && session.Transaction->Link) {
        dispatch(ctx, services, id, session);
        return;
      }
      if (tryStart(ctx, services, id, session, attempt))
        return;
    }
  } else if (session.Transaction && !session.Transaction->Failed) {
    const bool idle =
        session.Transaction->Link && ctx.Now >= session.Transaction->IdleSince + TransactionIdle;
    const bool leaving = LeavingSince && ctx.Now >= transactionsEndAt();
    if (idle || leaving) {
      ctx.emit(Count{"transactions_ended_total"});
      ctx.emit(Log{LogLevel::Info,
                   "idle transaction rolled back",
                   {{"session", std::to_string(id.Value)},
                    {"database", session.Database},
                    {"why", leaving ? "proxy is shutting down" : "transaction idle timeout exceeded"}}});
      failTransaction(ctx, services, session);
      session.Transaction->PendingRejection =
          StatementRejection{Rejection::Aborted, "the transaction was idle and is rolled back"};
      onCapacity(ctx, services);
    }
  } else if (LeavingSince && !session.Transaction) {
    if (ctx.Now >= idleCloseTime(session)) {
      ctx.emit(CloseSession{id});
      erase(id);
      return;
    }
  }
  scheduleTimer(id, session);
}

void SessionsModule::endSession(Context &ctx, SessionServices &services, SessionId id, Session &session) {
  ctx.emit(Log{LogLevel::Warn,
               "session closed near the end of the shutdown grace",
               {{"session", std::to_string(id.Value)},
                {"statement", session.Current ? session.Current->Statement.Id : "-"}}});
  if (session.Current) {
    ctx.emit(Count{"statements_ended_in_shutdown_total"});
    // Statements that were received behind this one are then refused as not run.
    handleNoAnswer(ctx, services, id, session, detail::NoAnswer::ShuttingDown);
  }
  endWithoutAnswer(ctx, services, id);
  ctx.emit(CloseSession{id});
}

void SessionsModule::closeAnswered(Context &ctx) {
  for (const auto &id : std::exchange(Answered, {})) {
    const auto it = Sessions.find(id);
    if (ctx.Now < balancerDrainedAt() || it == Sessions.end())
      continue;
    const auto &session = it->second;
    if (session.Current || session.Transaction || !session.LastEndsOperation)
      continue;
    ctx.emit(CloseSession{id});
    erase(id);
  }
}

void SessionsModule::startLeaving(Context &ctx, SessionServices &services) {
  if (LeavingSince)
    return;
  LeavingSince = ctx.Now;
  Grace = ctx.Self.ShutdownGrace;
  for (auto &[id, session] : Sessions)
    scheduleTimer(id, session);
  onCapacity(ctx, services);
}

TimePoint SessionsModule::balancerDrainedAt() const {
  return *LeavingSince + std::min(BalancerDrainTime, Grace * BalancerDrainPercent / 100);
}

TimePoint SessionsModule::transactionsEndAt() const {
  return *LeavingSince + Grace / TransactionGraceDivisor;
}

TimePoint SessionsModule::servingEndsAt() const { return *LeavingSince + Grace - ForcedCloseMargin; }

TimePoint SessionsModule::idleCloseTime(const Session &session) const {
  return std::max(balancerDrainedAt(),
                  session.IdleSince + (session.ReceivedStatement ? IdleCloseDelay : UnusedCloseDelay));
}

TimePoint SessionsModule::pendingUntil(const PendingSession &session) const {
  return LeavingSince ? std::min(session.Until, servingEndsAt()) : session.Until;
}

TimePoint SessionsModule::unusedCloseTime(TimePoint connectedAt) const {
  return std::min(servingEndsAt(), std::max(balancerDrainedAt(), connectedAt + UnusedCloseDelay));
}

void SessionsModule::closeUnusedConnections(Context &ctx) {
  if (!LeavingSince)
    return;
  for (auto it = Connected.begin(); it != Connected.end();) {
    if (ctx.Now < unusedCloseTime(it->second)) {
      ++it;
      continue;
    }
    ctx.emit(CloseSession{it->first});
    it = Connected.erase(it);
  }
}

bool SessionsModule::hasCallers() const {
  return !Connected.empty() || !PendingSessions.empty() || !Sessions.empty();
}

void SessionsModule::stopAcceptingIfDrained(Context &ctx, bool busy) {
  if (!LeavingSince || Accepting != AcceptState::Accepting)
    return;
  const bool drained = !busy && !hasCallers() && ctx.Now >= balancerDrainedAt();
  if (!drained && ctx.Now < servingEndsAt())
    return;
  Accepting = AcceptState::Stopping;
  ctx.emit(Log{LogLevel::Info,
               "callers no longer accepted",
               {{"sessions", std::to_string(Sessions.size() + PendingSessions.size())},
                {"connections_without_session", std::to_string(Connected.size())}}});
  ctx.emit(StopAccepting{});
}

void SessionsModule::onAcceptingStopped() { Accepting = AcceptState::Stopped; }

bool SessionsModule::isDrained() const { return Accepting == AcceptState::Stopped && !hasCallers(); }

std::optional<TimePoint> SessionsModule::writesUnansweredSince(const DatabaseId &service) const {
  std::optional<TimePoint> out;
  std::size_t n = 0;
  if (const auto it = Services.find(service); it != Services.end()) {
    out = it->second.WritesUnansweredSince;
    n = static_cast<std::size_t>(it->second.WritesUnanswered);
  }
  if (const auto it = WritesInFlight.find(service); it != WritesInFlight.end() && !it->second.empty()) {
    out = std::min(out.value_or(TimePoint::max()), it->second.begin()->first);
    n += it->second.size();
  }
  return n >= 2 ? out : std::nullopt;
}

void SessionsModule::noteAcknowledged(const DatabaseId &service, Position at) {
  auto &acknowledged = Services[service].Acknowledged;
  if (at > acknowledged.value_or(Position()))
    acknowledged = at;
}

std::optional<Position> SessionsModule::acknowledgedUpTo(const DatabaseId &service) const {
  const auto it = Services.find(service);
  return it == Services.end() ? std::nullopt : it->second.Acknowledged;
}

UnreportedCommits SessionsModule::unreportedCommits(const DatabaseId &service, const TargetId &former) const {
  UnreportedCommits out;
  const auto counts = [&](const TargetId &it) { return former.empty() || it == former; };
  if (const auto it = Services.find(service); it != Services.end()) {
    out.Acknowledged = it->second.ServerAcknowledged;
    out.Unanswered = it->second.AnswerLost && counts(it->second.AnswerLost->Server);
  }
  const auto inFlight = WritesInFlight.find(service);
  if (out.Unanswered || inFlight == WritesInFlight.end())
    return out;
  out.Unanswered = std::any_of(inFlight->second.begin(), inFlight->second.end(), [&](const auto &one) {
    const auto it = Sessions.find(one.second);
    return it != Sessions.end() && it->second.Current && counts(it->second.Current->Target);
  });
  return out;
}

void SessionsModule::noteServerAcknowledged(const DatabaseId &service, Position at) {
  auto &known = Services[service].ServerAcknowledged;
  known = std::max(known, at);
}

std::map<DatabaseId, Position> SessionsModule::acknowledged() const {
  std::map<DatabaseId, Position> out;
  for (const auto &[service, it] : Services)
    if (it.Acknowledged)
      out.emplace(service, *it.Acknowledged);
  return out;
}

std::optional<Position> SessionsModule::positionCovering(const DatabaseId &service,
                                                         TimePoint acknowledgedBefore) const {
  const auto it = Services.find(service);
  return it == Services.end() ? std::nullopt : it->second.Positions.smallestCovering(acknowledgedBefore);
}

} // namespace rosemaryhinge
