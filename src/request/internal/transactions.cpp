// Interactive transactions: steps, deadlines and lost connections.

#include "request/internal/engine.h"
#include "request/internal/transactionid.h"
#include "session/coverage.h"

#include <algorithm>

namespace rosemaryhinge::detail {

namespace {
/// Time that a graceful shutdown leaves to transactions between statements.
constexpr Duration ShutdownTransactionGrace = 5s;
} // namespace

void Engine::runTransactionStep(Flight &flight) {
  const auto &id = flight.Request.Transaction;
  const auto place = parseTransactionId(id);
  const bool commit = flight.Request.Step == TransactionStep::Commit;
  if (place && place->Node != Ctx.Self.Node) {
    if (flight.Hops < MaxHops && !Svc.Members.isDead(place->Node))
      forward(flight, place->Node);
    else if (commit)
      resolveOutcome(flight, viewOf(flight).Group.Term); // An earlier commit may have taken effect.
    else
      refuse(flight, RefusalReason::TransactionLost, "the proxy " + place->Node.str() + " is gone");
    return;
  }
  auto it = State.Transactions.find(id);
  if (it == State.Transactions.end()) {
    if (commit)
      resolveOutcome(flight, viewOf(flight).Group.Term);
    else
      refuse(flight, RefusalReason::UnknownTransaction, "no open transaction with this id");
    return;
  }
  auto &transaction = it->second;
  if (transaction.RunningFlight != 0) {
    refuse(flight, RefusalReason::BadRequest, "a statement of this transaction is still running");
    return;
  }
  transaction.RunningFlight = flight.Id;
  flight.Request.ReadOnly = transaction.ReadOnly;
  flight.Request.Class = transaction.Class;
  flight.Request.Deadline = std::min(flight.Request.Deadline, transaction.Deadline);
  flight.Target = transaction.Target;
  flight.Connection = transaction.Connection;
  send(flight);
}

void Engine::handleTransactionOpened(Flight &flight) {
  Transaction transaction;
  transaction.Id = makeTransactionId(Ctx.Self.Node, Ctx.Random(), flight.Request.Database);
  transaction.Database = flight.Request.Database;
  transaction.Class = flight.Request.Class;
  transaction.Target = flight.Target;
  transaction.Connection = flight.Connection;
  transaction.Deadline = flight.Request.Deadline;
  transaction.AdmissionId = flight.Id;
  transaction.ReadOnly = flight.Request.ReadOnly;
  flight.PendingAnswer.Transaction = transaction.Id;
  State.Executions.erase(flight.Execution);
  flight.Connection = {};
  flight.Execution = {};
  if (reservesConnection()) {
    State.Connections[transaction.Connection] = {0, transaction.Id};
  } else {
    State.Connections.erase(transaction.Connection);
    Svc.Slots.release(Ctx, transaction.Connection, false);
  }
  State.TransactionDeadlines.emplace(transaction.Deadline, transaction.Id);
  addDatabaseUse(transaction.Database);
  State.Transactions.emplace(transaction.Id, transaction);
  finish(flight, std::move(flight.PendingAnswer));
}

void Engine::handleStatementDone(Flight &flight, const ExecutionDone &result) {
  const auto id = flight.Request.Transaction;
  releaseConnection(flight, false, false);
  if (flight.Request.Step == TransactionStep::Rollback) {
    endTransaction(id, false);
    finish(flight, std::move(flight.PendingAnswer));
    return;
  }
  const auto &token = flight.Request.Session;
  const bool stale = token && Ctx.Rules.ReadYourWrites && result.At.Lsn != 0 &&
                     !covers(result.At, *token, viewOf(flight).Group.History);
  if (stale) {
    endTransaction(id, true);
    refuse(flight, RefusalReason::TransactionLost, "the server does not hold what this session wrote");
    return;
  }
  if (auto it = State.Transactions.find(id); it != State.Transactions.end()) {
    it->second.RunningFlight = 0;
    if (it->second.Deadline <= Ctx.Now)
      endTransaction(id, true);
  }
  finish(flight, std::move(flight.PendingAnswer));
}

void Engine::endTransaction(const TransactionId &id, bool doubtful) {
  auto it = State.Transactions.find(id);
  if (it == State.Transactions.end())
    return;
  const auto transaction = it->second;
  State.TransactionDeadlines.erase({transaction.Deadline, id});
  State.Transactions.erase(it);
  State.Queue.onFinished(Ctx.Now, transaction.AdmissionId, Svc.Slots.capacity(transaction.Target),
                         doubtful ? DurationKind::None : DurationKind::TransactionTime);
  if (State.Connections.erase(transaction.Connection) != 0)
    Svc.Slots.release(Ctx, transaction.Connection, doubtful);
  removeDatabaseUse(transaction.Database);
  startQueued(transaction.Target);
}

void Engine::handleTransactionLost(const TransactionId &id, const std::string &why) {
  auto it = State.Transactions.find(id);
  if (it == State.Transactions.end())
    return;
  auto *flight = find(it->second.RunningFlight);
  endTransaction(id, true);
  if (flight == nullptr)
    return;
  releaseConnection(*flight, true, false);
  if (flight->hasEffects())
    handleLostAnswer(*flight, RetryReason::ConnectionLost);
  else
    refuse(*flight, RefusalReason::TransactionLost, why);
}

void Engine::shortenTransactionDeadlines() {
  const auto limit = Ctx.Now + ShutdownTransactionGrace;
  for (auto &[id, transaction] : State.Transactions) {
    if (transaction.Deadline <= limit)
      continue;
    State.TransactionDeadlines.erase({transaction.Deadline, id});
    transaction.Deadline = limit;
    State.TransactionDeadlines.emplace(limit, id);
  }
}

} // namespace rosemaryhinge::detail
