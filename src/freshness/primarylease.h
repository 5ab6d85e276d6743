// Lease of a service's primary, as one proxy knows it: until when the server that leads a term is certain to
// be the only one that acknowledges commits.
//
// Where a promotion does not demote the former primary at once, that server goes on answering as the primary
// after another one leads. Its own answers prove nothing then. A confirmation is evidence from a server whose
// consent a promotion needs: a replica of the term that is not paused, or a commit that a replica has
// acknowledged. A proxy that changes the primary first pauses all replicas, which ends confirmations, and
// then waits for Length, unless the former primary has stepped down.

#pragma once

#include "base/position.h"
#include "base/time.h"

#include <optional>

namespace rosemaryhinge {

class PrimaryLease {
public:
  /// Records that the primary of a term led at a time. Terms below the newest are ignored.
  void confirm(Term term, TimePoint at);
  /// Records that a term has begun, whoever leads it: leases of earlier terms end.
  void onTerm(Term term);
  /// Until when the primary of this term is certain to lead; nullopt if that is not known.
  [[nodiscard]] std::optional<TimePoint> provenUntil(Term term) const;
  /// Whether the primary of this term certainly led at a time.
  [[nodiscard]] bool covers(Term term, TimePoint at) const;
  /// Whether a primary of a later term is known.
  [[nodiscard]] bool superseded(Term term) const { return term < Newest; }
  /// Time of the newest confirmation.
  [[nodiscard]] std::optional<TimePoint> confirmedAt() const { return ConfirmedAt; }

  static constexpr Duration Length = 600ms;

private:
  Term Newest = 0;
  std::optional<TimePoint> ConfirmedAt;
};

} // namespace rosemaryhinge
