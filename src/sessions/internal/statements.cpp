// Handles statements that need no server, and creates the work item for those that do.

#include "base/overloaded.h"
#include "sessions/internal/configurationlog.h"
#include "sessions/sessionsmodule.h"

namespace rosemaryhinge {

namespace {

/// Limits on the state kept per session.
constexpr std::size_t MaxValues = 256;
constexpr std::size_t MaxPreparedStatements = 1'024;
/// Memory of a value or a prepared statement besides its texts.
constexpr std::size_t StateOverhead = 128;
/// After which a caller whose key could not be checked is asked to return, with as much again at random.
constexpr Duration ProofRetryDelay = 500ms;
/// Spreads the return of callers that were refused for their workspace's quota.
constexpr Duration RefusalJitter = 50ms;
const std::string NoSignature = "-";

StatementResultRows done() { return {{}, NoSignature}; }

/// Whether an operation of the caller ends with this statement if no transaction is open after it.
bool endsOperation(const ParsedStatement &statement) {
  return std::holds_alternative<DataStatement>(statement) ||
         std::holds_alternative<ExecuteStatement>(statement) ||
         std::holds_alternative<CommitStatement>(statement) ||
         std::holds_alternative<RollbackStatement>(statement);
}

} // namespace

void SessionsModule::handleStatement(Context &ctx, SessionServices &services, SessionId id, Session &session,
                                     SessionStatement statement) {
  auto &transaction = session.Transaction;
  session.LastEndsOperation = endsOperation(statement.Parsed);
  const bool failed = transaction && transaction->Failed;
  const bool ends = std::holds_alternative<CommitStatement>(statement.Parsed) ||
                    std::holds_alternative<RollbackStatement>(statement.Parsed);
  if (failed && !ends) {
    StatementRejection why{Rejection::Malformed, "the transaction has failed; end it first"};
    if (transaction->PendingRejection)
      why = *std::exchange(transaction->PendingRejection, std::nullopt);
    answer(ctx, id, session, statement.Id, why);
    return;
  }
  std::visit(
      Overloaded{
          [&](const BeginStatement &) { begin(ctx, services, id, session, statement); },
          [&](const CommitStatement &) {
            if (!transaction) {
              answer(ctx, id, session, statement.Id,
                     StatementRejection{Rejection::Malformed, "no transaction is open"});
            } else if (failed) {
              session.Transaction.reset();
              answer(ctx, id, session, statement.Id,
                     StatementRejection{Rejection::Aborted, "the transaction was rolled back"});
            } else {
              startStatement(ctx, services, id, session, statement, AccessMode::Write, true);
            }
          },
          [&](const RollbackStatement &) { rollback(ctx, services, id, session, statement); },
          [&](const DataStatement &it) {
            startStatement(ctx, services, id, session, statement, it.Mode, false);
          },
          [&](const SetStatement &it) {
            if (!setValue(id, session, it)) {
              answer(ctx, id, session, statement.Id,
                     StatementRejection{Rejection::TooLarge, "too many session values"});
              return;
            }
            answer(ctx, id, session, statement.Id, done());
          },
          [&](const PrepareStatement &it) {
            if (!prepare(id, session, it)) {
              answer(ctx, id, session, statement.Id,
                     StatementRejection{Rejection::TooLarge, "too many prepared statements"});
              return;
            }
            answer(ctx, id, session, statement.Id, done());
          },
          [&](const ExecuteStatement &it) {
            const auto shape = session.Prepared.find(it.Name);
            if (shape == session.Prepared.end())
              answer(ctx, id, session, statement.Id,
                     StatementRejection{Rejection::NoStatement, "no statement is prepared under this name"});
            else
              startStatement(ctx, services, id, session, statement, shape->second.Mode, false);
          },
          [&](const DeallocateStatement &it) {
            deallocate(id, session, it.Name);
            answer(ctx, id, session, statement.Id, done());
          },
          [&](const MalformedStatement &) {
            answer(ctx, id, session, statement.Id,
                   StatementRejection{Rejection::Malformed, "the statement cannot be read"});
          },
      },
      statement.Parsed);
}

bool SessionsModule::setValue(SessionId id, Session &session, const SetStatement &statement) {
  if (session.Values.size() >= MaxValues && !session.Values.contains(statement.Name))
    return false;
  const auto [it, added] = session.Values.try_emplace(statement.Name);
  session.StateBytes += added ? StateOverhead + statement.Name.size() : 0;
  session.StateBytes += statement.Value.size();
  session.StateBytes -= it->second.size();
  it->second = statement.Value;
  State.set(id, session.StateBytes);
  return true;
}

bool SessionsModule::prepare(SessionId id, Session &session, const PrepareStatement &statement) {
  if (session.Prepared.size() >= MaxPreparedStatements && !session.Prepared.contains(statement.Name))
    return false;
  deallocate(id, session, statement.Name);
  session.Prepared[statement.Name] = {statement.Mode, statement.Shape};
  session.StateBytes += StateOverhead + statement.Name.size() + statement.Shape.size();
  State.set(id, session.StateBytes);
  return true;
}

void SessionsModule::deallocate(SessionId id, Session &session, const std::string &name) {
  const auto it = session.Prepared.find(name);
  if (it == session.Prepared.end())
    return;
  session.StateBytes -= StateOverhead + name.size() + it->second.Shape.size();
  session.Prepared.erase(it);
  State.set(id, session.StateBytes);
}

void SessionsModule::refuseWithoutRoute(Context &ctx, SessionServices &services, SessionId id,
                                        Session &session, const std::string &statement) {
  Log line{LogLevel::Info,
           "statement refused",
           {{"request", statement},
            {"session", std::to_string(id.Value)},
            {"database", session.Database},
            {"reason", std::string(toString(Rejection::NoDatabase))}}};
  detail::addConfiguration(line, services.Catalog, ctx.Now);
  ctx.emit(std::move(line));
  answer(ctx, id, session, statement, StatementRejection{Rejection::NoDatabase, "the route was removed"});
}

void SessionsModule::begin(Context &ctx, SessionServices &services, SessionId id, Session &session,
                           const SessionStatement &statement) {
  if (session.Transaction) {
    answer(ctx, id, session, statement.Id, StatementRejection{Rejection::Malformed, "a transaction is open"});
    return;
  }
  const auto *route = services.Catalog.route(session.Database);
  if (!route) {
    refuseWithoutRoute(ctx, services, id, session, statement.Id);
    return;
  }
  if (const auto why = refusalOfKey(ctx, services.Catalog, session.Key, *route)) {
    answer(ctx, id, session, statement.Id, *why);
    return;
  }
  if (LeavingSince && ctx.Now >= transactionsEndAt()) {
    // It would be rolled back before its first statement.
    session.LastEndsOperation = true;
    refuseInShutdown(ctx, id, session, statement.Id);
    return;
  }
  detail::Transaction next;
  next.Route = *route;
  next.Workspace = workspaceFor(services.Catalog, session.Key, *route).value_or(WorkspaceId());
  next.ReadOnly = std::get<BeginStatement>(statement.Parsed).ReadOnly;
  next.BeganAt = ctx.Now;
  next.IdleSince = ctx.Now;
  session.Transaction = std::move(next);
  answer(ctx, id, session, statement.Id, done());
}

void SessionsModule::rollback(Context &ctx, SessionServices &services, SessionId id, Session &session,
                              const SessionStatement &statement) {
  if (!session.Transaction) {
    answer(ctx, id, session, statement.Id,
           StatementRejection{Rejection::Malformed, "no transaction is open"});
    return;
  }
  failTransaction(ctx, services, session);
  session.Transaction.reset();
  answer(ctx, id, session, statement.Id, done());
  onCapacity(ctx, services);
}

void SessionsModule::startStatement(Context &ctx, SessionServices &services, SessionId id, Session &session,
                                    SessionStatement statement, AccessMode mode, bool commit) {
  const auto *route =
      session.Transaction ? &session.Transaction->Route : services.Catalog.route(session.Database);
  if (!route) {
    refuseWithoutRoute(ctx, services, id, session, statement.Id);
    return;
  }
  const auto workspace = workspaceFor(services.Catalog, session.Key, *route).value_or(WorkspaceId());
  auto why = refusalOfKey(ctx, services.Catalog, session.Key, *route);
  if (!why && session.Transaction && workspace != session.Transaction->Workspace)
    why = detail::unknownKey();
  if (why) {
    const auto name = statement.Id;
    rejectAndRollBack(ctx, services, id, session, name, *why);
    return;
  }
  if (LeavingSince && ctx.Now + expectedDuration(ctx, services, route->Service) >= servingEndsAt()) {
    const auto name = statement.Id;
    if (session.Transaction)
      failTransaction(ctx, services, session);
    refuseInShutdown(ctx, id, session, name);
    return;
  }
  if (session.Transaction && session.Transaction->ReadOnly && mode == AccessMode::Write && !commit) {
    const auto name = statement.Id;
    failTransaction(ctx, services, session);
    answer(ctx, id, session, name, StatementRejection{Rejection::ReadOnly, "the transaction is read-only"});
    return;
  }
  TransactionIdle = services.Catalog.configuration().TransactionIdle;
  PendingStatement work;
  work.Statement = std::move(statement);
  work.Mode = mode;
  work.Commit = commit;
  work.Route = *route;
  work.Workspace = workspace;
  work.ArrivedAt = ctx.Now;
  work.Deadline = ctx.Now + route->StatementTimeout;
  work.LatestStart = work.Deadline;
  session.Current = std::move(work);
  if (needsToken(ctx, services, session)) {
    session.Current->AwaitingToken = true;
    services.Quota.request(session.Current->Workspace, id, ctx.Now);
    scheduleTimer(id, session);
    return;
  }
  dispatch(ctx, services, id, session);
}

bool SessionsModule::needsToken(const Context &ctx, const SessionServices &services, const Session &session) {
  return QuotaModule::enabled(ctx.Self, services.Catalog) && !session.Current->Workspace.empty() &&
         !(session.Transaction && session.Transaction->Admitted);
}

void SessionsModule::onQuotaDecision(Context &ctx, SessionServices &services, const QuotaDecision &decision) {
  const auto it = Sessions.find(decision.Session);
  if (it == Sessions.end() || !it->second.Current || !it->second.Current->AwaitingToken)
    return;
  auto &session = it->second;
  session.Current->AwaitingToken = false;
  if (decision.Outcome == QuotaDecision::Result::Granted) {
    if (session.Transaction)
      session.Transaction->Admitted = true;
    dispatch(ctx, services, decision.Session, session);
    return;
  }
  const bool over = decision.Outcome == QuotaDecision::Result::OverLimit;
  if (over)
    ctx.emit(Count{"statements_refused_over_quota_total"});
  else
    ctx.emit(Count{"statements_refused_quota_unknown_total"});
  const auto retryAfter = (decision.RetryAfter + ctx.jitter(RefusalJitter)) / 1ms;
  refuseUnsent(ctx, services, decision.Session, session,
               {Rejection::Busy, std::string(over ? "the workspace's quota is used up"
                                                  : "the workspace's quota cannot be checked") +
                                     "; retry in " + std::to_string(retryAfter) + " ms"});
}

std::optional<WorkspaceId> SessionsModule::workspaceFor(const Catalog &catalog, const KeyDigest &key,
                                                        const DatabaseRoute &route) {
  if (!catalog.needsKey(route))
    return WorkspaceId();
  const auto *workspace = catalog.workspaceOf(key);
  return workspace ? std::optional(workspace->Name) : std::nullopt;
}

std::optional<StatementRejection> SessionsModule::refusalOfKey(Context &ctx, const Catalog &catalog,
                                                               const KeyDigest &key,
                                                               const DatabaseRoute &route) {
  if (!catalog.needsKey(route))
    return std::nullopt;
  // Without a proof, a key that is not known may be new as well.
  if (!catalog.keysProven(ctx.Self.RevocationBound, ctx.Now)) {
    ctx.emit(Count{"statements_refused_unproven_total"});
    const auto retryAfter = (ProofRetryDelay + ctx.jitter(ProofRetryDelay)) / 1ms;
    return StatementRejection{Rejection::Busy,
                              "the key cannot be checked; retry in " + std::to_string(retryAfter) + " ms"};
  }
  if (catalog.workspaceOf(key))
    return std::nullopt;
  return detail::unknownKey();
}

void SessionsModule::rejectAndRollBack(Context &ctx, SessionServices &services, SessionId id,
                                       Session &session, const std::string &statement,
                                       const StatementRejection &why) {
  if (session.Transaction)
    failTransaction(ctx, services, session);
  answer(ctx, id, session, statement, why);
}

void SessionsModule::refuseInShutdown(Context &ctx, SessionId id, Session &session,
                                      const std::string &statement) {
  ctx.emit(Count{"statements_refused_in_shutdown_total"});
  answer(ctx, id, session, statement, detail::shuttingDown());
}

void SessionsModule::answer(Context &ctx, SessionId id, Session &session, const std::string &statement,
                            StatementOutcome outcome, std::optional<Position> at) {
  auto state = TransactionState::Idle;
  if (session.Transaction)
    state = session.Transaction->Failed ? TransactionState::Failed : TransactionState::Open;
  if (const auto *why = std::get_if<StatementRejection>(&outcome))
    ctx.emit(Count{"statements_rejected_total{reason=\"" + std::string(toString(why->Code)) + "\"}"});
  session.IdleSince = ctx.Now;
  if (LeavingSince)
    Answered.push_back(id);
  ctx.emit(AnswerStatement{id, statement, std::move(outcome), state, at});
  scheduleTimer(id, session);
}

void SessionsModule::nextQueued(Context &ctx, SessionServices &services, SessionId id) {
  auto it = Sessions.find(id);
  while (it != Sessions.end() && !it->second.Current && !it->second.Queued.empty()) {
    auto statement = std::move(it->second.Queued.front());
    it->second.Queued.pop_front();
    handleStatement(ctx, services, id, it->second, std::move(statement));
    it = Sessions.find(id);
  }
}

} // namespace rosemaryhinge
