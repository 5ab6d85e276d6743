// Executions on connections of slots.

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
  auto [it, added] = St.Connections.try_emplace(connection, ConnectionUse{flight.Id, {}});
  if (added || !reservesConnection()) {
    it->second = {flight.Id, {}};
    flight.Connection = connection;
    return true;
  }
  St.Queue.onFinished(Ctx.Now, flight.Id, Svc.Slots.capacity(flight.Target), DurationKind::None);
  broken(flight, "transaction_isolation",
         "connection " + std::to_string(connection.Value) + " already serves a transaction");
  return false;
}

void Engine::send(Flight &flight) {
  flight.Phase = Phase::Running;
  flight.Execution = ExecutionId{Ctx.nextNumber()};
  flight.SentAt = Ctx.Now;
  St.Executions[flight.Execution] = flight.Id;
  const auto &request = flight.Request;
  Execute out{flight.Connection, flight.Execution, request.Statements, request.ReadOnly, request.Step, {}};
  if (flight.hasEffects()) {
    flight.Sent = true;
    if (Ctx.Rules.AtMostOnce)
      out.Marker = Marker{request.IdempotencyKey, flight.Attempt};
  }
  Ctx.emit(std::move(out));
  wakeAt(flight, request.Deadline);
}

void Engine::leaveConnection(Flight &flight, bool doubtful, bool measured) {
  St.Executions.erase(flight.Execution);
  const auto connection = std::exchange(flight.Connection, {});
  flight.Execution = {};
  if (flight.inTransaction())
    return; // The connection belongs to the transaction.
  if (measured)
    Ctx.emit(Observe{"execution", Ctx.Now - flight.SentAt});
  St.Queue.onFinished(Ctx.Now, flight.Id, Svc.Slots.capacity(flight.Target),
                      measured ? DurationKind::ExecutionTime : DurationKind::None);
  if (St.Connections.erase(connection) != 0)
    Svc.Slots.release(Ctx, connection, doubtful);
  pump(TargetId(flight.Target));
}

void Engine::executionFinished(const ExecutionFinished &event) {
  auto it = St.Executions.find(event.Execution);
  auto *flight = it == St.Executions.end() ? nullptr : find(it->second);
  if (Ctx.Rules.AnswerMatching) {
    if (flight == nullptr || flight->Connection != event.Connection) {
      unmatched();
      return;
    }
  } else if (flight == nullptr) {
    auto use = St.Connections.find(event.Connection);
    flight = use == St.Connections.end() ? nullptr : find(use->second.Flight);
    if (flight == nullptr || flight->Phase != Phase::Running)
      return;
  }
  std::visit(Overloaded{[&](const ExecutionDone &result) { done(*flight, result); },
                        [&](const ExecutionFailed &result) { failed(*flight, result); },
                        [&](const MarkerConflict &result) { conflicted(*flight, result); },
                        [&](const NotPrimary &result) { notPrimary(*flight, result); }},
             event.Result);
}

void Engine::done(Flight &flight, const ExecutionDone &result) {
  if (result.At.Lsn != 0)
    Svc.Groups.recordAnswer(flight.Target, result.At, result.Role, flight.SentAt, Ctx.Now);
  flight.Pending = Success{};
  flight.Pending.Results = result.Results;
  flight.Pending.Session = flight.Request.Session;
  flight.Pending.ServedBy = flight.Target;
  flight.Pending.ServedByReplica = result.Role == TargetRole::Replica;
  if (flight.Request.Step == TransactionStep::Begin) {
    opened(flight);
  } else if (flight.inTransaction() && flight.Request.Step != TransactionStep::Commit) {
    statementDone(flight, result);
  } else if (!flight.hasEffects()) {
    readDone(flight, result);
  } else {
    // The server committed in this term, so no later one was raised on it before.
    St.Confirmations.record(flight.Target, result.At.Term, flight.SentAt);
    if (flight.inTransaction())
      endTransaction(flight.Request.Transaction, false);
    leaveConnection(flight, false, true);
    confirm(flight, result.At, flight.Target, classOf(flight).Acknowledge);
  }
}

