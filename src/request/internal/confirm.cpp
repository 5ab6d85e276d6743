// Confirmation of committed writes (replica coverage and acknowledgement window), and answers to
// control calls.

#include "request/internal/engine.h"

#include <algorithm>

namespace rosemaryhinge::detail {

namespace {

/// Longest time a server may hold a coverage query. Shorter than the acknowledgement window, so that an
/// answer that shows coverage also confirms the term.
constexpr Duration MaxStatusQueryWait = 200ms;
/// Minimum time between two rounds of status queries that confirm the term.
constexpr Duration WindowQueryInterval = 50ms;
/// Each write has the weight 1 / CoverageMeanDivisor in the moving average of the time to coverage.
constexpr int CoverageMeanDivisor = 16;

} // namespace

void Engine::startConfirmation(Flight &flight, Position at, const TargetId &executor, AckStrength strength) {
  flight.Phase = Phase::Confirming;
  flight.Write = {at, executor, strength, {}};
  flight.ConfirmationStartedAt = Ctx.Now;
  flight.WindowQueriedAt.reset();
  const auto id = flight.Id;
  checkConfirmation(flight);
  auto *waiting = find(id);
  if (waiting != nullptr && waiting->Phase == Phase::Confirming && !waiting->WindowQueriedAt)
    queryServers(*waiting);
}

void Engine::checkConfirmation(Flight &flight) {
  const auto &group = viewOf(flight).Group;
  switch (mayAcknowledge(flight.Write, group, State.Confirmations, policyOf(flight).AckWindow, Ctx.Now,
                         Ctx.Rules)) {
  case AckVerdict::Acknowledge:
    completeWrite(flight);
    return;
  case AckVerdict::Superseded:
    countRetry(flight, RetryReason::TermChanged);
    resolveOutcome(flight, std::max(group.Term, State.Confirmations.highestTerm(group)));
    return;
  case AckVerdict::AwaitWindow:
    if (!flight.WindowQueriedAt || Ctx.Now - *flight.WindowQueriedAt >= WindowQueryInterval)
      queryServers(flight);
    return;
  case AckVerdict::AwaitCoverage:
    return;
  }
}

void Engine::queryServers(Flight &flight) {
  const auto &view = viewOf(flight);
  const auto verdict = mayAcknowledge(flight.Write, view.Group, State.Confirmations,
                                      policyOf(flight).AckWindow, Ctx.Now, Ctx.Rules);
  const bool window = verdict == AckVerdict::AwaitWindow;
  if (window)
    flight.WindowQueriedAt = Ctx.Now;
  const auto timeout = std::clamp<Duration>(flight.Request.Deadline - Ctx.Now, 1ms, MaxStatusQueryWait);
  for (const auto &server : view.Group.Servers) {
    if (!window && (server.Target == flight.Write.Executor || flight.Write.CoveredBy.contains(server.Target)))
      continue;
    const QueryStatus query{window ? std::nullopt : std::optional(flight.Write.At)};
    Ctx.emit(ControlCall{call(Module::Acknowledge, flight, server.Target), server.Target, timeout, query});
  }
  wakeAt(flight, Ctx.Now + timeout);
}

void Engine::handleControlAnswer(const ControlAnswer &event) {
  auto it = State.PendingCalls.find(event.Call.Number);
  if (it == State.PendingCalls.end() || it->second.Target != event.Target) {
    countUnmatchedAnswer();
    return;
  }
  const auto pending = it->second;
  State.PendingCalls.erase(it);
  std::visit(
      Overloaded{[&](const TargetStatus &status) { handleStatus(pending, status); },
                 [&](const MarkerRecord &record) { handleMarkerRecord(pending, event.Call.Number, record); },
                 [&](const ControlFailure &) { handleCallFailure(pending, event.Call.Number); }},
      event.Result);
}

void Engine::handleCallFailure(const PendingCall &call, std::uint64_t number) {
  auto *flight = find(call.Flight);
  if (flight == nullptr)
    return;
  if (flight->Phase == Phase::Resolving && flight->MarkerCall == number) {
    flight->MarkerCall = 0;
    wakeAt(*flight, Ctx.Now + ServerRetryInterval);
  } else {
    endReplicaWait(*flight);
  }
}

void Engine::handleStatus(const PendingCall &call, const TargetStatus &status) {
  Svc.Groups.recordStatus(call.Target, status, call.SentAt, Ctx.Now, true);
  State.Confirmations.record(call.Target, status.RaisedTerm, call.SentAt);
  auto *flight = find(call.Flight);
  if (flight == nullptr)
    return;
  if (flight->Phase == Phase::Confirming) {
    recordStatus(flight->Write, call.Target, status);
    checkConfirmation(*flight);
  } else {
    endReplicaWait(*flight);
  }
}

void Engine::completeWrite(Flight &flight) {
  const auto took = Ctx.Now - flight.ConfirmationStartedAt;
  Ctx.emit(Observe{"acknowledge_wait", took});
  auto &mean = State.MeanCoverageTime[flight.Request.Database];
  mean += (took - mean) / CoverageMeanDivisor;
  if (flight.Record) {
    applyMarkerRecord(flight);
    return;
  }
  flight.PendingAnswer.Session = flight.Write.At;
  finish(flight, std::move(flight.PendingAnswer));
}

} // namespace rosemaryhinge::detail
