// Public interface of the request module, called by the reducer. Delegates to Engine.

#include "request/requestmodule.h"

#include "request/internal/engine.h"

#include <algorithm>

namespace rosemaryhinge {

using detail::Engine;

RequestModule::RequestModule(RequestOptions options)
    : State(std::make_unique<detail::RequestState>(options)) {}
RequestModule::~RequestModule() = default;
RequestModule::RequestModule(RequestModule &&) noexcept = default;
RequestModule &RequestModule::operator=(RequestModule &&) noexcept = default;

void RequestModule::onRequest(Context &ctx, Services &services, const CallerRequest &request) {
  Engine(ctx, services, *State).acceptRequest(request);
}

void RequestModule::onCallerGone(Context &ctx, Services &services, RequestId id) {
  Engine(ctx, services, *State).handleCallerDisconnected(id);
}

void RequestModule::onForwardRequest(Context &ctx, Services &services, const NodeId &from,
                                     const ForwardRequest &message) {
  Engine(ctx, services, *State).acceptForwardedRequest(from, message);
}

void RequestModule::onForwardAnswer(Context &ctx, Services &services, const NodeId &from,
                                    const ForwardAnswer &message) {
  Engine(ctx, services, *State).handleForwardAnswer(from, message);
}

void RequestModule::onPeerLost(Context &ctx, Services &services, const NodeId &node) {
  Engine(ctx, services, *State).handlePeerLost(node);
}

void RequestModule::onExecutionFinished(Context &ctx, Services &services, const ExecutionFinished &event) {
  Engine(ctx, services, *State).handleExecutionFinished(event);
}

void RequestModule::onConnectionClosed(Context &ctx, Services &services, const ConnectionClosed &event) {
  Engine(ctx, services, *State).handleConnectionClosed(event);
}

void RequestModule::onControlAnswer(Context &ctx, Services &services, const ControlAnswer &event) {
  Engine(ctx, services, *State).handleControlAnswer(event);
}

void RequestModule::onCapacity(Context &ctx, Services &services) {
  Engine engine(ctx, services, *State);
  engine.checkGroups();
  engine.startAllQueued();
}

void RequestModule::onTimer(Context &ctx, Services &services) {
  Engine engine(ctx, services, *State);
  engine.checkGroups();
  engine.processTimers();
  engine.startAllQueued();
}

void RequestModule::onShutdown(Context &ctx, Services &services) {
  Engine(ctx, services, *State).shortenTransactionDeadlines();
}

std::size_t RequestModule::inFlight() const { return State->Flights.size() + State->Transactions.size(); }

std::size_t RequestModule::inFlight(const TargetId &target) const {
  const auto flights = std::count_if(State->Flights.begin(), State->Flights.end(), [&](const auto &it) {
    const auto &flight = it.second;
    return flight.Target == target && !flight.inTransaction() &&
           (flight.Phase == detail::Phase::Running || flight.Phase == detail::Phase::Queued);
  });
  const auto transactions = std::count_if(State->Transactions.begin(), State->Transactions.end(),
                                          [&](const auto &it) { return it.second.Target == target; });
  return static_cast<std::size_t>(flights + transactions);
}

std::optional<TimePoint> RequestModule::nextTimer() const {
  std::optional<TimePoint> out;
  auto take = [&](const auto &timers) {
    if (!timers.empty() && (!out || timers.begin()->first < *out))
      out = timers.begin()->first;
  };
  take(State->Timers);
  take(State->TransactionDeadlines);
  return out;
}

} // namespace rosemaryhinge
