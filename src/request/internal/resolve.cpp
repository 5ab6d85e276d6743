// Requests whose answer was lost: their outcome by the marker table.

#include "outcome/outcome.h"
#include "request/internal/engine.h"

#include <algorithm>

namespace rosemaryhinge::detail {

namespace {

/// Longest wait for the marker table before it is asked again.
constexpr Duration MarkerPatience = 500ms;
/// Least time to the deadline with which a request is run again.
constexpr Duration LeastRunTime = 20ms;

} // namespace

void Engine::resolve(Flight &flight, Term minTerm) {
  flight.Phase = Phase::Resolving;
  flight.MinTerm = std::max(flight.MinTerm, minTerm);
  flight.Record.reset();
  flight.Sent = true;
  askMarker(flight);
}

void Engine::askMarker(Flight &flight) {
  const auto &group = viewOf(flight).Group;
  flight.ResolveCall = 0;
  if (group.State != Group::Phase::Done || group.Term < flight.MinTerm) {
    wakeAt(flight, Ctx.Now + AskAgainAfter);
    return;
  }
  const auto id = call(Module::Outcome, flight, group.Primary);
  flight.ResolveCall = id.Number;
  const auto patience = std::clamp<Duration>(flight.Request.Deadline - Ctx.Now, 1ms, MarkerPatience);
  Ctx.emit(ControlCall{id, group.Primary, patience,
                       AbortMarker{Marker{flight.Request.IdempotencyKey, flight.Attempt}}});
  wakeAt(flight, Ctx.Now + patience + AskAgainAfter);
}

void Engine::markerAnswered(const PendingCall &call, std::uint64_t number, const MarkerRecord &record) {
  auto *flight = find(call.Flight);
  if (flight == nullptr || flight->Phase != Phase::Resolving || flight->ResolveCall != number) {
    unmatched();
    return;
  }
  flight->ResolveCall = 0;
  if (record.At.Term < flight->MinTerm) {
    wakeAt(*flight, Ctx.Now + AskAgainAfter);
    return;
  }
  flight->Record = record;
  confirm(*flight, record.At, call.Target, record.Done ? classOf(*flight).Acknowledge : AckStrength::Replica);
}

void Engine::conclude(Flight &flight) {
  const auto &record = *flight.Record;
  const auto outcome = outcomeOf(record, flight.Attempt);
  if (outcome != Outcome::DidNotRun) {
    if (!record.Results) {
      refuseAs(flight, RefusalReason::LostAnswer, Ran::Ran, "it ran; its results were too large to keep");
      return;
    }
    auto answer = std::move(flight.Pending);
    answer.Results = *record.Results;
    answer.Session = flight.Write.At;
    answer.ServedBy = flight.Write.Executor;
    answer.ServedByReplica = false;
    answer.Replayed = answer.Replayed || outcome == Outcome::EarlierAttemptTookEffect;
    finish(flight, std::move(answer));
    return;
  }
  flight.Sent = false;
  if (flight.inTransaction()) {
    refuse(flight, RefusalReason::TransactionLost, "the transaction was not committed");
    return;
  }
  // Only the proxy that took the request in raises the attempt: it may already have answered not_run.
  const bool again = !flight.From && classOf(flight).Repeatable &&
                     Ctx.Now + LeastRunTime < flight.Request.Deadline &&
                     takeRetry(flight, RetryReason::MarkerAborted);
  if (!again) {
    refuse(flight, RefusalReason::LostAnswer, "the answer was lost; the request did not run", Duration{});
    return;
  }
  flight.Attempt = nextAttempt(record, flight.Attempt);
  flight.Record.reset();
  flight.Pending = Success{};
  dispatch(flight);
}

} // namespace rosemaryhinge::detail
