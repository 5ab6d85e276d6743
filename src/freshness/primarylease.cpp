// Lease of a service's primary.

#include "freshness/primarylease.h"

#include <algorithm>

namespace rosemaryhinge {

void PrimaryLease::confirm(Term term, TimePoint at) {
  if (term < Newest)
    return;
  if (term > Newest) {
    Newest = term;
    ConfirmedAt.reset();
  }
  ConfirmedAt = std::max(ConfirmedAt.value_or(at), at);
}

std::optional<TimePoint> PrimaryLease::provenUntil(Term term) const {
  if (term != Newest || !ConfirmedAt)
    return std::nullopt;
  return *ConfirmedAt + Length;
}

bool PrimaryLease::covers(Term term, TimePoint at) const {
  const auto until = provenUntil(term);
  return until && at <= *until;
}

} // namespace rosemaryhinge
