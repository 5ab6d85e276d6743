// When each server last confirmed its raised term to this proxy.

#pragma once

#include "base/time.h"
#include "groups/group.h"

#include <map>
#include <optional>

namespace rosemaryhinge {

/// Holds only what servers told this proxy directly: the age of a peer's report is not bounded by any clock
/// here, so it never opens the window.
class TermConfirmations {
public:
  /// A server answered with this raised term to a request that was sent at sentAt.
  void record(const TargetId &target, Term raised, TimePoint sentAt);
  /// Latest time such that a majority of the group's servers confirmed the term to requests sent no earlier.
  [[nodiscard]] std::optional<TimePoint> majorityConfirmedAt(const Group &group, Term term) const;
  /// Highest raised term that a server of the group has reported.
  [[nodiscard]] Term highestTerm(const Group &group) const;

private:
  struct Confirmation {
    rosemaryhinge::Term Term = 0;
    TimePoint SentAt;
  };
  std::map<TargetId, Confirmation> Latest;
};

} // namespace rosemaryhinge
