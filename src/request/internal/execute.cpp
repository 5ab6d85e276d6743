// Execution of requests on server connections.

#include "outcome/outcome.h"
#include "request/internal/engine.h"

#include <algorithm>

namespace rosemaryhinge::detail {

void Engine::execute(Flight &flight, ConnectionId connection) {
  if (!bindConnection(flight, connection))
    return;
  send(flight);
}

bool Engine::bindConnection(Flight &flight, ConnectionId connection) {
  auto [it, added] = State.Connections.try_emplace(connection, ConnectionUse{flight.Id, {}});
  if (added || !reservesConnection()) {
    it->second = {flight.Id, {}};
    flight.Connection = connection;
    return true;
  }
  State.Queue.onFinished(Ctx.Now, flight.Id, Svc.Slots.capacity(flight.Target), DurationKind::None);
  refuseBrokenInvariant(flight, "transaction_isolation",
                        "connection " + std::to_string(connection.Value) + " already serves a transaction");
  return false;
}

void Engine::send(Flight &flight) {
  flight.Phase = Phase::Running;
  flight.Execution = ExecutionId{Ctx.nextNumber()};
  flight.SentAt = Ctx.Now;
  State.Executions[flight.Execution] = flight.Id;
  const auto &request = flight.Request;
  Execute out{flight.Connection, flight.Execution, request.Statements, request.ReadOnly, request.Step, {}};
  if (flight.hasEffects()) {
    flight.MayHaveEffect = true;
    if (Ctx.Rules.AtMostOnce)
      out.Marker = Marker{request.IdempotencyKey, flight.Attempt};
  }
  Ctx.emit(std::move(out));
  wakeAt(flight, request.Deadline);
}

void Engine::releaseConnection(Flight &flight, bool doubtful, bool measured) {
  State.Executions.erase(flight.Execution);
  const auto connection = std::exchange(flight.Connection, {});
  flight.Execution = {};
  if (flight.inTransaction())
    return; // The connection stays reserved for the transaction.
  if (measured)
    Ctx.emit(Observe{"execution", Ctx.Now - flight.SentAt});
  State.Queue.onFinished(Ctx.Now, flight.Id, Svc.Slots.capacity(flight.Target),
                         measured ? DurationKind::ExecutionTime : DurationKind::None);
  if (State.Connections.erase(connection) != 0)
    Svc.Slots.release(Ctx, connection, doubtful);
  startQueued(TargetId(flight.Target));
}

void Engine::handleExecutionFinished(const ExecutionFinished &event) {
  auto it = State.Executions.find(event.Execution);
  auto *flight = it == State.Executions.end() ? nullptr : find(it->second);
  if (Ctx.Rules.AnswerMatching) {
    if (flight == nullptr || flight->Connection != event.Connection) {
      countUnmatchedAnswer();
      return;
    }
  } else if (flight == nullptr) {
    auto use = State.Connections.find(event.Connection);
    flight = use == State.Connections.end() ? nullptr : find(use->second.Flight);
    if (flight == nullptr || flight->Phase != Phase::Running)
      return;
  }
  std::visit(Overloaded{[&](const ExecutionDone &result) { handleExecutionDone(*flight, result); },
                        [&](const ExecutionFailed &result) { handleExecutionFailed(*flight, result); },
                        [&](const MarkerConflict &result) { handleMarkerConflict(*flight, result); },
                        [&](const NotPrimary &result) { handleNotPrimary(*flight, result); }},
             event.Result);
}

void Engine::handleExecutionDone(Flight &flight, const ExecutionDone &result) {
  if (result.At.Lsn != 0)
    Svc.Groups.recordAnswer(flight.Target, result.At, result.Role, flight.SentAt, Ctx.Now);
  flight.PendingAnswer = Success{};
  flight.PendingAnswer.Results = result.Results;
  flight.PendingAnswer.Session = flight.Request.Session;
  flight.PendingAnswer.ServedBy = flight.Target;
  flight.PendingAnswer.ServedByReplica = result.Role == TargetRole::Replica;
  if (flight.Request.Step == TransactionStep::Begin) {
    handleTransactionOpened(flight);
  } else if (flight.inTransaction() && flight.Request.Step != TransactionStep::Commit) {
    handleStatementDone(flight, result);
  } else if (!flight.hasEffects()) {
    handleReadDone(flight, result);
  } else {
    // The server accepted a commit in this term, so no later term had been raised on it by then.
    State.Confirmations.record(flight.Target, result.At.Term, flight.SentAt);
    if (flight.inTransaction())
      endTransaction(flight.Request.Transaction, false);
    releaseConnection(flight, false, true);
    startConfirmation(flight, result.At, flight.Target, classOf(flight).Acknowledge);
  }
}

void Engine::handleReadDone(Flight &flight, const ExecutionDone &result) {
  if (flight.inTransaction())
    endTransaction(flight.Request.Transaction, false);
  releaseConnection(flight, false, true);
  auto requirement = readRequirementOf(flight);
  // A partitioned primary still reports itself as primary. The age of its data therefore depends on when a
  // majority last confirmed its term.
  if (result.Role == TargetRole::Primary && result.At.Term == viewOf(flight).Group.Term)
    requirement.ReadFromPrimaryAt = flight.SentAt;
  if (flight.inTransaction() ||
      satisfies(Svc.Groups, viewOf(flight), result.At, requirement, flight.SentAt, Ctx.Rules)) {
    finish(flight, std::move(flight.PendingAnswer));
    return;
  }
  if (result.Role == TargetRole::Replica && !flight.PrimaryOnly) {
    flight.PrimaryOnly = true;
    if (takeRetry(flight, RetryReason::StaleReplica))
      dispatch(flight);
    else
      refuse(flight, RefusalReason::Overloaded, "the retry budget is spent", Duration{});
    return;
  }
  flight.PrimaryBehindSession = true;
  flight.PrimaryOnly = true;
  flight.Phase = Phase::Delayed;
  countRetry(flight, RetryReason::TermChanged);
  wakeAt(flight, Ctx.Now + ServerRetryInterval);
}

void Engine::handleExecutionFailed(Flight &flight, const ExecutionFailed &result) {
  flight.MayHaveEffect = false;
  if (flight.inTransaction())
    endTransaction(flight.Request.Transaction, true);
  releaseConnection(flight, flight.Request.Step == TransactionStep::Begin, true);
  refuse(flight, RefusalReason::SqlError, result.SqlState + ": " + result.Message);
}

void Engine::handleMarkerConflict(Flight &flight, const MarkerConflict &result) {
  if (flight.inTransaction())
    endTransaction(flight.Request.Transaction, true);
  releaseConnection(flight, false, false);
  flight.PendingAnswer.Replayed = true;
  flight.Record = result.Record;
  startConfirmation(flight, result.Record.At, flight.Target,
                    result.Record.Done ? classOf(flight).Acknowledge : AckStrength::Replica);
}

void Engine::handleNotPrimary(Flight &flight, const NotPrimary &result) {
  flight.MayHaveEffect = false;
  countRetry(flight, RetryReason::TermChanged);
  if (flight.inTransaction()) {
    endTransaction(flight.Request.Transaction, true);
    releaseConnection(flight, true, false);
    refuse(flight, RefusalReason::TransactionLost, "the server is no longer the primary");
    return;
  }
  releaseConnection(flight, false, false);
  flight.MinTerm = std::max(flight.MinTerm, result.RaisedTerm);
  if (viewOf(flight).Group.Term < flight.MinTerm) {
    awaitPrimary(flight);
    return;
  }
  flight.Phase = Phase::Delayed;
  wakeAt(flight, Ctx.Now + ServerRetryInterval);
}

void Engine::handleConnectionClosed(const ConnectionClosed &event) {
  auto it = State.Connections.find(event.Connection);
  if (it == State.Connections.end())
    return;
  const auto use = it->second;
  State.Connections.erase(it);
  if (!use.Transaction.empty()) {
    handleTransactionLost(use.Transaction, "the connection was lost: " + event.Why);
    return;
  }
  if (auto *flight = find(use.Flight)) {
    releaseConnection(*flight, true, false);
    handleLostAnswer(*flight, RetryReason::ConnectionLost);
  }
}

void Engine::handleLostAnswer(Flight &flight, RetryReason reason) {
  const bool again = !flight.hasEffects() || (!Ctx.Rules.AtMostOnce && !flight.inTransaction());
  if (!again) {
    countRetry(flight, reason);
    if (mayAssumeNotRun(Ctx.Rules))
      refuseAs(flight, RefusalReason::LostAnswer, Ran::NotRun, "the answer was lost");
    else
      resolveOutcome(flight, viewOf(flight).Group.Term);
    return;
  }
  if (takeRetry(flight, reason))
    dispatch(flight);
  else
    refuse(flight, RefusalReason::Overloaded, "the retry budget is spent", Duration{});
}

} // namespace rosemaryhinge::detail
