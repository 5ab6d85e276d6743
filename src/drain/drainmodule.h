// Graceful shutdown of this proxy.

#pragma once

#include "protocol/context.h"

#include <cstddef>
#include <optional>

namespace rosemaryhinge {

class DrainModule {
public:
  /// Begins the shutdown. Further calls change nothing.
  void start(Context &ctx);
  /// Emits ShutdownComplete once nothing is left to do.
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
