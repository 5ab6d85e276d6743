// Ownership of the claim object of one service.

#include "leadership/internal/claimstate.h"

#include <algorithm>

namespace rosemaryhinge::detail {

void ClaimState::observe(const Claim &claim, TimePoint now) {
  if (claim.Revision != Known.Revision)
    KnownSince = now;
  Known = claim;
}

bool ClaimState::claimable(const NodeId &self, TimePoint now) const {
  return Known.Revision == 0 || Known.Done || Known.Holder == self || now >= takeoverAt();
}

Claim ClaimState::next(const DatabaseId &service, const NodeId &self, const TargetId &from, TimePoint now,
                       Position required) {
  WrittenAt = now;
  Claim out;
  out.Service = service;
  out.Holder = self;
  out.From = from;
  out.Nonce = Nonce;
  out.Renewals = ++Renewals;
  out.Revision = Known.Revision;
  out.Required = std::max(Known.Required, required);
  return out;
}

void ClaimState::onStored(const Claim &stored, TimePoint now) {
  observe(stored, now);
  ConfirmedAt = WrittenAt;
}

bool ClaimState::isOwn(const Claim &claim, const NodeId &self) const {
  return !Nonce.empty() && claim.Holder == self && claim.Nonce == Nonce && !claim.Done;
}

void ClaimState::reset() {
  Nonce.clear();
  ConfirmedAt.reset();
}

void ClaimState::forget(TimePoint now) {
  reset();
  observe({}, now);
}

} // namespace rosemaryhinge::detail
