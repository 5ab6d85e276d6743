// Server replies, retries and failures, and the answer to the caller.

#include "sessions/internal/serverchoice.h"
#include "sessions/sessionsmodule.h"

#include <algorithm>

namespace rosemaryhinge {

namespace {

/// Limit on sending a statement that servers reject without running it.
constexpr int MaxSends = 8;
/// Maximum number of attempts for a read that fails or whose server connection is lost, and for any statement
/// whose server connection is lost before the statement itself was sent.
constexpr int MaxReadSends = 3;
constexpr Duration BusyRetryDelay = 15ms;
constexpr Duration PrimaryRetryDelay = 10ms;
/// A commit whose connection was lost has reached its server by then, or does not reach it any more: servers
/// drop connections whose other end cannot be reached after 3 s.
constexpr Duration LateCommitTime = 4s;

bool isNotExecuted(Rejection code) {
  switch (code) {
  case Rejection::Busy:
  case Rejection::Lagging:
  case Rejection::ReadOnly:
  case Rejection::Misrouted:
  case Rejection::TooMany:
  case Rejection::NoStatement:
    return true;
  default:
    return false;
  }
}

std::string noAnswerText(detail::NoAnswer cause) {
  switch (cause) {
  case detail::NoAnswer::LinkLost:
    return "the connection to the server ended";
  case detail::NoAnswer::DeadlineExceeded:
    return "no answer in time";
  case detail::NoAnswer::ShuttingDown:
    break;
  }
  return "the proxy is shutting down";
}

/// What the caller is told about a statement without an answer from a server.
StatementRejection noAnswerRejection(const detail::Session &session, const detail::PendingStatement &work,
                                     detail::NoAnswer cause) {
  const bool leaving = cause == detail::NoAnswer::ShuttingDown;
  const bool sent = work.Attempt && work.Attempt->StatementSent;
  const auto text = noAnswerText(cause);
  if (!sent)
    return leaving
               ? detail::shuttingDown()
               : StatementRejection{Rejection::Busy, "no server took the statement in time; retry in 200 ms"};
  if (!session.Transaction && work.Mode == AccessMode::Read)
    return leaving ? StatementRejection{Rejection::Aborted, text}
                   : StatementRejection{Rejection::Timeout, "no answer in time"};
  if (!session.Transaction)
    return {Rejection::InDoubt, text + ": the write may have taken effect"};
  if (work.Commit && session.Transaction->Wrote)
    return {Rejection::InDoubt, text + ": the commit may have taken effect"};
  return {Rejection::Aborted, text + ": the transaction is rolled back"};
}

/// Ends the attempt to run the current statement, before a new one on another link. The caller releases or
/// closes the link.
void endAttempt(detail::Session &session) {
  session.Current->Attempt.reset();
  if (session.Transaction) {
    session.Transaction->Link.reset();
    session.Transaction->Begun = false;
  }
}

} // namespace

void SessionsModule::onReply(Context &ctx, SessionServices &services, const LinkPool::Reply &reply,
                             const LinkReplied &event) {
  if (auto &service = Services[reply.Service]; service.PositionQueryLink == event.Link) {
    if (reply.Step == LinkStep::Begin && std::holds_alternative<StatementResultRows>(event.Outcome) &&
        event.At) {
      recordLeader(ctx, services, reply.Service, reply.Target, event.At->Term);
      addSample(ctx, services, {reply.Service, *event.At, reply.SentAt});
    }
    if (reply.Last)
      service.PositionQueryLink.reset();
  }
  if (reply.Step == LinkStep::Order) {
    onLeaseReply(ctx, services, reply, event);
    return;
  }
  const auto it = Sessions.find(reply.User.Session);
  if (it == Sessions.end() || !it->second.Current)
    return;
  auto &session = it->second;
  auto &work = *session.Current;
  if (!work.Attempt || work.Attempt->Link != event.Link)
    return;
  const auto *why = std::get_if<StatementRejection>(&event.Outcome);
  switch (reply.Step) {
  case LinkStep::Prepare:
    if (why) {
      // The link lacks the session's values or prepared statement, so commands already sent on it may run
      // with the wrong state.
      ctx.emit(Log{LogLevel::Warn,
                   "server rejected session values or prepared statement; link closed",
                   {{"session", std::to_string(reply.User.Session.Value)},
                    {"server", reply.Target.str()},
                    {"reason", std::string(toString(why->Code))}}});
      services.Links.close(ctx, event.Link, false);
      handleNoAnswer(ctx, services, reply.User.Session, session, detail::NoAnswer::LinkLost);
    }
    return;
  case LinkStep::Begin:
    if (why) {
      handleRejection(ctx, services, reply.User.Session, session, *why, event.State);
      return;
    }
    if (session.Transaction)
      session.Transaction->Begun = true;
    if (event.At && !work.After) {
      recordLeader(ctx, services, reply.Service, reply.Target, event.At->Term);
      addSample(ctx, services, {reply.Service, *event.At, reply.SentAt});
      confirmPrimary(ctx, services, reply.Service, reply.Target, event.At->Term);
      if (!work.Commit && !admitByLease(ctx, services, reply.User.Session, session, event.At->Term))
        return;
    }
    sendStatement(ctx, services, reply.User.Session, session);
    return;
  case LinkStep::Statement:
    if (isWriteCommit(session, work)) {
      Services[reply.Service].WritesUnansweredSince.reset();
      Services[reply.Service].WritesUnanswered = 0;
    }
    if (why)
      handleRejection(ctx, services, reply.User.Session, session, *why, event.State);
    else
      handleSuccess(ctx, services, reply.User.Session, session, reply, event);
    return;
  default:
    return;
  }
}

void SessionsModule::onEvent(Context &ctx) {
  if (LastEventAt && ctx.Now - *LastEventAt >= MaxEventGap) {
    ResumedAt = ctx.Now;
    ctx.emit(Count{"process_suspensions_total"});
  }
  LastEventAt = ctx.Now;
}

bool SessionsModule::isWithheld(Context &ctx, SessionServices &services, const Session &session,
                                const LinkPool::Reply &reply, const LinkReplied &event) {
  const auto &work = *session.Current;
  if (!isWriteCommit(session, work))
    return false;
  const auto &service = Services[reply.Service];
  const bool suspended = ResumedAt && work.SentAt < *ResumedAt;
  // A former primary that does not know of a later term acknowledges commits that the present one lacks.
  const bool formerTerm = event.At && event.At->Term < service.LeaderTerm;
  if (formerTerm)
    services.Catalog.denyPrimary(reply.Target);
  else if (!suspended && !commitsHeld(services.Fleet) &&
           !service.Fence.withholds(reply.Target, event.At, ctx.Now))
    return false;
  ctx.emit(Count{"commits_withheld_total"});
  return true;
}

void SessionsModule::recordServerAnswer(const Session &session, const LinkPool::Reply &reply,
                                        const LinkReplied &event) {
  const auto &work = *session.Current;
  if (!isWriteCommit(session, work) || !event.At)
    return;
  auto &service = Services[reply.Service];
  service.ServerAcknowledged = std::max(service.ServerAcknowledged, *event.At);
  // The log up to this position is acknowledged, and holds the earlier commit if the server has received it.
  if (const auto &lost = service.AnswerLost;
      lost && lost->Server == reply.Target && work.SentAt - lost->At >= LateCommitTime)
    service.AnswerLost.reset();
}

void SessionsModule::handleSuccess(Context &ctx, SessionServices &services, SessionId id, Session &session,
                                   const LinkPool::Reply &reply, const LinkReplied &event) {
  auto &work = *session.Current;
  if (const auto *view = services.Catalog.server(reply.Target)) {
    const auto rtt = detail::roundTrip(ctx.Self, view->Entry.AvailabilityZone);
    services.Links.recordDuration(reply.Target, std::max(Duration{}, ctx.Now - work.SentAt - rtt), ctx.Now);
  }
  recordServerAnswer(session, reply, event);
  const bool withheld = isWithheld(ctx, services, session, reply, event);
  if (withheld) {
    session.WrittenAtUnknownPosition.insert(reply.Service);
  } else if (isWriteCommit(session, work)) {
    if (event.At) {
      recordLeader(ctx, services, reply.Service, reply.Target, event.At->Term);
      session.WrittenUpTo[reply.Service] = *event.At;
      auto &acknowledged = Services[reply.Service].Acknowledged;
      acknowledged = std::max(acknowledged.value_or(*event.At), *event.At);
      session.WrittenAtUnknownPosition.erase(reply.Service);
      // A replica has received the commit, so no other server had been promoted when it was sent.
      if (const auto *limits = services.Catalog.limits(reply.Service); limits && limits->SyncReplicas > 0)
        confirmLease(ctx, services, reply.Service, event.At->Term, work.SentAt);
      addSample(ctx, services, {reply.Service, *event.At, work.SentAt});
      confirmPrimary(ctx, services, reply.Service, reply.Target, event.At->Term);
    } else {
      session.WrittenAtUnknownPosition.insert(reply.Service);
    }
  }
  if (session.Transaction && work.Mode == AccessMode::Write && !work.Commit)
    session.Transaction->Wrote = true;
  const auto link = work.Attempt->Link;
  if (work.Commit)
    session.Transaction.reset();
  if (!session.Transaction)
    services.Links.release(ctx, link);
  if (withheld)
    finish(ctx, services, id, session,
           StatementRejection{Rejection::InDoubt, "a change of primary may undo the commit"});
  else
    finish(ctx, services, id, session, event.Outcome, event.At);
}

bool SessionsModule::retry(Context &ctx, SessionServices &services, SessionId id, Session &session,
                           const StatementRejection &why) {
  auto &work = *session.Current;
  const bool single = !session.Transaction;
  const bool first = single || !session.Transaction->Begun || !session.Transaction->StatementAnswered;
  const bool failedRead = single && work.Mode == AccessMode::Read &&
                          (why.Code == Rejection::Failed || why.Code == Rejection::Timeout);
  if (!first || (!isNotExecuted(why.Code) && !failedRead))
    return false;
  if (work.SendCount >= (failedRead ? MaxReadSends : MaxSends) || ctx.Now >= work.Deadline)
    return false;
  ctx.emit(Count{"statement_retries_total{reason=\"" + std::string(toString(why.Code)) + "\"}"});
  work.RetriedAfter = why.Code;
  switch (why.Code) {
  case Rejection::ReadOnly:
    services.Catalog.denyPrimary(work.Target);
    work.RetryAt = ctx.Now + PrimaryRetryDelay;
    work.RetryPending = true;
    break;
  case Rejection::Lagging:
    Services[work.Route.Service].LaggedAt[work.Target] = ctx.Now;
    work.PrimaryOnly = work.SendCount > 1;
    work.Avoid.insert(work.Target);
    break;
  case Rejection::Busy:
    work.RetryAt = ctx.Now + BusyRetryDelay;
    work.RetryPending = true;
    work.Avoid.insert(work.Target);
    break;
  default:
    work.Avoid.insert(work.Target);
    break;
  }
  const auto link = work.Attempt->Link;
  WritesInFlight[work.Route.Service].erase({work.SentAt, id});
  endAttempt(session);
  if (why.Code == Rejection::NoStatement || why.Code == Rejection::Misrouted)
    services.Links.close(ctx, link, false);
  else
    services.Links.release(ctx, link);
  dispatch(ctx, services, id, session);
  return true;
}

void SessionsModule::handleRejection(Context &ctx, SessionServices &services, SessionId id, Session &session,
                                     const StatementRejection &why, TransactionState state) {
  auto &work = *session.Current;
  if (work.Attempt && retry(ctx, services, id, session, why))
    return;
  auto told = why;
  if (!session.Transaction) {
    if (work.Attempt)
      services.Links.release(ctx, work.Attempt->Link);
    finish(ctx, services, id, session, told);
    return;
  }
  if (work.Attempt && why.Code == Rejection::Busy && state == TransactionState::Open &&
      ctx.Now < work.Deadline) {
    // The transaction is still open at the server, so the statement can be resent on the same link.
    ctx.emit(Count{"statement_retries_total{reason=\"busy\"}"});
    WritesInFlight[work.Route.Service].erase({work.SentAt, id});
    work.Attempt.reset();
    work.RetryAt = ctx.Now + BusyRetryDelay;
    work.RetryPending = true;
    scheduleTimer(id, session);
    return;
  }
  if (why.Code == Rejection::ReadOnly && work.Attempt)
    services.Catalog.denyPrimary(work.Target);
  if (work.Commit) {
    const bool undecided =
        !isNotExecuted(why.Code) && why.Code != Rejection::Failed && session.Transaction->Wrote;
    if (undecided && why.Code != Rejection::Aborted)
      told.Code = Rejection::InDoubt;
    endTransaction(ctx, services, session);
    finish(ctx, services, id, session, told);
    return;
  }
  // Releasing the link rolls the transaction back, so none of its writes take effect.
  if (!isNotExecuted(why.Code))
    told = {Rejection::Aborted, "rolled back: " + std::string(toString(why.Code)) + " " + why.Message};
  failTransaction(ctx, services, session);
  finish(ctx, services, id, session, told);
}

void SessionsModule::refuseUnsent(Context &ctx, SessionServices &services, SessionId id, Session &session,
                                  const StatementRejection &why) {
  // Releasing the link rolls the transaction back.
  if (session.Transaction)
    failTransaction(ctx, services, session);
  else if (session.Current->Attempt)
    services.Links.release(ctx, session.Current->Attempt->Link);
  finish(ctx, services, id, session, why);
}

void SessionsModule::onLinkClosed(Context &ctx, SessionServices &services, const LinkPool::Closed &closed) {
  const auto id = closed.User.Session;
  const auto it = Sessions.find(id);
  if (it == Sessions.end())
    return;
  auto &session = it->second;
  const bool working = session.Current && session.Current->Attempt;
  if (working) {
    handleNoAnswer(ctx, services, id, session, detail::NoAnswer::LinkLost);
    return;
  }
  if (!session.Transaction)
    return;
  session.Transaction->Link.reset();
  session.Transaction->Failed = true;
  if (session.Current) {
    finish(ctx, services, id, session,
           StatementRejection{Rejection::Aborted, "the server's connection ended"});
  } else {
    session.Transaction->PendingRejection =
        StatementRejection{Rejection::Aborted, "the server's connection ended"};
    scheduleTimer(id, session);
  }
}

void SessionsModule::resendRead(Context &ctx, SessionServices &services, SessionId id, Session &session) {
  auto &work = *session.Current;
  const auto link = work.Attempt->Link;
  ctx.emit(Count{"statement_retries_total{reason=\"no_answer\"}"});
  work.Avoid.insert(work.Target);
  endAttempt(session);
  services.Links.close(ctx, link, true);
  dispatch(ctx, services, id, session);
}

void SessionsModule::handleNoAnswer(Context &ctx, SessionServices &services, SessionId id, Session &session,
                                    detail::NoAnswer cause) {
  auto &work = *session.Current;
  const bool sent = work.Attempt && work.Attempt->StatementSent;
  const bool linkLost = cause == detail::NoAnswer::LinkLost;
  if (sent && isWriteCommit(session, work))
    Services[work.Route.Service].AnswerLost = LostAnswer{work.Target, ctx.Now};
  if (work.Attempt && !linkLost) {
    const bool timedOut = cause == detail::NoAnswer::DeadlineExceeded;
    services.Links.close(ctx, work.Attempt->Link, timedOut);
    if (auto &service = Services[work.Route.Service]; timedOut && sent && isWriteCommit(session, work)) {
      service.WritesUnansweredSince =
          std::min(service.WritesUnansweredSince.value_or(work.SentAt), work.SentAt);
      ++service.WritesUnanswered;
    }
  }
  const bool single = !session.Transaction;
  const bool again = !sent || (single && work.Mode == AccessMode::Read);
  if (work.Attempt && again && linkLost && work.SendCount < MaxReadSends) {
    ctx.emit(Count{"statement_retries_total{reason=\"link_lost\"}"});
    work.Avoid.insert(work.Target);
    endAttempt(session);
    dispatch(ctx, services, id, session);
    return;
  }
  const auto why = noAnswerRejection(session, work, cause);
  if (!single) {
    if (work.Attempt)
      session.Transaction->Link.reset();
    if (work.Commit && sent)
      session.Transaction.reset();
    else
      failTransaction(ctx, services, session);
  }
  finish(ctx, services, id, session, why);
}

void SessionsModule::failTransaction(Context &ctx, SessionServices &services, Session &session) {
  auto &transaction = *session.Transaction;
  transaction.Failed = true;
  if (const auto link = std::exchange(transaction.Link, std::nullopt))
    services.Links.release(ctx, *link);
}

void SessionsModule::endTransaction(Context &ctx, SessionServices &services, Session &session) {
  if (session.Transaction->Link)
    failTransaction(ctx, services, session);
  session.Transaction.reset();
}

void SessionsModule::finish(Context &ctx, SessionServices &services, SessionId id, Session &session,
                            StatementOutcome outcome, std::optional<Position> at) {
  removeWaiting(id, session);
  if (session.Current->AwaitingToken)
    services.Quota.cancel(id);
  const auto work = *std::exchange(session.Current, std::nullopt);
  WritesInFlight[work.Route.Service].erase({work.SentAt, id});
  logOutcome(ctx, id, session, work, outcome);
  if (session.Transaction) {
    session.Transaction->IdleSince = ctx.Now;
    session.Transaction->StatementAnswered = true;
  }
  ctx.emit(Observe{"statement_seconds", ctx.Now - work.ArrivedAt});
  if (work.SendCount > 0)
    ctx.emit(Observe{"statement_wait_seconds", work.SentAt - work.ArrivedAt});
  answer(ctx, id, session, work.Statement.Id, std::move(outcome), at);
  nextQueued(ctx, services, id);
  onCapacity(ctx, services);
}

void SessionsModule::logOutcome(Context &ctx, SessionId id, const Session &session,
                                const PendingStatement &work, const StatementOutcome &outcome) {
  const auto *why = std::get_if<StatementRejection>(&outcome);
  const auto millis = [](Duration it) {
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(it).count());
  };
  Log line{LogLevel::Info, "statement", {}};
  line.Fields = {{"request", work.Statement.Id},
                 {"session", std::to_string(id.Value)},
                 {"database", session.Database},
                 {"service", work.Route.Service.str()},
                 {"workspace", work.Workspace.str()},
                 {"server", work.Target.str()},
                 {"tries", std::to_string(work.SendCount)},
                 {"ms", millis(ctx.Now - work.ArrivedAt)},
                 {"outcome", why ? std::string(toString(why->Code)) : "done"}};
  if (work.RetriedAfter)
    line.Fields.push_back({"retried_after", std::string(toString(*work.RetriedAfter))});
  if (work.After)
    line.Fields.push_back(
        {"after", std::to_string(work.After->Term) + "." + std::to_string(work.After->Lsn)});
  if (why) {
    line.Fields.push_back({"why", why->Message});
    const auto primary = Services[work.Route.Service].Positions.newestRequestTime();
    line.Fields.push_back({"primary_seen_ms_ago", primary ? millis(ctx.Now - *primary) : "never"});
  }
  ctx.emit(std::move(line));
}

} // namespace rosemaryhinge
