// Lease of a service's primary.

#include "freshness/primarylease.h"

#include <algorithm>

namespace rosemaryhinge {

void PrimaryLease::onTerm(Term term) {
  if (term <= Newest)
    return;
  Newest = term;
  ConfirmedAt.reset();
}

void PrimaryLease::confirm(Term term, TimePoint at) {
  if (term < Newest)
    return;
  onTerm(term);
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
