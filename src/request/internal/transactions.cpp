// Interactive transactions.

#include "request/internal/engine.h"
#include "request/internal/transactionid.h"
#include "session/coverage.h"

#include <algorithm>

namespace rosemaryhinge::detail {

namespace {
/// A graceful shutdown waits this long for transactions between statements.
constexpr Duration ShutdownPatience = 5s;
} // namespace

void Engine::stepInTransaction(Flight &flight) {
  const auto &id = flight.Request.Transaction;
  const auto place = placeOf(id);
  const bool commit = flight.Request.Step == TransactionStep::Commit;
  if (place && place->Node != Ctx.Self.Node) {
    if (flight.Hops < MaxHops && !Svc.Members.isDead(place->Node))
      forward(flight, place->Node);
    else if (commit)
      resolve(flight, viewOf(flight).Group.Term); // An earlier commit may have taken effect.
    else
      refuse(flight, RefusalReason::TransactionLost, "the proxy " + place->Node.str() + " is gone");
    return;
  }
  auto it = St.Transactions.find(id);
  if (it == St.Transactions.end()) {
    if (commit)
      resolve(flight, viewOf(flight).Group.Term);
    else
      refuse(flight, RefusalReason::UnknownTransaction, "no open transaction with this id");
    return;
  }
  auto &transaction = it->second;
  if (transaction.Busy != 0) {
    refuse(flight, RefusalReason::BadRequest, "a statement of this transaction is still running");
    return;
  }
  transaction.Busy = flight.Id;
  flight.Request.ReadOnly = transaction.ReadOnly;
  flight.Request.Class = transaction.Class;
  flight.Request.Deadline = std::min(flight.Request.Deadline, transaction.Deadline);
  flight.Target = transaction.Target;
  flight.Connection = transaction.Connection;
  send(flight);
}

void Engine::opened(Flight &flight) {
  Transaction transaction;
  transaction.Id = makeTransactionId(Ctx.Self.Node, Ctx.Random(), flight.Request.Database);
  transaction.Database = flight.Request.Database;
  transaction.Class = flight.Request.Class;
  transaction.Target = flight.Target;
  transaction.Connection = flight.Connection;
  transaction.Deadline = flight.Request.Deadline;
  transaction.Work = flight.Id;
  transaction.ReadOnly = flight.Request.ReadOnly;
  flight.Pending.Transaction = transaction.Id;
  St.Executions.erase(flight.Execution);
  flight.Connection = {};
  flight.Execution = {};
  if (reservesConnection()) {
    St.Connections[transaction.Connection] = {0, transaction.Id};
  } else {
    St.Connections.erase(transaction.Connection);
    Svc.Slots.release(Ctx, transaction.Connection, false);
  }
  St.TransactionDeadlines.emplace(transaction.Deadline, transaction.Id);
  use(transaction.Database);
  St.Transactions.emplace(transaction.Id, transaction);
  finish(flight, std::move(flight.Pending));
}

void Engine::statementDone(Flight &flight, const ExecutionDone &result) {
  const auto id = flight.Request.Transaction;
  leaveConnection(flight, false, false);
  if (flight.Request.Step == TransactionStep::Rollback) {
    endTransaction(id, false);
    finish(flight, std::move(flight.Pending));
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
  if (auto it = St.Transactions.find(id); it != St.Transactions.end()) {
    it->second.Busy = 0;
    if (it->second.Deadline <= Ctx.Now)
      endTransaction(id, true);
  }
  finish(flight, std::move(flight.Pending));
}

void Engine::endTransaction(const TransactionId &id, bool doubtful) {
  auto it = St.Transactions.find(id);
  if (it == St.Transactions.end())
    return;
  const auto transaction = it->second;
  St.TransactionDeadlines.erase({transaction.Deadline, id});
  St.Transactions.erase(it);
  St.Queue.onFinished(Ctx.Now, transaction.Work, Svc.Slots.capacity(transaction.Target),
                      doubtful ? DurationKind::None : DurationKind::TransactionTime);
  if (St.Connections.erase(transaction.Connection) != 0)
    Svc.Slots.release(Ctx, transaction.Connection, doubtful);
  unuse(transaction.Database);
  pump(transaction.Target);
}

void Engine::loseTransaction(const TransactionId &id, const std::string &why) {
  auto it = St.Transactions.find(id);
  if (it == St.Transactions.end())
    return;
  auto *flight = find(it->second.Busy);
  endTransaction(id, true);
  if (flight == nullptr)
    return;
  leaveConnection(*flight, true, false);
  if (flight->hasEffects())
    lostAnswer(*flight, RetryReason::ConnectionLost);
  else
    refuse(*flight, RefusalReason::TransactionLost, why);
}

void Engine::endLongTransactions() {
  const auto limit = Ctx.Now + ShutdownPatience;
  for (auto &[id, transaction] : St.Transactions) {
    if (transaction.Deadline <= limit)
      continue;
    St.TransactionDeadlines.erase({transaction.Deadline, id});
    transaction.Deadline = limit;
    St.TransactionDeadlines.emplace(limit, id);
  }
}

} // namespace rosemaryhinge::detail
