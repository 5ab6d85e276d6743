// The one answer to each request, and lookups.

#include "outcome/outcome.h"
#include "request/internal/engine.h"

#include <algorithm>

namespace rosemaryhinge::detail {

namespace {
const char *const AnswerInvariant = "answer_matching";
/// Calls are forgotten after this time, far above each timeout, should an answer never come.
constexpr Duration CallLifetime = 10s;
/// At most one log line about a single request in this time; the counters hold all of them.
constexpr Duration LogInterval = 1s;
/// A copy of a forwarded request that arrives later than this after its deadline would run again. Copies stem
/// from connections between proxies, which are closed long before.
constexpr Duration CopyAllowance = 5s;
/// Bound of the memory of answered forwards: about 5 s of a node's share of 10 million statements a second.
constexpr std::size_t MaxAnswered = 16'384;
} // namespace

void Engine::finish(Flight &flight, Answer answer) {
  const auto id = flight.Id;
  const auto *refusal = std::get_if<Refusal>(&answer);
  if (!flight.Connection.empty() && !flight.inTransaction()) {
    Ctx.emit(InvariantBroken{"transaction_isolation", "request answered while on a connection"});
    leaveConnection(flight, true, false);
  }
  St.Queue.remove(id);
  St.Timers.erase({flight.WakeAt, id});
  if (!flight.ForwardId.empty())
    St.ToPeers.erase(flight.ForwardId);
  if (auto it = St.Keys.find(flight.Request.IdempotencyKey); it != St.Keys.end() && it->second == id)
    St.Keys.erase(it);
  if (flight.From) {
    if (St.FromPeers.erase({*flight.From, flight.FromId}) == 1) {
      rememberAnswered(flight);
      Ctx.emit(SendToPeer{*flight.From, ForwardAnswer{flight.FromId, std::move(answer)}});
    } else {
      Ctx.emit(InvariantBroken{AnswerInvariant, "second answer to a forwarded request"});
    }
  } else if (St.Own.erase(flight.Request.Id) == 1) {
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
  if (flight.Phase == Phase::Parked)
    --St.InUse[database].Parked;
  St.Flights.erase(id);
  unuse(database);
}

void Engine::countRetry(const Flight &flight, RetryReason reason) {
  Ctx.emit(CountRetry{reason});
  recordReason("retry", flight, toString(reason));
}

void Engine::recordReason(const char *kind, const Flight &flight, std::string_view reason) {
  Ctx.record({kind, flight.Request.Database, flight.Request.Class.str(), std::string(reason), 0, 0});
}

void Engine::rememberAnswered(const Flight &flight) {
  while (!St.AnsweredOrder.empty() &&
         (St.AnsweredOrder.front().first <= Ctx.Now || St.AnsweredOrder.size() >= MaxAnswered)) {
    St.Answered.erase(St.AnsweredOrder.front().second);
    St.AnsweredOrder.pop_front();
  }
  const auto until = std::max(flight.Request.Deadline, Ctx.Now) + CopyAllowance;
  const auto key = std::pair(*flight.From, flight.FromId);
  St.Answered[key] = until;
  St.AnsweredOrder.emplace_back(until, key);
}

void Engine::refuse(Flight &flight, RefusalReason reason, std::string message,
                    std::optional<Duration> retryAfter) {
  refuseAs(flight, reason, ranWithoutMarker(flight.Sent, flight.hasEffects()), std::move(message),
           retryAfter);
}

void Engine::refuseAs(Flight &flight, RefusalReason reason, Ran ran, std::string message,
                      std::optional<Duration> retryAfter) {
  if (ran == Ran::Unknown)
    logUnknown(flight, toString(reason));
  finish(flight, Refusal{reason, ran, retryAfter, std::move(message)});
}

void Engine::logUnknown(const Flight &flight, std::string_view reason) {
  if (Ctx.Now < St.NextLog)
    return;
  St.NextLog = Ctx.Now + LogInterval;
  Ctx.emit(Log{LogLevel::Warn,
               "outcome of a request is not known",
               {{"database", flight.Request.Database.str()},
                {"reason", std::string(reason)},
                {"request", std::to_string(flight.Id)},
                {"attempt", std::to_string(flight.Attempt)},
                {"term", std::to_string(flight.Write.At.Term)},
                {"position", std::to_string(flight.Write.At.Lsn)}}});
}

void Engine::broken(Flight &flight, const char *invariant, std::string detail) {
  Ctx.emit(InvariantBroken{invariant, detail});
  refuse(flight, RefusalReason::InvariantBroken, std::move(detail));
}

bool Engine::takeRetry(Flight &flight, RetryReason reason) {
  if (!St.Queue.takeRetryToken(flight.Request.Database)) {
    Ctx.emit(Count{"retry_budget_spent_total"});
    return false;
  }
  countRetry(flight, reason);
  return true;
}

void Engine::unmatched() { Ctx.emit(Count{"unmatched_answers_total"}); }

void Engine::use(const DatabaseId &database) {
  auto [it, added] = St.InUse.try_emplace(database);
  ++it->second.Count;
  if (!added)
    return;
  if (const auto *view = Svc.Groups.find(database))
    it->second.Mark = markOf(*view);
}

void Engine::unuse(const DatabaseId &database) {
  auto it = St.InUse.find(database);
  if (it != St.InUse.end() && --it->second.Count == 0)
    St.InUse.erase(it);
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
  auto it = St.Flights.find(id);
  return it == St.Flights.end() ? nullptr : &it->second;
}

std::vector<std::uint64_t> Engine::flightsOf(const DatabaseId &database) const {
  std::vector<std::uint64_t> out;
  for (const auto &[id, flight] : St.Flights)
    if (flight.Request.Database == database)
      out.push_back(id);
  std::sort(out.begin(), out.end());
  return out;
}

CallId Engine::call(Module owner, const Flight &flight, const TargetId &target) {
  const auto out = Ctx.call(owner);
  while (!St.Calls.empty() && St.Calls.begin()->second.SentAt + CallLifetime < Ctx.Now)
    St.Calls.erase(St.Calls.begin());
  St.Calls[out.Number] = {flight.Id, target, Ctx.Now};
  return out;
}

} // namespace rosemaryhinge::detail
