// Paced, jittered and plain release.

#include "admission/releasepacer.h"

#include <algorithm>

namespace rosemaryhinge {

namespace {
/// Longest release. What would start later goes to the queue at once and waits there under its own limits.
constexpr Duration MaxReleaseDuration = 2s;
} // namespace

void ReleasePacer::startRelease(TimePoint now, Duration interval, std::size_t waiting) {
  Interval = interval;
  NextAt = now;
  EndsAt = now + std::min<Duration>(MaxReleaseDuration, interval * static_cast<Duration::rep>(waiting));
}

TimePoint ReleasePacer::nextSendTime(TimePoint now, ReleasePolicy policy, std::mt19937_64 &random) {
  if (now >= EndsAt || policy == ReleasePolicy::Immediate)
    return now;
  if (policy == ReleasePolicy::Jittered) {
    const auto span = static_cast<std::uint64_t>((EndsAt - now).count());
    return now + Duration(static_cast<Duration::rep>(random() % span));
  }
  if (NextAt >= EndsAt)
    return now;
  const auto out = std::max(now, NextAt);
  NextAt = out + Interval;
  return out;
}

Duration releaseInterval(Duration serviceTime, std::uint32_t connections, std::size_t senders) {
  const auto n = static_cast<Duration::rep>(std::max<std::size_t>(1, senders));
  return serviceTime * n / std::max<Duration::rep>(1, connections);
}

} // namespace rosemaryhinge
