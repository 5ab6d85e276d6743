// Terms and log positions of a database group.

#pragma once

#include <compare>
#include <cstdint>

namespace rosemaryhinge {

/// Election term of a primary. Increases with each change of primary.
using Term = std::uint64_t;
/// Log sequence number: byte offset in the log. Comparable only along one succession of terms.
using Lsn = std::uint64_t;

/// Position in the log of a database group. Ordered by term first, as promotion compares logs.
struct Position {
  rosemaryhinge::Term Term = 0;
  rosemaryhinge::Lsn Lsn = 0;

  auto operator<=>(const Position &) const = default;
};

/// Start of a term: the log up to Start is common to this term and the previous one.
struct TermStart {
  rosemaryhinge::Term Term = 0;
  Lsn Start = 0;

  auto operator<=>(const TermStart &) const = default;
};

} // namespace rosemaryhinge
