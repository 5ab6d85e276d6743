// Terms and log positions of a database group.

#pragma once

#include <compare>
#include <cstdint>

namespace rosemaryhinge {

/// Number of a primary's time in office. Terms grow with each change of primary.
using Term = std::uint64_t;
/// Place in the log, in bytes, within one line of terms.
using Lsn = std::uint64_t;

/// A place in the log of a group. Ordered by term first, which is the order in which a promotion compares
/// logs.
struct Position {
  rosemaryhinge::Term Term = 0;
  rosemaryhinge::Lsn Lsn = 0;

  auto operator<=>(const Position &) const = default;
};

/// Where a term began: the log up to Start is shared with the term before it.
struct TermStart {
  rosemaryhinge::Term Term = 0;
  Lsn Start = 0;

  auto operator<=>(const TermStart &) const = default;
};

} // namespace rosemaryhinge
