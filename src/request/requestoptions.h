// Policies of the request module. The daemon uses the defaults; tests and benchmarks select the baselines.

#pragma once

#include <cstdint>

namespace rosemaryhinge {

enum class QueuePolicy : std::uint8_t {
  FairLanes,      ///< Short and long lane, fair shares between callers, bounded, checks deadlines.
  SingleFifo,     ///< Baseline: one bounded first-in, first-out queue.
  UnboundedRetry, ///< Baseline: one unbounded queue without early refusal, and retries without a budget.
};

enum class ReleasePolicy : std::uint8_t {
  Paced,     ///< Evenly spaced at the server's service rate divided by the number of sending proxies.
  Jittered,  ///< Baseline: each request is delayed by a random part of the same period.
  Immediate, ///< Baseline: all requests are sent at once.
};

enum class ReadPolicy : std::uint8_t {
  SessionToken,  ///< Any replica that has applied the log up to the session token may serve the read.
  StickyPrimary, ///< Baseline: once a session has written, all its reads go to the primary.
};

struct RequestOptions {
  QueuePolicy Queue = QueuePolicy::FairLanes;
  ReleasePolicy Release = ReleasePolicy::Paced;
  ReadPolicy Reads = ReadPolicy::SessionToken;
};

} // namespace rosemaryhinge
