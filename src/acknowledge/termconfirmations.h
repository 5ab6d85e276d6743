// Tracks when each server last reported its raised term to this proxy.

#pragma once

#include "base/time.h"
#include "groups/group.h"

#include <map>
#include <optional>

namespace rosemaryhinge {

/// Records only direct answers from servers. Reports relayed by peers are excluded because no local clock
/// bounds their age, so they cannot satisfy the acknowledgement window.
class TermConfirmations {
public:
  /// Records that the server reported this raised term in its answer to a request sent at sentAt.
  void record(const TargetId &target, Term raised, TimePoint sentAt);
  /// Latest time T such that a majority of the group's servers confirmed the term in answers to requests sent
  /// at or after T.
  [[nodiscard]] std::optional<TimePoint> majorityConfirmedAt(const Group &group, Term term) const;
  /// Highest raised term that any server of the group has reported.
  [[nodiscard]] Term highestTerm(const Group &group) const;

private:
  struct Confirmation {
    rosemaryhinge::Term Term = 0;
    TimePoint SentAt;
  };
  std::map<TargetId, Confirmation> Latest;
};

} // namespace rosemaryhinge
