// Answers and refusals, each request being answered exactly once; retry budget, logging and lookups.

#include "outcome/outcome.h"
#include "request/internal/engine.h"

#include <algorithm>

namespace rosemaryhinge::detail {

namespace {
const char *const AnswerInvariant = "answer_matching";
/// Unanswered calls are dropped after this time, which is far above every call timeout.
constexpr Duration CallLifetime = 10s;
/// Minimum time between log lines about single requests; the counters include every request.
constexpr Duration LogInterval = 1s;
/// Time after the deadline for which answered forwards are remembered. A duplicate that arrived later would
/// run again; duplicates come from connections between proxies, which are closed long before.
constexpr Duration DuplicateRetention = 5s;
/// Limit of remembered answered forwards: about 5 s of one node's share of 10 million statements per second.
constexpr std::size_t MaxAnswered = 16'384;
} // namespace

void Engine::finish(Flight &flight, Answer answer) {
  const auto id = flight.Id;
  const auto *refusal = std::get_if<Refusal>(&answer);
  if (!flight.Connection.empty() && !flight.inTransaction()) {
    Ctx.emit(InvariantBroken{"transaction_isolation", "request answered while it still held a connection"});
    releaseConnection(flight, true, false);
  }
  State.Queue.remove(id);
  State.Timers.erase({flight.WakeAt, id});
  if (!flight.ForwardId.empty())
    State.ForwardedToPeers.erase(flight.ForwardId);
  if (auto it = State.MarkerKeys.find(flight.Request.IdempotencyKey);
      it != State.MarkerKeys.end() && it->second == id)
    State.MarkerKeys.erase(it);
  if (flight.Origin) {
    if (State.RequestsFromPeers.erase({*flight.Origin, flight.OriginRequestId}) == 1) {
      recordAnsweredForward(flight);
      Ctx.emit(SendToPeer{*flight.Origin, ForwardAnswer{flight.OriginRequestId, std::move(answer)}});
    } else {
      Ctx.emit(InvariantBroken{AnswerInvariant, "second answer to a forwarded request"});
    }
  } else if (State.OwnRequests.erase(flight.Request.Id) == 1) {
    if (refusal != nullptr) {
      Ctx.emit(CountRefusal{refusal->Reason});
      recordReason("refusal", flight, toString(refusal->Reason));
    }
    Ctx.emit(Observe{"request", Ctx.Now - flight.ArrivedAt});
    Ctx.emit(Respond{flight.Request.Id, std::move(answer)});
  } else {
    Ctx.emit(InvariantBroken{AnswerInvariant, "second answer to a request"});
  }
  const auto database = flight.Request.Database;
  if (flight.Phase == Phase::AwaitingPrimary)
    --State.DatabasesInUse[database].AwaitingPrimary;
  State.Flights.erase(id);
  removeDatabaseUse(database);
}

void Engine::countRetry(const Flight &flight, RetryReason reason) {
  Ctx.emit(CountRetry{reason});
  recordReason("retry", flight, toString(reason));
}

void Engine::recordReason(const char *kind, const Flight &flight, std::string_view reason) {
  Ctx.record({kind, flight.Request.Database, flight.Request.Class.str(), std::string(reason), 0, 0});
}

void Engine::recordAnsweredForward(const Flight &flight) {
  while (!State.AnsweredOrder.empty() &&
         (State.AnsweredOrder.front().first <= Ctx.Now || State.AnsweredOrder.size() >= MaxAnswered)) {
    State.Answered.erase(State.AnsweredOrder.front().second);
    State.AnsweredOrder.pop_front();
  }
  const auto until = std::max(flight.Request.Deadline, Ctx.Now) + DuplicateRetention;
  const auto key = std::pair(*flight.Origin, flight.OriginRequestId);
  State.Answered[key] = until;
  State.AnsweredOrder.emplace_back(until, key);
}

void Engine::refuse(Flight &flight, RefusalReason reason, std::string message,
                    std::optional<Duration> retryAfter) {
  refuseAs(flight, reason, ranWithoutMarker(flight.MayHaveEffect, flight.hasEffects()), std::move(message),
           retryAfter);
}

void Engine::refuseAs(Flight &flight, RefusalReason reason, Ran ran, std::string message,
                      std::optional<Duration> retryAfter) {
  if (ran == Ran::Unknown)
    logUnknownOutcome(flight, toString(reason));
  finish(flight, Refusal{reason, ran, retryAfter, std::move(message)});
}

void Engine::logUnknownOutcome(const Flight &flight, std::string_view reason) {
  if (Ctx.Now < State.NextLogTime)
    return;
  State.NextLogTime = Ctx.Now + LogInterval;
  Ctx.emit(Log{LogLevel::Warn,
               "request outcome unknown",
               {{"database", flight.Request.Database.str()},
                {"reason", std::string(reason)},
                {"request", std::to_string(flight.Id)},
                {"attempt", std::to_string(flight.Attempt)},
                {"term", std::to_string(flight.Write.At.Term)},
                {"position", std::to_string(flight.Write.At.Lsn)}}});
}

void Engine::refuseBrokenInvariant(Flight &flight, const char *invariant, std::string detail) {
  Ctx.emit(InvariantBroken{invariant, detail});
  refuse(flight, RefusalReason::InvariantBroken, std::move(detail));
}

bool Engine::takeRetry(Flight &flight, RetryReason reason) {
  if (!State.Queue.takeRetryToken(flight.Request.Database)) {
    Ctx.emit(Count{"retry_budget_spent_total"});
    return false;
  }
  countRetry(flight, reason);
  return true;
}

void Engine::countUnmatchedAnswer() { Ctx.emit(Count{"unmatched_answers_total"}); }

void Engine::addDatabaseUse(const DatabaseId &database) {
  auto [it, added] = State.DatabasesInUse.try_emplace(database);
  ++it->second.Count;
  if (!added)
    return;
  if (const auto *view = Svc.Groups.find(database))
    it->second.Snapshot = snapshotOf(*view);
}

void Engine::removeDatabaseUse(const DatabaseId &database) {
  auto it = State.DatabasesInUse.find(database);
  if (it != State.DatabasesInUse.end() && --it->second.Count == 0)
    State.DatabasesInUse.erase(it);
}

const GroupView &Engine::viewOf(const Flight &flight) const {
  return *Svc.Groups.find(flight.Request.Database);
}

const DatabasePolicy &Engine::policyOf(const Flight &flight) const {
  return Svc.Policies.databasePolicy(flight.Request.Database);
}

const ClassPolicy &Engine::classOf(const Flight &flight) const {
  return Svc.Policies.classPolicy(flight.Request.Database, flight.Request.Class);
}

Flight *Engine::find(std::uint64_t id) {
  auto it = State.Flights.find(id);
  return it == State.Flights.end() ? nullptr : &it->second;
}

std::vector<std::uint64_t> Engine::flightsOf(const DatabaseId &database) const {
  std::vector<std::uint64_t> out;
  for (const auto &[id, flight] : State.Flights)
    if (flight.Request.Database == database)
      out.push_back(id);
  std::sort(out.begin(), out.end());
  return out;
}

CallId Engine::call(Module owner, const Flight &flight, const TargetId &target) {
  const auto out = Ctx.call(owner);
  while (!State.PendingCalls.empty() && State.PendingCalls.begin()->second.SentAt + CallLifetime < Ctx.Now)
    State.PendingCalls.erase(State.PendingCalls.begin());
  State.PendingCalls[out.Number] = {flight.Id, target, Ctx.Now};
  return out;
}

} // namespace rosemaryhinge::detail
