// Requests that this proxy forwards to another one (the holder), which runs them.

#include "request/internal/engine.h"

#include <algorithm>

namespace rosemaryhinge::detail {

namespace {

/// Time withheld from the budget of a forwarded request, so that the answer arrives before the deadline here:
/// at most MaxAnswerReserve, and at most 1 / AnswerReserveDivisor of the remaining time.
constexpr Duration MaxAnswerReserve = 30ms;
constexpr int AnswerReserveDivisor = 10;
/// Delay before a request is dispatched again after a holder refused it because the primary is missing
/// or does not answer.
constexpr Duration UnresponsivePrimaryRetryInterval = 250ms;
/// Interval at which membership is checked for the holder, since the connection to a dead
/// proxy may stay open.
constexpr Duration HolderCheckInterval = 500ms;

/// Whether another holder may be able to serve a request that this one refused without running it.
bool mayRetryElsewhere(RefusalReason reason) {
  return reason == RefusalReason::NoTarget || reason == RefusalReason::NotReady ||
         reason == RefusalReason::ShuttingDown || reason == RefusalReason::PeerUnreachable;
}

/// Whether the marker table can tell more than the refusal: the outcome, or the next free attempt number.
bool needsMarkerLookup(const Refusal &refusal) {
  return (refusal.Ran == Ran::NotRun && refusal.Reason == RefusalReason::LostAnswer) ||
         (refusal.Ran == Ran::Unknown && refusal.Reason == RefusalReason::OutcomeUnknown);
}

} // namespace

void Engine::forward(Flight &flight, const NodeId &node) {
  const auto left = flight.Request.Deadline - Ctx.Now;
  if (left <= Duration{}) {
    expire(flight);
    return;
  }
  flight.Phase = Phase::Forwarded;
  flight.Peer = node;
  // Random, so that a late answer to an id sent before a restart of this proxy does not match.
  flight.ForwardId = RequestId{Ctx.Random() | 1U};
  State.ForwardedToPeers[flight.ForwardId] = flight.Id;
  flight.MayHaveEffect = flight.MayHaveEffect || flight.hasEffects();
  const auto budget = left - std::min<Duration>(MaxAnswerReserve, left / AnswerReserveDivisor);
  Ctx.emit(SendToPeer{
      node, ForwardRequest{flight.ForwardId, budget, flight.Hops + 1, flight.Attempt, flight.Request}});
  wakeAt(flight, Ctx.Now + HolderCheckInterval);
}

void Engine::handleForwardAnswer(const NodeId &from, const ForwardAnswer &message) {
  auto it = State.ForwardedToPeers.find(message.Id);
  auto *flight = it == State.ForwardedToPeers.end() ? nullptr : find(it->second);
  if (flight == nullptr || (flight->Peer != from && Ctx.Rules.AnswerMatching)) {
    countUnmatchedAnswer();
    return;
  }
  State.ForwardedToPeers.erase(it);
  const auto *refusal = std::get_if<Refusal>(&message.Answer);
  if (refusal == nullptr) {
    finish(*flight, message.Answer);
    return;
  }
  if (refusal->Ran == Ran::NotRun)
    flight->MayHaveEffect = false;
  const bool whole = flight->Request.Step == TransactionStep::None;
  // The holder refuses early if the primary is missing or does not answer. Only this proxy knows the caller's
  // deadline, so the retries are made here.
  if (refusal->Ran == Ran::NotRun && refusal->Reason == RefusalReason::NoPrimary &&
      !flight->inTransaction() && Ctx.Now + UnresponsivePrimaryRetryInterval < flight->Request.Deadline) {
    flight->Phase = Phase::Delayed;
    wakeAt(*flight, Ctx.Now + UnresponsivePrimaryRetryInterval);
    return;
  }
  if (refusal->Ran == Ran::NotRun && mayRetryElsewhere(refusal->Reason) && !flight->inTransaction())
    retryAtOtherProxy(*flight, RetryReason::TargetChanged, *refusal);
  else if (!flight->Origin && whole && flight->hasEffects() && needsMarkerLookup(*refusal))
    resolveOutcome(*flight, viewOf(*flight).Group.Term);
  else
    finish(*flight, message.Answer);
}

void Engine::retryAtOtherProxy(Flight &flight, RetryReason reason, Refusal refusal) {
  flight.Excluded.push_back(flight.Peer);
  if (takeRetry(flight, reason))
    dispatch(flight);
  else
    finish(flight, std::move(refusal));
}

void Engine::handlePeerLost(const NodeId &node) {
  std::vector<std::uint64_t> ids;
  for (const auto &[id, flight] : State.Flights)
    if (flight.Phase == Phase::Forwarded && flight.Peer == node)
      ids.push_back(id);
  std::sort(ids.begin(), ids.end());
  for (const auto id : ids)
    if (auto *flight = find(id); flight != nullptr)
      handleHolderLost(*flight);
}

void Engine::handleHolderLost(Flight &flight) {
  const auto why = "lost the proxy " + flight.Peer.str();
  State.ForwardedToPeers.erase(flight.ForwardId);
  if (flight.hasEffects()) {
    flight.Excluded.push_back(flight.Peer);
    handleLostAnswer(flight, RetryReason::PeerLost);
  } else if (flight.inTransaction()) {
    // The transaction may still be open and be committed through another proxy.
    refuseAs(flight, RefusalReason::TransactionLost, Ran::Unknown, why);
  } else {
    retryAtOtherProxy(flight, RetryReason::PeerLost,
                      Refusal{RefusalReason::PeerUnreachable, Ran::NotRun, Duration{}, why});
  }
}

void Engine::checkHolder(Flight &flight) {
  if (Svc.Members.isDead(flight.Peer))
    handleHolderLost(flight);
  else
    wakeAt(flight, Ctx.Now + HolderCheckInterval);
}

} // namespace rosemaryhinge::detail
