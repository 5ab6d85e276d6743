// What may truthfully be said of a request whose answer was lost.

#pragma once

#include "protocol/rules.h"
#include "protocol/target.h"

#include <cstdint>

namespace rosemaryhinge {

/// What the marker table proves about one attempt.
enum class Outcome : std::uint8_t {
  TookEffect,               ///< This attempt took effect.
  EarlierAttemptTookEffect, ///< An earlier attempt with the same key took effect.
  DidNotRun,                ///< This attempt is aborted: it has no effect, then or later.
};

[[nodiscard]] Outcome outcomeOf(const MarkerRecord &record, std::uint64_t attempt);

/// What is true without a look at the marker table. Sent: a target or another proxy may have got the request.
[[nodiscard]] Ran ranWithoutMarker(bool mayHaveRun, bool hasEffects);

/// Whether not_run may be said of a request that was sent, without its aborted marker.
[[nodiscard]] bool mayAssumeNotRun(const Rules &rules);

/// Attempt with which a request may run again after the record: above each aborted one.
[[nodiscard]] std::uint64_t nextAttempt(const MarkerRecord &record, std::uint64_t attempt);

} // namespace rosemaryhinge
