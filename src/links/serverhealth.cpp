// Health of a server as observed on this proxy's connections.

#include "links/serverhealth.h"

#include <algorithm>
#include <cmath>

namespace rosemaryhinge {

namespace {

/// Each measurement has the weight 1 / Smoothing in the exponential moving average of the duration.
constexpr int Smoothing = 8;

} // namespace

void ServerHealth::sent(TimePoint now) {
  if (!UnansweredSince)
    UnansweredSince = now;
}

void ServerHealth::received(TimePoint now, bool outstanding) {
  FailingSince.reset();
  RefusedSince.reset();
  LastReplyAt = now;
  if (outstanding)
    UnansweredSince = now;
  else
    UnansweredSince.reset();
}

void ServerHealth::failed(LinkFailure why, TimePoint now, bool outstanding) {
  if (why == LinkFailure::TooMany || why == LinkFailure::Misrouted) {
    received(now, outstanding);
    return;
  }
  if (!failedRecently(now)) {
    FailingSince = UnansweredSince.value_or(now);
    RefusedSince.reset();
  }
  FailedAt = now;
  if (why != LinkFailure::Refused)
    RefusedSince.reset();
  else if (!RefusedSince)
    RefusedSince = now;
  if (!outstanding)
    UnansweredSince.reset();
}

void ServerHealth::abandoned(TimePoint now) {
  if (silence(now) >= SuspectAfter) {
    if (!failedRecently(now))
      FailingSince = UnansweredSince;
    FailedAt = now;
  }
  UnansweredSince.reset();
}

void ServerHealth::recordDuration(Duration value, TimePoint now) {
  SmoothedDuration += (value - SmoothedDuration) / Smoothing;
  MeasuredAt = now;
}

Duration ServerHealth::smoothedDuration(TimePoint now) const {
  const auto unmeasured = std::max(Duration{}, now - MeasuredAt - DurationValidity);
  const auto halfLives = std::chrono::duration<double>(unmeasured) / DurationHalfLife;
  const auto excess = static_cast<double>((SmoothedDuration - InitialDuration).count());
  return InitialDuration + Duration(std::llround(excess * std::exp2(-halfLives)));
}

Duration ServerHealth::silence(TimePoint now) const {
  if (failedRecently(now))
    return now - *FailingSince;
  return UnansweredSince ? now - *UnansweredSince : Duration{};
}

std::optional<TimePoint> ServerHealth::refusedSince(TimePoint now) const {
  return failedRecently(now) ? RefusedSince : std::nullopt;
}

bool ServerHealth::suspect(TimePoint now) const {
  const bool told = ReportedSilentAt && now - *ReportedSilentAt < SilenceReportValidity;
  return told || refusedSince(now) || silence(now) >= SuspectAfter;
}

} // namespace rosemaryhinge
