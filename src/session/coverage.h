// Whether a position in the log satisfies a session token, also across changes of primary.

#pragma once

#include "base/position.h"

#include <optional>
#include <span>

namespace rosemaryhinge {

/// True if no completed later term began below the position: what it names is still in the group's log.
[[nodiscard]] bool isRetained(Position position, std::span<const TermStart> history);

/// The token as a position of the latest completed term. None if the write was lost at a change of primary.
[[nodiscard]] std::optional<Position> toLatestTerm(Position token, std::span<const TermStart> history);

/// True if a log that ends at position holds everything up to the token. False when the history cannot prove
/// it.
[[nodiscard]] bool covers(Position position, Position token, std::span<const TermStart> history);

} // namespace rosemaryhinge
