// Validation and registration of new requests, from callers and from other proxies.

#include "request/internal/engine.h"
#include "request/internal/transactionid.h"

#include <algorithm>

namespace rosemaryhinge::detail {

namespace {

constexpr Duration NotReadyRetryAfter = 500ms;
/// Limit of unfinished requests of a database, in any phase, as a multiple of its queue limit.
constexpr std::size_t MaxFlightsPerQueuePlace = 4;

/// Keys of callers and generated keys have different prefixes, so that no caller can supply the key of
/// another request.
std::string callerKey(const CallerRequest &request) {
  return "c:" + request.Database.str() + ":" + request.IdempotencyKey;
}

std::string ownKey(const Context &ctx, const CallerRequest &request, std::uint64_t number) {
  // A repeated commit of the same transaction must find the marker of the first one.
  if (request.Step == TransactionStep::Commit)
    return "t:" + request.Transaction.str();
  return "p:" + request.Database.str() + ":" + ctx.Self.Node.str() + ":" + std::to_string(ctx.Incarnation) +
         ":" + std::to_string(number);
}

} // namespace

Flight &Engine::addFlight(CallerRequest request) {
  const auto id = Ctx.nextNumber();
  auto &flight = State.Flights[id];
  flight.Id = id;
  flight.ArrivedAt = Ctx.Now;
  flight.Request = std::move(request);
  // Transaction URLs do not contain the database; the transaction id does.
  if (flight.inTransaction())
    if (auto place = parseTransactionId(flight.Request.Transaction))
      flight.Request.Database = place->Database;
  if (flight.Request.Deadline == TimePoint{})
    flight.Request.Deadline = Ctx.Now + classOf(flight).DefaultDeadline;
  flight.WakeAt = flight.Request.Deadline;
  State.Timers.emplace(flight.WakeAt, id);
  addDatabaseUse(flight.Request.Database);
  return flight;
}

void Engine::acceptRequest(const CallerRequest &request) {
  if (State.OwnRequests.contains(request.Id)) {
    Ctx.emit(InvariantBroken{"answer_matching", "request id " + std::to_string(request.Id.Value) +
                                                    " is already in use by an unfinished request"});
    return;
  }
  auto &flight = addFlight(request);
  State.OwnRequests[request.Id] = flight.Id;
  if (auto fault = validateRequest(flight.Request)) {
    finish(flight, std::move(*fault));
    return;
  }
  if (flight.hasEffects()) {
    auto &key = flight.Request.IdempotencyKey;
    key = key.empty() ? ownKey(Ctx, flight.Request, flight.Id) : callerKey(flight.Request);
  }
  State.Queue.addRetryTokens(flight.Request.Database, policyOf(flight).RetryBudget);
  startProcessing(flight);
}

std::optional<Refusal> Engine::validateRequest(const CallerRequest &request) const {
  auto fault = [](RefusalReason reason, std::string message, std::optional<Duration> after = std::nullopt) {
    return Refusal{reason, Ran::NotRun, after, std::move(message)};
  };
  const bool opened = request.Step != TransactionStep::None && request.Step != TransactionStep::Begin;
  if (!Svc.Ready)
    return fault(RefusalReason::NotReady, "this proxy has no settings in force yet", NotReadyRetryAfter);
  if (Svc.Leaving && !opened)
    return fault(RefusalReason::ShuttingDown, "this proxy is shutting down", Duration{});
  if (opened && !parseTransactionId(request.Transaction))
    return fault(RefusalReason::UnknownTransaction, "malformed transaction id");
  if (Svc.Groups.find(request.Database) == nullptr) {
    const auto &names = Svc.Policies.databases();
    if (std::find(names.begin(), names.end(), request.Database) == names.end())
      return fault(RefusalReason::UnknownDatabase, "no database " + request.Database.str());
    return fault(RefusalReason::NotReady, "the group of " + request.Database.str() + " is not known yet",
                 NotReadyRetryAfter);
  }
  const bool needsStatement =
      request.Step == TransactionStep::None || request.Step == TransactionStep::Statement;
  if (needsStatement && request.Statements.empty())
    return fault(RefusalReason::BadRequest, "no statement");
  if (request.Deadline <= Ctx.Now)
    return fault(RefusalReason::DeadlineExceeded, "the deadline had passed on arrival");
  return std::nullopt;
}

void Engine::acceptForwardedRequest(const NodeId &from, const ForwardRequest &message) {
  const auto known = std::pair(from, message.Id);
  if (State.RequestsFromPeers.contains(known) || State.Answered.contains(known)) {
    Ctx.emit(Count{"duplicate_messages_total"});
    return;
  }
  auto request = message.Request;
  request.Deadline = Ctx.Now + std::max(message.Budget, Duration(1));
  auto &flight = addFlight(std::move(request));
  flight.Origin = from;
  flight.OriginRequestId = message.Id;
  flight.Hops = message.Hops;
  flight.Attempt = message.Attempt;
  // The key is in flight at the sender, which would refuse the request as a duplicate.
  flight.Excluded.push_back(from);
  State.RequestsFromPeers[known] = flight.Id;
  if (!Svc.Ready || Svc.Groups.find(flight.Request.Database) == nullptr) {
    refuse(flight, RefusalReason::NotReady, "the proxy asked is not ready", NotReadyRetryAfter);
    return;
  }
  startProcessing(flight);
}

void Engine::startProcessing(Flight &flight) {
  const bool bounded = State.Options.Queue != QueuePolicy::UnboundedRetry;
  const auto limit = MaxFlightsPerQueuePlace * policyOf(flight).QueueLimit;
  if (bounded && !flight.inTransaction() && State.DatabasesInUse[flight.Request.Database].Count > limit) {
    refuse(flight, RefusalReason::Overloaded, "too many requests in flight", NotReadyRetryAfter);
    return;
  }
  if (flight.hasEffects()) {
    auto [it, added] = State.MarkerKeys.try_emplace(flight.Request.IdempotencyKey, flight.Id);
    if (!added) {
      // The first request with this key may take effect, so not_run would be false for the key.
      refuseAs(flight, RefusalReason::DuplicateInProgress, Ran::Unknown,
               "a request with the same idempotency key is in progress");
      return;
    }
  }
  if (flight.inTransaction())
    runTransactionStep(flight);
  else
    dispatch(flight);
}

void Engine::handleCallerDisconnected(RequestId id) {
  auto it = State.OwnRequests.find(id);
  if (it == State.OwnRequests.end())
    return;
  auto &flight = State.Flights.at(it->second);
  const bool waits = flight.Phase == Phase::Queued || flight.Phase == Phase::AwaitingPrimary ||
                     flight.Phase == Phase::Delayed || flight.Phase == Phase::AwaitingReplica;
  if (waits && !flight.MayHaveEffect)
    refuse(flight, RefusalReason::DeadlineExceeded, "the caller closed its connection");
}

} // namespace rosemaryhinge::detail
