// Determines whether a request whose answer was lost has run.

#pragma once

#include "protocol/rules.h"
#include "protocol/target.h"

#include <cstdint>

namespace rosemaryhinge {

/// What the marker table proves about one attempt.
enum class Outcome : std::uint8_t {
  TookEffect,               ///< This attempt took effect.
  EarlierAttemptTookEffect, ///< An earlier attempt with the same key took effect.
  DidNotRun,                ///< This attempt is aborted and can never take effect.
};

[[nodiscard]] Outcome outcomeOf(const MarkerRecord &record, std::uint64_t attempt);

/// Whether the request ran, as far as is known without the marker table. mayHaveRun: a target or another
/// proxy may have received the request.
[[nodiscard]] Ran ranWithoutMarker(bool mayHaveRun, bool hasEffects);

/// True if a request that was sent may be reported as not_run although no aborted marker proves it. Only true
/// when the rule TrueNotRun is disabled.
[[nodiscard]] bool mayAssumeNotRun(const Rules &rules);

/// Attempt number for running the request again, higher than every aborted attempt.
[[nodiscard]] std::uint64_t nextAttempt(const MarkerRecord &record, std::uint64_t attempt);

} // namespace rosemaryhinge
