// Times at which work that waited for a new primary is sent to it.

#pragma once

#include "base/time.h"
#include "request/requestoptions.h"

#include <cstdint>
#include <random>

namespace rosemaryhinge {

class ReleasePacer {
public:
  /// A primary is ready. Interval is the time between two requests of this sender at the server's full rate:
  /// service time x senders / connections of the server.
  void startRelease(TimePoint now, Duration interval, std::size_t waiting);
  /// When the next request may go. Now for work that needs no pacing.
  TimePoint nextSendTime(TimePoint now, ReleasePolicy policy, std::mt19937_64 &random);

private:
  TimePoint NextAt;
  TimePoint EndsAt;
  Duration Interval{};
};

[[nodiscard]] Duration releaseInterval(Duration serviceTime, std::uint32_t connections, std::size_t senders);

} // namespace rosemaryhinge
