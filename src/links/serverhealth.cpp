// Health of a server as seen on this proxy's connections.

#include "links/serverhealth.h"

namespace rosemaryhinge {

namespace {

/// Weight of one measurement in the smoothed duration is 1 / Smoothing.
constexpr int Smoothing = 8;

} // namespace

void ServerHealth::sent(TimePoint now) {
  if (!DueSince)
    DueSince = now;
}

void ServerHealth::received(TimePoint now, bool outstanding) {
  FailingSince.reset();
  RefusedSince.reset();
  if (outstanding)
    DueSince = now;
  else
    DueSince.reset();
}

void ServerHealth::failed(LinkFailure why, TimePoint now, bool outstanding) {
  if (why == LinkFailure::TooMany || why == LinkFailure::Misrouted) {
    received(now, outstanding);
    return;
  }
  if (!FailingSince)
    FailingSince = DueSince.value_or(now);
  if (why != LinkFailure::Refused)
    RefusedSince.reset();
  else if (!RefusedSince)
    RefusedSince = now;
  if (!outstanding)
    DueSince.reset();
}

void ServerHealth::abandoned(TimePoint now) {
  if (silence(now) >= SuspectAfter && !FailingSince)
    FailingSince = DueSince;
  DueSince.reset();
}

void ServerHealth::took(Duration value) { Typical += (value - Typical) / Smoothing; }

Duration ServerHealth::silence(TimePoint now) const {
  if (FailingSince)
    return now - *FailingSince;
  return DueSince ? now - *DueSince : Duration{};
}

bool ServerHealth::suspect(TimePoint now) const { return RefusedSince || silence(now) >= SuspectAfter; }

} // namespace rosemaryhinge
