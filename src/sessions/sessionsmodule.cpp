// Session lifecycle, timers and graceful shutdown.

#include "sessions/sessionsmodule.h"

#include <algorithm>

namespace rosemaryhinge {

namespace {

constexpr std::size_t MaxQueuedStatements = 32;
/// Time until the load balancer stops sending sessions. It polls readiness once a second and takes a proxy
/// out of rotation after two failed checks. Until then sessions stay open: a closed one would reconnect to
/// this proxy.
constexpr Duration BalancerNotice = 2200ms;
/// Upper limit of the wait for the load balancer, in percent of the shutdown grace.
constexpr int NoticePercent = 40;
/// During shutdown, a session is closed once it has been idle this long after an answer. Without the delay,
/// the next statement of the same operation would find the connection closed.
constexpr Duration LeavingRest = 250ms;
/// Same for a session that has sent no statement yet: its first one may still be in transit.
constexpr Duration LeavingIdle = 500ms;
/// Divisor of the shutdown grace: open transactions are rolled back after Grace / TransactionShare.
constexpr int TransactionShare = 2;
/// How long before the end of the shutdown grace the remaining sessions are closed.
constexpr Duration LastCall = 800ms;

} // namespace

void SessionsModule::onOpened(Context &ctx, SessionServices &services, const SessionOpened &event) {
  if (!services.Catalog.configured()) {
    Held.emplace(event.Session, HeldSession{event, ctx.Now + HoldLimit});
    return;
  }
  if (!services.Catalog.route(event.Database)) {
    ctx.emit(Count{"sessions_refused_total"});
    ctx.emit(Log{LogLevel::Info,
                 "session refused",
                 {{"session", std::to_string(event.Session.Value)},
                  {"database", event.Database},
                  {"configuration", std::to_string(services.Catalog.configuration().Version)},
                  {"reason", std::string(toString(Rejection::NoDatabase))}}});
    ctx.emit(RefuseSession{event.Session, {Rejection::NoDatabase, "no route has this name"}});
    return;
  }
  auto &session = Sessions[event.Session];
  session.Database = event.Database;
  session.Caller = event.Caller;
  session.RestsSince = ctx.Now;
  ctx.emit(Count{"sessions_opened_total"});
  ctx.emit(AcceptSession{event.Session});
  if (LeavingSince)
    alarm(event.Session, session);
}

void SessionsModule::admitHeld(Context &ctx, SessionServices &services) {
  if (services.Catalog.configured()) {
    for (const auto &[id, it] : std::exchange(Held, {}))
      onOpened(ctx, services, it.Opened);
    return;
  }
  for (auto it = Held.begin(); it != Held.end();) {
    if (ctx.Now < it->second.Until) {
      ++it;
      continue;
    }
    ctx.emit(Count{"sessions_refused_total"});
    ctx.emit(RefuseSession{it->first, {Rejection::Busy, "no configuration was read yet; retry in 500 ms"}});
    it = Held.erase(it);
  }
}

void SessionsModule::onStatement(Context &ctx, SessionServices &services, const StatementArrived &event) {
  const auto it = Sessions.find(event.Session);
  if (it == Sessions.end())
    return;
  auto &session = it->second;
  session.Served = true;
  if (session.Current) {
    if (session.Queued.size() < MaxQueuedStatements) {
      session.Queued.push_back(event.Statement);
      return;
    }
    ctx.emit(
        Log{LogLevel::Warn,
            "session closed",
            {{"session", std::to_string(event.Session.Value)}, {"why", "too many statements are waiting"}}});
    onClosed(ctx, services, {event.Session});
    ctx.emit(CloseSession{event.Session});
    return;
  }
  take(ctx, services, event.Session, session, event.Statement);
}

void SessionsModule::onClosed(Context &ctx, SessionServices &services, const SessionClosed &event) {
  Held.erase(event.Session);
  const auto it = Sessions.find(event.Session);
  if (it == Sessions.end())
    return;
  auto &session = it->second;
  unwait(event.Session, session);
  if (session.Transaction && session.Transaction->Link) {
    services.Links.release(ctx, *session.Transaction->Link);
  } else if (session.Current && session.Current->Link) {
    services.Links.release(ctx, *session.Current->Link);
  }
  erase(event.Session);
  onCapacity(ctx, services);
}

void SessionsModule::erase(SessionId id) {
  const auto it = Sessions.find(id);
  if (it->second.Alarm)
    Alarms.erase({*it->second.Alarm, id});
  if (const auto &work = it->second.Current; work && work->Link)
    WritesOut[work->Route.Service].erase({work->SentAt, id});
  Sessions.erase(it);
}

std::optional<TimePoint> SessionsModule::nextTimer() const {
  std::optional<TimePoint> out;
  if (!Alarms.empty())
    out = Alarms.begin()->first;
  for (const auto &[id, it] : Held)
    out = out ? std::min(*out, it.Until) : it.Until;
  return out;
}

void SessionsModule::onTimer(Context &ctx, SessionServices &services) {
  admitHeld(ctx, services);
  // Each due session is handled once; a timer that is set again while this runs waits for the next event.
  std::vector<SessionId> due;
  for (auto it = Alarms.begin(); it != Alarms.end() && it->first <= ctx.Now; ++it)
    due.push_back(it->second);
  for (const auto &id : due) {
    const auto it = Sessions.find(id);
    if (it == Sessions.end() || !it->second.Alarm || *it->second.Alarm > ctx.Now)
      continue;
    Alarms.erase({*it->second.Alarm, id});
    it->second.Alarm.reset();
    onAlarm(ctx, services, id, it->second);
  }
}

void SessionsModule::alarm(SessionId id, Session &session) {
  std::optional<TimePoint> at;
  const auto earlier = [&at](TimePoint it) { at = at ? std::min(*at, it) : it; };
  if (const auto &work = session.Current) {
    earlier(work->Deadline);
    if (work->Link && !session.Transaction && work->Mode == AccessMode::Read)
      earlier(work->SentAt + ReadPatience);
    if (!work->Link)
      earlier(std::max(work->RetryAt, work->ArrivedAt) + WaitCheck);
  } else if (session.Transaction && !session.Transaction->Failed && session.Transaction->Link) {
    earlier(session.Transaction->RestsSince + TransactionIdle);
  }
  if (LeavingSince) {
    if (!session.Current && !session.Transaction)
      earlier(closesAt(session));
    else if (session.Transaction && !session.Transaction->Failed)
      earlier(*LeavingSince + Grace / TransactionShare);
    earlier(*LeavingSince + Grace - LastCall);
  }
  if (session.Alarm == at)
    return;
  if (session.Alarm)
    Alarms.erase({*session.Alarm, id});
  session.Alarm = at;
  if (at)
    Alarms.insert({*at, id});
}

void SessionsModule::onAlarm(Context &ctx, SessionServices &services, SessionId id, Session &session) {
  if (LeavingSince && ctx.Now >= *LeavingSince + Grace - LastCall) {
    ctx.emit(Log{LogLevel::Warn,
                 "session closed at the end of the shutdown",
                 {{"session", std::to_string(id.Value)},
                  {"statement", session.Current ? session.Current->Statement.Id : "-"}}});
    onClosed(ctx, services, {id});
    ctx.emit(CloseSession{id});
    return;
  }
  if (session.Current) {
    auto &work = *session.Current;
    const bool sent = work.Link.has_value();
    if (ctx.Now >= work.Deadline) {
      unanswered(ctx, services, id, session, true);
      return;
    }
    if (sent && !session.Transaction && work.Mode == AccessMode::Read &&
        ctx.Now >= work.SentAt + ReadPatience) {
      readAgain(ctx, services, id, session);
      return;
    }
    if (!sent && ctx.Now >= work.RetryAt) {
      work.RetryAt = ctx.Now;
      Attempt attempt;
      if (session.Transaction && session.Transaction->Link) {
        dispatch(ctx, services, id, session);
        return;
      }
      if (tryStart(ctx, services, id, session, attempt))
        return;
    }
  } else if (session.Transaction && !session.Transaction->Failed) {
    const bool idle =
        session.Transaction->Link && ctx.Now >= session.Transaction->RestsSince + TransactionIdle;
    const bool leaving = LeavingSince && ctx.Now >= *LeavingSince + Grace / TransactionShare;
    if (idle || leaving) {
      ctx.emit(Count{"transactions_ended_total"});
      ctx.emit(Log{LogLevel::Info,
                   "idle transaction rolled back",
                   {{"session", std::to_string(id.Value)},
                    {"database", session.Database},
                    {"why", leaving ? "this proxy is leaving" : "idle for too long"}}});
      failTransaction(ctx, services, session);
      session.Transaction->Lost =
          StatementRejection{Rejection::Aborted, "the transaction was idle and is rolled back"};
      onCapacity(ctx, services);
    }
  } else if (LeavingSince && !session.Transaction) {
    if (ctx.Now >= closesAt(session)) {
      ctx.emit(CloseSession{id});
      erase(id);
      return;
    }
  }
  alarm(id, session);
}

void SessionsModule::startLeaving(Context &ctx, SessionServices &services) {
  if (LeavingSince)
    return;
  LeavingSince = ctx.Now;
  Grace = ctx.Self.ShutdownGrace;
  for (auto &[id, session] : Sessions)
    alarm(id, session);
  onCapacity(ctx, services);
}

TimePoint SessionsModule::noticedAt() const {
  return *LeavingSince + std::min(BalancerNotice, Grace * NoticePercent / 100);
}

TimePoint SessionsModule::closesAt(const Session &session) const {
  return std::max(noticedAt(), session.RestsSince + (session.Served ? LeavingRest : LeavingIdle));
}

bool SessionsModule::mayEnd(TimePoint now) const {
  return LeavingSince && Sessions.empty() && now >= noticedAt();
}

std::optional<TimePoint> SessionsModule::writesUnansweredSince(const DatabaseId &service) const {
  std::optional<TimePoint> out;
  std::size_t n = 0;
  if (const auto it = Services.find(service); it != Services.end()) {
    out = it->second.WritesUnansweredSince;
    n = static_cast<std::size_t>(it->second.WritesUnanswered);
  }
  if (const auto it = WritesOut.find(service); it != WritesOut.end() && !it->second.empty()) {
    out = std::min(out.value_or(TimePoint::max()), it->second.begin()->first);
    n += it->second.size();
  }
  return n >= 2 ? out : std::nullopt;
}

std::optional<Position> SessionsModule::acknowledgedUpTo(const DatabaseId &service) const {
  const auto it = Services.find(service);
  return it == Services.end() ? std::nullopt : it->second.Acknowledged;
}

std::optional<TimePoint> SessionsModule::primarySeen(const DatabaseId &service) const {
  const auto it = Services.find(service);
  return it == Services.end() ? std::nullopt : it->second.Positions.newestRequestTime();
}

} // namespace rosemaryhinge
