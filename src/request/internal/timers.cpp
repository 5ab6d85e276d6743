// Timers of flights and transactions: deadlines and delayed steps.

#include "outcome/outcome.h"
#include "request/internal/engine.h"

#include <algorithm>

namespace rosemaryhinge::detail {

namespace {
constexpr Duration NoPrimaryRetryAfter = 1s;
} // namespace

void Engine::wakeAt(Flight &flight, TimePoint at) {
  at = std::min(at, flight.Request.Deadline);
  if (at == flight.WakeAt)
    return;
  State.Timers.erase({flight.WakeAt, flight.Id});
  flight.WakeAt = at;
  State.Timers.emplace(at, flight.Id);
}

void Engine::processTimers() {
  std::vector<std::uint64_t> due;
  for (auto it = State.Timers.begin(); it != State.Timers.end() && it->first <= Ctx.Now; ++it)
    due.push_back(it->second);
  for (const auto id : due)
    if (auto *flight = find(id); flight != nullptr && flight->WakeAt <= Ctx.Now)
      wake(*flight);
  std::vector<TransactionId> over;
  for (auto it = State.TransactionDeadlines.begin();
       it != State.TransactionDeadlines.end() && it->first <= Ctx.Now; ++it)
    over.push_back(it->second);
  for (const auto &id : over) {
    auto &transaction = State.Transactions.at(id);
    const auto *flight = find(transaction.RunningFlight);
    if (flight == nullptr) {
      endTransaction(id, true);
      continue;
    }
    // A shutdown shortened the transaction deadline. The running statement keeps its own deadline.
    State.TransactionDeadlines.erase({transaction.Deadline, id});
    transaction.Deadline = std::max(flight->Request.Deadline, Ctx.Now + 1ms);
    State.TransactionDeadlines.emplace(transaction.Deadline, id);
  }
}

void Engine::wake(Flight &flight) {
  if (Ctx.Now >= flight.Request.Deadline) {
    expire(flight);
    return;
  }
  // Reset the timer to the deadline, so that the flight is not woken twice at the same time. The handlers
  // below may set an earlier time.
  wakeAt(flight, flight.Request.Deadline);
  switch (flight.Phase) {
  case Phase::Delayed:
    dispatch(flight);
    return;
  case Phase::AwaitingReplica:
    endReplicaWait(flight);
    return;
  case Phase::Confirming:
    queryServers(flight);
    return;
  case Phase::Resolving:
    queryMarker(flight);
    return;
  case Phase::Queued:
  case Phase::AwaitingPrimary:
  case Phase::Running:
    return;
  case Phase::Forwarded:
    checkHolder(flight);
    return;
  }
}

void Engine::expire(Flight &flight) {
  if (flight.Phase == Phase::Running) {
    if (flight.inTransaction())
      endTransaction(flight.Request.Transaction, true);
    releaseConnection(flight, true, false);
  }
  const bool forwardedStep = flight.Phase == Phase::Forwarded && flight.inTransaction() &&
                             flight.Request.Step == TransactionStep::Statement;
  const auto ran = forwardedStep ? Ran::Unknown : ranWithoutMarker(flight.MayHaveEffect, flight.hasEffects());
  if (ran == Ran::Unknown)
    refuseAs(flight, RefusalReason::OutcomeUnknown, ran, "no proof of the outcome before the deadline");
  else if (flight.Phase == Phase::AwaitingPrimary)
    refuse(flight, RefusalReason::NoPrimary, "no primary before the deadline", NoPrimaryRetryAfter);
  else if (flight.PrimaryBehindSession)
    refuse(flight, RefusalReason::SessionAhead, "no server holds what this session wrote", Duration{});
  else if (flight.Phase == Phase::Queued)
    refuse(flight, RefusalReason::Overloaded, "no connection before the deadline", Duration{});
  else
    refuse(flight, RefusalReason::DeadlineExceeded, "no answer before the deadline");
}

} // namespace rosemaryhinge::detail
