// Decides whether a read may run on a replica.

#pragma once

#include "groups/grouptable.h"
#include "protocol/rules.h"
#include "request/requestoptions.h"

#include <cstdint>
#include <optional>

namespace rosemaryhinge {

/// Freshness that a read requires of the server that runs it.
struct ReadRequirement {
  std::optional<Position> Token;  ///< Latest position that the session wrote.
  std::optional<Duration> MaxAge; ///< Maximum age of the data, in addition to the token.
  Duration MaxWait{};             ///< Maximum wait for a replica to catch up; 0: no wait.
  /// When the read was sent to the primary, if the data comes from there.
  std::optional<TimePoint> ReadFromPrimaryAt = std::nullopt;
};

enum class ReplicaVerdict : std::uint8_t {
  Yes,
  Soon, ///< Expected to reach the token within the read's maximum wait.
  No,
  Unknown, ///< This proxy has no recent sample of the replica, but a holder of its slots has.
};

/// True if data at this position provably satisfies the read. Its age is measured at sentAt.
[[nodiscard]] bool satisfies(const GroupTable &groups, const GroupView &view, Position at,
                             const ReadRequirement &requirement, TimePoint sentAt, const Rules &rules);

/// Whether the read may run on this replica. lag: estimated replication lag of the replica, if known.
[[nodiscard]] ReplicaVerdict mayReadFromReplica(const GroupTable &groups, const GroupView &view,
                                                const TargetView &replica, const ReadRequirement &requirement,
                                                std::optional<Duration> lag, TimePoint now,
                                                const Rules &rules, ReadPolicy policy);

} // namespace rosemaryhinge
