// Life cycle of requests: admission, queueing, execution, confirmation, and the answer or refusal.

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
  /// Handles answers to control calls that were sent for routing, acknowledgement and outcome resolution.
  void onControlAnswer(Context &ctx, Services &services, const ControlAnswer &event);
  /// Called when a connection was opened or released, a slot was gained, or a group changed. Starts the
  /// queued work that can now run.
  void onCapacity(Context &ctx, Services &services);
  void onTimer(Context &ctx, Services &services);
  /// Shortens the deadlines of interactive transactions that would outlast a graceful shutdown.
  void onShutdown(Context &ctx, Services &services);

  /// Number of unfinished requests and transactions, including those forwarded by or to other proxies.
  [[nodiscard]] std::size_t inFlight() const;
  /// Number of requests running on or queued for one server, plus its open transactions.
  [[nodiscard]] std::size_t inFlight(const TargetId &target) const;
  [[nodiscard]] std::optional<TimePoint> nextTimer() const;

private:
  std::unique_ptr<detail::RequestState> State;
};

} // namespace rosemaryhinge
