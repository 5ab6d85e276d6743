// When a write may be acknowledged: covered by replicas of its term, and within the window.

#pragma once

#include "acknowledge/termconfirmations.h"
#include "protocol/policy.h"
#include "protocol/rules.h"
#include "protocol/target.h"

#include <cstdint>
#include <set>

namespace rosemaryhinge {

/// A commit (or a marker that was read) that waits until it is safe to tell the caller.
struct UnconfirmedWrite {
  Position At;
  TargetId Executor; ///< The primary that answered; it does not cover its own write.
  AckStrength Strength = AckStrength::Replica;
  /// Replicas that have held the position within its term. They stay: a log of a term only grows.
  std::set<TargetId> CoveredBy;
};

enum class AckVerdict : std::uint8_t {
  Acknowledge,
  AwaitCoverage, ///< Too few replicas hold the position.
  AwaitWindow,   ///< Covered, but the term must be confirmed again.
  Superseded,    ///< A later term exists: the outcome is decided there.
};

/// Replicas that must hold a write besides the primary, so that every majority holds it: 1 of 3 servers, 2 of
/// 5.
[[nodiscard]] std::size_t requiredReplicas(const Group &group);

/// Takes a server's status into account.
void recordStatus(UnconfirmedWrite &write, const TargetId &target, const TargetStatus &status);

[[nodiscard]] AckVerdict mayAcknowledge(const UnconfirmedWrite &write, const Group &group,
                                        const TermConfirmations &confirmations, Duration window,
                                        TimePoint now, const Rules &rules);

} // namespace rosemaryhinge
