// Tracks the graceful shutdown of this proxy.

#pragma once

#include "protocol/context.h"

#include <cstddef>
#include <optional>

namespace rosemaryhinge {

class DrainModule {
public:
  /// Starts the shutdown. Has no effect if it has already started.
  void start(Context &ctx);
  /// Emits ShutdownComplete, once, when nothing is in flight, the slots are released and the journal is
  /// flushed. After a timeout, completes even if the slots or the journal are not done.
  void completeIfDone(Context &ctx, std::size_t inFlight, bool slotsReleased, bool journalFlushed);

  [[nodiscard]] bool leaving() const { return StartedAt.has_value(); }
  [[nodiscard]] bool complete() const { return Complete; }
  [[nodiscard]] std::optional<TimePoint> nextTimer() const { return Next; }

private:
  std::optional<TimePoint> StartedAt;
  std::optional<TimePoint> Next;
  bool Complete = false;
};

} // namespace rosemaryhinge
