// Coverage and window of writes that were committed, and answers to calls.

#include "request/internal/engine.h"

#include <algorithm>

namespace rosemaryhinge::detail {

namespace {

/// A server answers a query for coverage after this time at the latest; shorter than the window, so that a
/// covering answer also confirms the term.
constexpr Duration QueryPatience = 200ms;
/// Least time between two rounds of questions for the window.
constexpr Duration WindowInterval = 50ms;
/// Weight of one write in the mean time to coverage: 1 / MeanDivisor.
constexpr int MeanDivisor = 16;

} // namespace

void Engine::confirm(Flight &flight, Position at, const TargetId &executor, AckStrength strength) {
  flight.Phase = Phase::Confirming;
  flight.Write = {at, executor, strength, {}};
  flight.ConfirmSince = Ctx.Now;
  flight.AskedWindowAt.reset();
  const auto id = flight.Id;
  checkConfirmed(flight);
  auto *waiting = find(id);
  if (waiting != nullptr && waiting->Phase == Phase::Confirming && !waiting->AskedWindowAt)
    askReplicas(*waiting);
}

void Engine::checkConfirmed(Flight &flight) {
  const auto &group = viewOf(flight).Group;
  switch (
      mayAcknowledge(flight.Write, group, St.Confirmations, policyOf(flight).AckWindow, Ctx.Now, Ctx.Rules)) {
  case AckVerdict::Acknowledge:
    confirmed(flight);
    return;
  case AckVerdict::Superseded:
    countRetry(flight, RetryReason::TermChanged);
    resolve(flight, std::max(group.Term, St.Confirmations.highestTerm(group)));
    return;
  case AckVerdict::AwaitWindow:
    if (!flight.AskedWindowAt || Ctx.Now - *flight.AskedWindowAt >= WindowInterval)
      askReplicas(flight);
    return;
  case AckVerdict::AwaitCoverage:
    return;
  }
}

void Engine::askReplicas(Flight &flight) {
  const auto &view = viewOf(flight);
  const auto verdict = mayAcknowledge(flight.Write, view.Group, St.Confirmations, policyOf(flight).AckWindow,
                                      Ctx.Now, Ctx.Rules);
  const bool window = verdict == AckVerdict::AwaitWindow;
  if (window)
    flight.AskedWindowAt = Ctx.Now;
  const auto patience = std::clamp<Duration>(flight.Request.Deadline - Ctx.Now, 1ms, QueryPatience);
  for (const auto &server : view.Group.Servers) {
    if (!window && (server.Target == flight.Write.Executor || flight.Write.CoveredBy.contains(server.Target)))
      continue;
    const QueryStatus query{window ? std::nullopt : std::optional(flight.Write.At)};
    Ctx.emit(ControlCall{call(Module::Acknowledge, flight, server.Target), server.Target, patience, query});
  }
  wakeAt(flight, Ctx.Now + patience);
}

void Engine::controlAnswered(const ControlAnswer &event) {
  auto it = St.Calls.find(event.Call.Number);
  if (it == St.Calls.end() || it->second.Target != event.Target) {
    unmatched();
    return;
  }
  const auto pending = it->second;
  St.Calls.erase(it);
  std::visit(
      Overloaded{[&](const TargetStatus &status) { statusAnswered(pending, status); },
                 [&](const MarkerRecord &record) { markerAnswered(pending, event.Call.Number, record); },
                 [&](const ControlFailure &) { callFailed(pending, event.Call.Number); }},
      event.Result);
}

void Engine::callFailed(const PendingCall &call, std::uint64_t number) {
  auto *flight = find(call.Flight);
  if (flight == nullptr)
    return;
  if (flight->Phase == Phase::Resolving && flight->ResolveCall == number) {
    flight->ResolveCall = 0;
    wakeAt(*flight, Ctx.Now + AskAgainAfter);
  } else {
    replicaWaitOver(*flight);
  }
}

void Engine::statusAnswered(const PendingCall &call, const TargetStatus &status) {
  Svc.Groups.recordStatus(call.Target, status, call.SentAt, Ctx.Now, true);
  St.Confirmations.record(call.Target, status.RaisedTerm, call.SentAt);
  auto *flight = find(call.Flight);
  if (flight == nullptr)
    return;
  if (flight->Phase == Phase::Confirming) {
    recordStatus(flight->Write, call.Target, status);
    checkConfirmed(*flight);
  } else {
    replicaWaitOver(*flight);
  }
}

void Engine::confirmed(Flight &flight) {
  const auto took = Ctx.Now - flight.ConfirmSince;
  Ctx.emit(Observe{"acknowledge_wait", took});
  auto &mean = St.CoverTime[flight.Request.Database];
  mean += (took - mean) / MeanDivisor;
  if (flight.Record) {
    conclude(flight);
    return;
  }
  flight.Pending.Session = flight.Write.At;
  finish(flight, std::move(flight.Pending));
}

} // namespace rosemaryhinge::detail
