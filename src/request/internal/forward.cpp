// Requests that another proxy runs for this one.

#include "request/internal/engine.h"

#include <algorithm>

namespace rosemaryhinge::detail {

namespace {

/// Time kept back from the budget of a forwarded request, so that its answer arrives before our deadline.
constexpr Duration AnswerReserve = 30ms;
constexpr int ReserveDivisor = 10;
/// After a holder that the primary does not answer either, the request is dispatched again.
constexpr Duration SilentRetryInterval = 250ms;
/// A holder that was declared dead is noticed after this time, also if its connection does not break.
constexpr Duration HolderCheck = 500ms;

/// The holder did nothing, and another one may do better.
bool elsewhere(RefusalReason reason) {
  return reason == RefusalReason::NoTarget || reason == RefusalReason::NotReady ||
         reason == RefusalReason::ShuttingDown || reason == RefusalReason::PeerUnreachable;
}

/// The marker table tells more than the holder did: the outcome, or which attempt is free.
bool undecided(const Refusal &refusal) {
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
  // Random, so that a late answer to an earlier life of this proxy matches nothing.
  flight.ForwardId = RequestId{Ctx.Random() | 1U};
  St.ToPeers[flight.ForwardId] = flight.Id;
  flight.Sent = flight.Sent || flight.hasEffects();
  const auto budget = left - std::min<Duration>(AnswerReserve, left / ReserveDivisor);
  Ctx.emit(SendToPeer{
      node, ForwardRequest{flight.ForwardId, budget, flight.Hops + 1, flight.Attempt, flight.Request}});
  wakeAt(flight, Ctx.Now + HolderCheck);
}

void Engine::forwardAnswered(const NodeId &from, const ForwardAnswer &message) {
  auto it = St.ToPeers.find(message.Id);
  auto *flight = it == St.ToPeers.end() ? nullptr : find(it->second);
  if (flight == nullptr || (flight->Peer != from && Ctx.Rules.AnswerMatching)) {
    unmatched();
    return;
  }
  St.ToPeers.erase(it);
  const auto *refusal = std::get_if<Refusal>(&message.Answer);
  if (refusal == nullptr) {
    finish(*flight, message.Answer);
    return;
  }
  if (refusal->Ran == Ran::NotRun)
    flight->Sent = false;
  const bool whole = flight->Request.Step == TransactionStep::None;
  // The holder waits no longer than it must: only this proxy knows when its caller's time is up.
  if (refusal->Ran == Ran::NotRun && refusal->Reason == RefusalReason::NoPrimary &&
      !flight->inTransaction() && Ctx.Now + SilentRetryInterval < flight->Request.Deadline) {
    flight->Phase = Phase::Paced;
    wakeAt(*flight, Ctx.Now + SilentRetryInterval);
    return;
  }
  if (refusal->Ran == Ran::NotRun && elsewhere(refusal->Reason) && !flight->inTransaction())
    retryElsewhere(*flight, RetryReason::TargetChanged, *refusal);
  else if (!flight->From && whole && flight->hasEffects() && undecided(*refusal))
    resolve(*flight, viewOf(*flight).Group.Term);
  else
    finish(*flight, message.Answer);
}

void Engine::retryElsewhere(Flight &flight, RetryReason reason, Refusal refusal) {
  flight.Excluded.push_back(flight.Peer);
  if (takeRetry(flight, reason))
    dispatch(flight);
  else
    finish(flight, std::move(refusal));
}

void Engine::peerLost(const NodeId &node) {
  std::vector<std::uint64_t> ids;
  for (const auto &[id, flight] : St.Flights)
    if (flight.Phase == Phase::Forwarded && flight.Peer == node)
      ids.push_back(id);
  std::sort(ids.begin(), ids.end());
  for (const auto id : ids)
    if (auto *flight = find(id); flight != nullptr)
      holderLost(*flight);
}

void Engine::holderLost(Flight &flight) {
  const auto why = "lost the proxy " + flight.Peer.str();
  St.ToPeers.erase(flight.ForwardId);
  if (flight.hasEffects()) {
    flight.Excluded.push_back(flight.Peer);
    lostAnswer(flight, RetryReason::PeerLost);
  } else if (flight.inTransaction()) {
    // The transaction may live on and be committed through another proxy.
    refuseAs(flight, RefusalReason::TransactionLost, Ran::Unknown, why);
  } else {
    retryElsewhere(flight, RetryReason::PeerLost,
                   Refusal{RefusalReason::PeerUnreachable, Ran::NotRun, Duration{}, why});
  }
}

void Engine::checkHolder(Flight &flight) {
  if (Svc.Members.isDead(flight.Peer))
    holderLost(flight);
  else
    wakeAt(flight, Ctx.Now + HolderCheck);
}

} // namespace rosemaryhinge::detail
