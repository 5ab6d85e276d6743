// The rule: may this read go to a replica?

#pragma once

#include "groups/grouptable.h"
#include "protocol/rules.h"
#include "request/requestoptions.h"

#include <cstdint>
#include <optional>

namespace rosemaryhinge {

/// What a read asks of the server that runs it.
struct ReadRequirement {
  std::optional<Position> Token;  ///< What the session wrote.
  std::optional<Duration> MaxAge; ///< Age of the data that the caller accepts, besides the token.
  Duration MaxWait{};             ///< How long the read may wait for a replica; 0: not at all.
  /// When the data was read from the primary itself, if it was.
  std::optional<TimePoint> ReadFromPrimaryAt = std::nullopt;
};

enum class ReplicaVerdict : std::uint8_t {
  Yes,
  Soon, ///< Expected to hold the token within the read's wait.
  No,
  Unknown, ///< This proxy has no recent sample of the replica; a holder of its slots has.
};

/// True if data at this position satisfies the read, by the proofs known at the time asked.
[[nodiscard]] bool satisfies(const GroupTable &groups, const GroupView &view, Position at,
                             const ReadRequirement &requirement, TimePoint sentAt, const Rules &rules);

/// The rule itself. Lag is the estimated delay of this replica behind the primary, if there is one.
[[nodiscard]] ReplicaVerdict mayReadFromReplica(const GroupTable &groups, const GroupView &view,
                                                const TargetView &replica, const ReadRequirement &requirement,
                                                std::optional<Duration> lag, TimePoint now,
                                                const Rules &rules, ReadPolicy policy);

} // namespace rosemaryhinge