void Engine::readDone(Flight &flight, const ExecutionDone &result) {
  if (flight.inTransaction())
    endTransaction(flight.Request.Transaction, false);
  leaveConnection(flight, false, true);
  auto requirement = readRequirementOf(flight);
  // A primary that was cut off still calls itself one: how fresh its data is depends on when a majority last
  // had its term.
  if (result.Role == TargetRole::Primary && result.At.Term == viewOf(flight).Group.Term)
    requirement.ReadFromPrimaryAt = flight.SentAt;
  if (flight.inTransaction() ||
      satisfies(Svc.Groups, viewOf(flight), result.At, requirement, flight.SentAt, Ctx.Rules)) {
    finish(flight, std::move(flight.Pending));
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
  flight.Ahead = true;
  flight.PrimaryOnly = true;
  flight.Phase = Phase::Paced;
  countRetry(flight, RetryReason::TermChanged);
  wakeAt(flight, Ctx.Now + AskAgainAfter);
}

void Engine::failed(Flight &flight, const ExecutionFailed &result) {
  flight.Sent = false;
  if (flight.inTransaction())
    endTransaction(flight.Request.Transaction, true);
  leaveConnection(flight, flight.Request.Step == TransactionStep::Begin, true);
  refuse(flight, RefusalReason::SqlError, result.SqlState + ": " + result.Message);
}

void Engine::conflicted(Flight &flight, const MarkerConflict &result) {
  if (flight.inTransaction())
    endTransaction(flight.Request.Transaction, true);
  leaveConnection(flight, false, false);
  flight.Pending.Replayed = true;
  flight.Record = result.Record;
  confirm(flight, result.Record.At, flight.Target,
          result.Record.Done ? classOf(flight).Acknowledge : AckStrength::Replica);
}

void Engine::notPrimary(Flight &flight, const NotPrimary &result) {
  flight.Sent = false;
  countRetry(flight, RetryReason::TermChanged);
  if (flight.inTransaction()) {
    endTransaction(flight.Request.Transaction, true);
    leaveConnection(flight, true, false);
    refuse(flight, RefusalReason::TransactionLost, "the server is no longer the primary");
    return;
  }
  leaveConnection(flight, false, false);
  flight.MinTerm = std::max(flight.MinTerm, result.RaisedTerm);
  if (viewOf(flight).Group.Term < flight.MinTerm) {
    park(flight);
    return;
  }
  flight.Phase = Phase::Paced;
  wakeAt(flight, Ctx.Now + AskAgainAfter);
}

void Engine::connectionClosed(const ConnectionClosed &event) {
  auto it = St.Connections.find(event.Connection);
  if (it == St.Connections.end())
    return;
  const auto use = it->second;
  St.Connections.erase(it);
  if (!use.Transaction.empty()) {
    loseTransaction(use.Transaction, "the connection was lost: " + event.Why);
    return;
  }
  if (auto *flight = find(use.Flight)) {
    leaveConnection(*flight, true, false);
    lostAnswer(*flight, RetryReason::ConnectionLost);
  }
}

void Engine::lostAnswer(Flight &flight, RetryReason reason) {
  const bool again = !flight.hasEffects() || (!Ctx.Rules.AtMostOnce && !flight.inTransaction());
  if (!again) {
    countRetry(flight, reason);
    if (mayAssumeNotRun(Ctx.Rules))
      refuseAs(flight, RefusalReason::LostAnswer, Ran::NotRun, "the answer was lost");
    else
      resolve(flight, viewOf(flight).Group.Term);
    return;
  }
  if (takeRetry(flight, reason))
    dispatch(flight);
  else
    refuse(flight, RefusalReason::Overloaded, "the retry budget is spent", Duration{});
}

} // namespace rosemaryhinge::detail
