// What must be covered before the irrevocable command that promotes a server.
//
// Before a promotion, each server that may have acknowledged commits since the last finished change has been
// compared and receives nothing more, or the primary whose commits it acknowledged has stopped. A server that
// ended together with its log cannot be compared. The position that is required stands for it: the newest one
// that holders of the claim knew as acknowledged, or compared before they promoted (docs/design/
// promotion-coverage.md).

#pragma once

#include "leadership/internal/serverstates.h"

#include <string_view>

namespace rosemaryhinge::detail {

struct PromotionEvidence {
  const ServerStates &Servers;
  /// Position that a server must hold to be promoted, from the claim and from what this proxy knows.
  Position Required;
  /// A log that is not compared may come back: of a server that crashed, or does not answer.
  bool LogsAbsent = false;
  /// No proxy reports commits of the former primary any more, and Required covers all that were reported.
  bool Fenced = false;
};

enum class Coverage : std::uint8_t {
  Complete,   ///< The candidate holds every acknowledged commit.
  Uncompared, ///< A server that may acknowledge, or hold, further commits has not been compared or stopped.
  AwaitsLog,  ///< The candidate lacks what is required, and a log that is not compared may hold it.
  NoLogKnown, ///< The candidate lacks what is required, and no log that may hold it is known.
};

/// Value in log lines.
[[nodiscard]] std::string_view describe(Coverage coverage);
/// Whether a server may be promoted.
[[nodiscard]] Coverage coverage(const PromotionEvidence &evidence, const TargetId &candidate);
/// The former primary instead of the candidate, if it has stepped down and the candidate lacks what is
/// required and it does not, or the candidate is about to leave and it stays.
[[nodiscard]] TargetId unlessFormerHoldsMore(const ServerStates &servers, const TargetId &candidate,
                                             Position required);

} // namespace rosemaryhinge::detail
