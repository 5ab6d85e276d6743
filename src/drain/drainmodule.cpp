// Start and completion of a graceful shutdown.

#include "drain/drainmodule.h"

namespace rosemaryhinge {

namespace {

/// Time since the start of the shutdown after which the proxy, with nothing in flight, no longer waits for
/// its slots to be released and its journal to be flushed, because the store may not answer.
constexpr Duration HandOverTimeout = 5s;
constexpr Duration CheckInterval = 50ms;

} // namespace

void DrainModule::start(Context &ctx) {
  if (StartedAt)
    return;
  StartedAt = ctx.Now;
  Next = ctx.Now;
  ctx.emit(Log{LogLevel::Info, "graceful shutdown started", {}});
}

void DrainModule::completeIfDone(Context &ctx, std::size_t inFlight, bool slotsReleased,
                                 bool journalFlushed) {
  if (!StartedAt || Complete)
    return;
  Next = ctx.Now + CheckInterval;
  if (inFlight > 0 && ctx.Rules.GracefulShutdown)
    return;
  bool handedOver = slotsReleased && journalFlushed;
  if (!handedOver && ctx.Now < *StartedAt + HandOverTimeout)
    return;
  Complete = true;
  Next.reset();
  ctx.emit(Log{LogLevel::Info, "graceful shutdown complete", {}});
  ctx.emit(ShutdownComplete{});
}

} // namespace rosemaryhinge
