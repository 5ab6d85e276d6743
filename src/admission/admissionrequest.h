// A request as the admission module sees it.

#pragma once

#include "base/id.h"
#include "base/time.h"
#include "protocol/policy.h"

#include <cstdint>

namespace rosemaryhinge {

struct AdmissionRequest {
  std::uint64_t Id = 0;
  CallerId Caller;
  DatabaseId Database;
  ClassName Class;
  rosemaryhinge::Lane Lane = rosemaryhinge::Lane::Short;
  TimePoint Deadline;
  TimePoint QueuedAt;
  Duration Cost{};         ///< Expected time on a connection.
  Duration TimeToAnswer{}; ///< Expected time from there to the answer: coverage of a write.
};

} // namespace rosemaryhinge
