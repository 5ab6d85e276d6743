// Outcome of requests whose answer was lost, as recorded in the marker table.

#include "outcome/outcome.h"
#include "request/internal/engine.h"

#include <algorithm>

namespace rosemaryhinge::detail {

namespace {

/// Timeout of a marker query, after which it is sent again.
constexpr Duration MarkerQueryTimeout = 500ms;
/// A request is run again only if more than this time is left before its deadline.
constexpr Duration MinRunTime = 20ms;

} // namespace

void Engine::resolveOutcome(Flight &flight, Term minTerm) {
  flight.Phase = Phase::Resolving;
  flight.MinTerm = std::max(flight.MinTerm, minTerm);
  flight.Record.reset();
  flight.MayHaveEffect = true;
  queryMarker(flight);
}

void Engine::queryMarker(Flight &flight) {
  const auto &group = viewOf(flight).Group;
  flight.MarkerCall = 0;
  if (group.State != Group::Phase::Done || group.Term < flight.MinTerm) {
    wakeAt(flight, Ctx.Now + ServerRetryInterval);
    return;
  }
  const auto id = call(Module::Outcome, flight, group.Primary);
  flight.MarkerCall = id.Number;
  const auto timeout = std::clamp<Duration>(flight.Request.Deadline - Ctx.Now, 1ms, MarkerQueryTimeout);
  Ctx.emit(ControlCall{id, group.Primary, timeout,
                       AbortMarker{Marker{flight.Request.IdempotencyKey, flight.Attempt}}});
  wakeAt(flight, Ctx.Now + timeout + ServerRetryInterval);
}

void Engine::handleMarkerRecord(const PendingCall &call, std::uint64_t number, const MarkerRecord &record) {
  auto *flight = find(call.Flight);
  if (flight == nullptr || flight->Phase != Phase::Resolving || flight->MarkerCall != number) {
    countUnmatchedAnswer();
    return;
  }
  flight->MarkerCall = 0;
  if (record.At.Term < flight->MinTerm) {
    wakeAt(*flight, Ctx.Now + ServerRetryInterval);
    return;
  }
  flight->Record = record;
  startConfirmation(*flight, record.At, call.Target,
                    record.Done ? classOf(*flight).Acknowledge : AckStrength::Replica);
}

void Engine::applyMarkerRecord(Flight &flight) {
  const auto &record = *flight.Record;
  const auto outcome = outcomeOf(record, flight.Attempt);
  if (outcome != Outcome::DidNotRun) {
    if (!record.Results) {
      refuseAs(flight, RefusalReason::LostAnswer, Ran::Ran, "it ran; its results were too large to keep");
      return;
    }
    auto answer = std::move(flight.PendingAnswer);
    answer.Results = *record.Results;
    answer.Session = flight.Write.At;
    answer.ServedBy = flight.Write.Executor;
    answer.ServedByReplica = false;
    answer.Replayed = answer.Replayed || outcome == Outcome::EarlierAttemptTookEffect;
    finish(flight, std::move(answer));
    return;
  }
  flight.MayHaveEffect = false;
  if (flight.inTransaction()) {
    refuse(flight, RefusalReason::TransactionLost, "the transaction was not committed");
    return;
  }
  // Only the entry proxy may raise the attempt number: it may already have answered not_run to the caller.
  const bool again = !flight.Origin && classOf(flight).Repeatable &&
                     Ctx.Now + MinRunTime < flight.Request.Deadline &&
                     takeRetry(flight, RetryReason::MarkerAborted);
  if (!again) {
    refuse(flight, RefusalReason::LostAnswer, "the answer was lost; the request did not run", Duration{});
    return;
  }
  flight.Attempt = nextAttempt(record, flight.Attempt);
  flight.Record.reset();
  flight.PendingAnswer = Success{};
  dispatch(flight);
}

} // namespace rosemaryhinge::detail
