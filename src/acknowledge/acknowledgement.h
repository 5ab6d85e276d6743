// Decides when a write may be acknowledged: enough replicas hold it in its own term, and a majority of
// servers confirmed that term within the acknowledgement window.

#pragma once

#include "acknowledge/termconfirmations.h"
#include "protocol/policy.h"
#include "protocol/rules.h"
#include "protocol/target.h"

#include <cstdint>
#include <set>

namespace rosemaryhinge {

/// A commit, or a marker record that was read, whose result must not be reported to the caller yet.
struct UnconfirmedWrite {
  Position At;
  TargetId Executor; ///< The primary that answered. It does not count as a covering replica.
  AckStrength Strength = AckStrength::Replica;
  /// Replicas that have reported the position in its term. Entries are never removed, since the log of a term
  /// only grows.
  std::set<TargetId> CoveredBy;
};

enum class AckVerdict : std::uint8_t {
  Acknowledge,
  AwaitCoverage, ///< Not enough replicas hold the position.
  AwaitWindow,   ///< Covered, but the last confirmation of the term is too old.
  Superseded,    ///< A later term exists, whose primary decides the outcome.
};

/// Number of replicas that must hold a write besides the primary, so that every majority of servers includes
/// one that holds it: 1 for 3 servers, 2 for 5.
[[nodiscard]] std::size_t requiredReplicas(const Group &group);

/// Adds the server to CoveredBy if its status shows that it holds the write in the term of the write.
void recordStatus(UnconfirmedWrite &write, const TargetId &target, const TargetStatus &status);

[[nodiscard]] AckVerdict mayAcknowledge(const UnconfirmedWrite &write, const Group &group,
                                        const TermConfirmations &confirmations, Duration window,
                                        TimePoint now, const Rules &rules);

} // namespace rosemaryhinge
