// Signals that ask the process to shut down.

#include "daemon/internal/shutdownsignals.h"

#include <csignal>

namespace rosemaryhinge::detail {

ShutdownSignals::ShutdownSignals(asio::io_context &io, Loop &loop, ILogger &logger)
    : Set(io, SIGTERM, SIGINT), Events(loop), Logger(logger) {
  wait();
}

void ShutdownSignals::wait() {
  Set.async_wait([this](std::error_code ec, int number) {
    if (ec)
      return;
    onSignal(number);
    wait();
  });
}

void ShutdownSignals::onSignal(int number) {
  const auto log = [&](const char *message) {
    Logger.logProcess({LogLevel::Info, message, {{"signal", std::to_string(number)}}});
  };
  if (!RequestedAt) {
    RequestedAt = std::chrono::steady_clock::now();
    log("shutdown requested");
    Events.post(ShutdownRequested{});
    return;
  }
  if (number == SIGTERM) {
    log("already shutting down");
    return;
  }
  log("ending at once");
  Interrupted = true;
  Events.stop();
}

} // namespace rosemaryhinge::detail
