// Signals that ask the process to shut down.
//
// The first SIGTERM or SIGINT starts a graceful shutdown. Service managers and scripts may send SIGTERM more
// than once, also to a process that is already shutting down, so a further one changes nothing. A SIGINT
// during the shutdown, such as a second Ctrl-C, ends the process at once.

#pragma once

#include "daemon/logger.h"
#include "daemon/loop.h"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <chrono>
#include <optional>

namespace rosemaryhinge::detail {

class ShutdownSignals {
public:
  /// All three must outlive the object.
  ShutdownSignals(asio::io_context &io, Loop &loop, ILogger &logger);

  /// Time of the first signal.
  [[nodiscard]] std::optional<std::chrono::steady_clock::time_point> requestedAt() const {
    return RequestedAt;
  }
  /// Whether SIGINT ended the process before its shutdown was complete.
  [[nodiscard]] bool interrupted() const { return Interrupted; }

private:
  void wait();
  void onSignal(int number);

  asio::signal_set Set;
  Loop &Events;
  ILogger &Logger;
  std::optional<std::chrono::steady_clock::time_point> RequestedAt; ///< Set with the first signal.
  bool Interrupted = false;
};

} // namespace rosemaryhinge::detail
