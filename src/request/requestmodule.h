// Life cycle of requests: admit, queue, execute, confirm, answer or refuse.

#pragma once

#include "protocol/context.h"
#include "protocol/event.h"
#include "request/requestoptions.h"
#include "request/services.h"

#include <cstddef>
#include <memory>
#include <optional>

namespace rosemaryhinge {

namespace detail {
struct RequestState;
}

class RequestModule {
public:
  explicit RequestModule(RequestOptions options = {});
  ~RequestModule();
  RequestModule(RequestModule &&) noexcept;
  RequestModule &operator=(RequestModule &&) noexcept;

  void onRequest(Context &ctx, Services &services, const CallerRequest &request);
  void onCallerGone(Context &ctx, Services &services, RequestId id);
  void onForwardRequest(Context &ctx, Services &services, const NodeId &from, const ForwardRequest &message);
  void onForwardAnswer(Context &ctx, Services &services, const NodeId &from, const ForwardAnswer &message);
  void onPeerLost(Context &ctx, Services &services, const NodeId &node);
  void onExecutionFinished(Context &ctx, Services &services, const ExecutionFinished &event);
  /// Called after the slots module has removed the connection.
  void onConnectionClosed(Context &ctx, Services &services, const ConnectionClosed &event);
  /// Answers to calls of the modules request, routing, acknowledge and outcome.
  void onControlAnswer(Context &ctx, Services &services, const ControlAnswer &event);
  /// A connection was opened or released, a slot was gained, or a group changed: waiting work may go on.
  void onCapacity(Context &ctx, Services &services);
  void onTimer(Context &ctx, Services &services);
  /// Ends interactive transactions whose deadline a graceful shutdown cannot wait for.
  void onShutdown(Context &ctx, Services &services);

  /// Requests and transactions that are not finished, own and forwarded ones.
  [[nodiscard]] std::size_t inFlight() const;
  /// Work in flight or queued on one server.
  [[nodiscard]] std::size_t inFlight(const TargetId &target) const;
  [[nodiscard]] std::optional<TimePoint> nextTimer() const;

private:
  std::unique_ptr<detail::RequestState> State;
};

} // namespace rosemaryhinge
