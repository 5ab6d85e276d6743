// Effective settings after inheritance, as used by the decision logic. The defaults equal those of the
// settings schema.

#pragma once

#include "base/id.h"
#include "base/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace rosemaryhinge {

enum class AckStrength : std::uint8_t { Replica, Primary };
enum class Lane : std::uint8_t { Short, Long };

/// Settings of a request class of a service.
struct ClassPolicy {
  AckStrength Acknowledge = AckStrength::Replica;
  bool Repeatable = false;
  rosemaryhinge::Lane Lane = Lane::Short;
  Duration ReadWait = 30ms;
  Duration DefaultDeadline = 5s;
  Duration MaxStaleness = 0ms; ///< 0 requires read-your-writes only.
};

/// Settings of a database.
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
