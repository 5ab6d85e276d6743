// The rule LOST for requests whose connection ended without a complete answer: which of them count.

#pragma once

#include "platformsoak/observations.h"

#include <span>
#include <string_view>

namespace rosemaryhinge::platformsoak {

/// Bounds of the deployment, in ms.
struct LostBounds {
  Millis GraceMs = 6'000;
  Millis SlackMs = 200; ///< lossSlackMs.
  Millis PropagationMs = 3'000;
  Millis StableWindowMs = 5'000;
};

enum class LostVerdict : std::uint8_t {
  Lost,
  NotCut,        ///< It was answered, or its caller left.
  NoPlannedWork, ///< Neither SIGTERM nor SIGHUP of its machine is near enough.
  NotTaken,      ///< No server has it, and it was sent just before the end.
  HeldUp,        ///< No server has it, and it or the end of its connection was held up on the way.
  ServerBroke,   ///< The server broke off.
  TimeReached,   ///< The route's timeout or the caller's deadline.
  Crashed,       ///< The run killed the process before the connection ended.
  Suspended,     ///< The process was suspended during the request.
  WorkAtTheEnd,  ///< A server was at work in the last sixth of the grace, and it was sent early enough.
  Disrupted,     ///< Unplanned disruption before or during the request.
};

[[nodiscard]] std::string_view describe(LostVerdict verdict);

/// Life is the process that took the request from the caller.
[[nodiscard]] LostVerdict judgeLost(const Request &request, std::span<const ServerRun> runs,
                                    const ProcessLife &life, std::span<const Disruption> disruptions,
                                    const LostBounds &bounds = {});

} // namespace rosemaryhinge::platformsoak
