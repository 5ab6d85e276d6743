// Fence against reports of a former primary's commits.

#include "freshness/commitfence.h"

#include <algorithm>

namespace rosemaryhinge {

bool CommitFence::raise(const Bounds &bounds, TimePoint now) {
  if (bounds.Token < Known.Token || bounds.Token <= EndedToken)
    return false;
  Known = {bounds.Token, bounds.Successor, std::max(Known.UpTo, bounds.UpTo)};
  Raised = true;
  RenewedAt = now;
  return true;
}

void CommitFence::end(std::uint64_t token, const TargetId &promoted) {
  if (token < Known.Token)
    return;
  EndedToken = std::max(EndedToken, token);
  Raised = false;
  if (promoted.empty())
    return;
  Promoted = promoted;
  PromotedUpTo = Known.UpTo;
}

bool CommitFence::withholds(const TargetId &server, std::optional<Position> at, TimePoint now) const {
  if (raised(now) && (server != Known.Successor || !at || at->Term <= Known.UpTo))
    return true;
  // An acknowledgement of a former primary may still be on its way, or it may not know of the promotion.
  return !Promoted.empty() && server != Promoted && (!at || at->Term <= PromotedUpTo);
}

} // namespace rosemaryhinge
