// Effective settings as the decision logic uses them, after inheritance. Defaults are those of the schema.

#pragma once

#include "base/id.h"
#include "base/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace rosemaryhinge {

enum class AckStrength : std::uint8_t { Replica, Primary };
enum class Lane : std::uint8_t { Short, Long };

/// Per request class of a service.
struct ClassPolicy {
  AckStrength Acknowledge = AckStrength::Replica;
  bool Repeatable = false;
  rosemaryhinge::Lane Lane = Lane::Short;
  Duration ReadWait = 30ms;
  Duration DefaultDeadline = 5s;
  Duration MaxStaleness = 0ms; ///< 0: read-your-writes only.
};

/// Per database.
struct DatabasePolicy {
  Duration AckWindow = 500ms;
  Duration StatusInterval = 100ms;
  Duration SuspectAfter = 800ms;
  Duration TakeoverAfter = 3s;
  Duration MinChangeInterval = 5s;
  Duration LongAfter = 200ms;
  double LongShare = 0.4;
  std::uint32_t QueueLimit = 2000;
  double RetryBudget = 0.1;
  std::uint32_t SlotConnections = 20;
  std::uint32_t WarmConnections = 2;
};

} // namespace rosemaryhinge
