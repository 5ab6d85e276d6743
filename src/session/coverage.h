// Compares log positions with session tokens, including across changes of primary.

#pragma once

#include "base/position.h"

#include <optional>
#include <span>

namespace rosemaryhinge {

/// True if every later completed term started at or after the position, so that the write at this position is
/// still part of the group's log.
[[nodiscard]] bool isRetained(Position position, std::span<const TermStart> history);

/// Converts the token to a position in the latest completed term. Returns none if the write was lost in a
/// change of primary.
[[nodiscard]] std::optional<Position> toLatestTerm(Position token, std::span<const TermStart> history);

/// True if a log that ends at the position contains everything up to the token. Also false if the term
/// history is too short to prove it.
[[nodiscard]] bool covers(Position position, Position token, std::span<const TermStart> history);

} // namespace rosemaryhinge
