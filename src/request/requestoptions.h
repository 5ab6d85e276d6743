// Policies of the request module that a test or measurement program can choose. The daemon uses the defaults.

#pragma once

#include <cstdint>

namespace rosemaryhinge {

enum class QueuePolicy : std::uint8_t {
  FairLanes,      ///< Two lanes, fair shares between callers, bounded, deadline-aware.
  SingleFifo,     ///< Baseline: one bounded queue in order of arrival.
  UnboundedRetry, ///< Baseline: one queue without bound or early refusal, retries without a budget.
};

enum class ReleasePolicy : std::uint8_t {
  Paced,     ///< Evenly spaced, at the server's rate divided by the number of senders.
  Jittered,  ///< Baseline: each request waits a random part of the same time.
  Immediate, ///< Baseline: everything at once.
};

enum class ReadPolicy : std::uint8_t {
  SessionToken,  ///< A replica that covers the session token may serve the read.
  StickyPrimary, ///< Baseline: sessions that have written stay on the primary.
};

struct RequestOptions {
  QueuePolicy Queue = QueuePolicy::FairLanes;
  ReleasePolicy Release = ReleasePolicy::Paced;
  ReadPolicy Reads = ReadPolicy::SessionToken;
};

} // namespace rosemaryhinge
