// Reasons for a change of primary.

#include "leadership/internal/reason.h"

#include <algorithm>

namespace rosemaryhinge::detail {

namespace {

/// A process that is down refuses connections; a short restart of the network does so, too.
constexpr Duration RefusedThreshold = 150ms;
/// Silence that no work explains: statements take at most some hundred ms, also behind others.
constexpr Duration SilenceThreshold = 650ms;
/// Writes wait for a replica; without an answer for this long the primary has lost its replicas.
constexpr Duration UnansweredWritesThreshold = 1200ms;
/// A server that was promoted may need this long before it says so.
constexpr Duration NoPrimaryThreshold = 2500ms;

std::string formatMilliseconds(Duration it) {
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(it).count()) + " ms";
}

} // namespace

std::string_view toString(ReasonKind kind) {
  switch (kind) {
  case ReasonKind::NoPrimary:
    return "no_primary";
  case ReasonKind::Refused:
    return "refused";
  case ReasonKind::Silent:
    return "silent";
  case ReasonKind::WritesUnanswered:
    return "writes_unanswered";
  case ReasonKind::Leaving:
    return "leaving";
  case ReasonKind::OrderOutstanding:
    return "order_outstanding";
  case ReasonKind::FenceLeft:
    return "fence_left";
  case ReasonKind::ReplicasPaused:
    break;
  }
  return "replicas_paused";
}

std::optional<ChangeReason> reasonToChange(const DatabaseId &service, const Catalog &catalog,
                                           const LinkPool &links, const SessionsModule &sessions,
                                           TimePoint since, TimePoint now) {
  const auto primary = catalog.primary(service);
  if (!primary) {
    if (now - since >= NoPrimaryThreshold)
      return ChangeReason{ReasonKind::NoPrimary, "no primary for " + formatMilliseconds(now - since), {}};
    return std::nullopt;
  }
  const auto *view = catalog.server(*primary);
  const auto &health = links.health(*primary);
  if (const auto from = health.refusedSince(now); from && now - std::max(*from, since) >= RefusedThreshold)
    return ChangeReason{ReasonKind::Refused,
                        "the primary refuses connections for " + formatMilliseconds(now - *from), *primary};
  if (const auto silence = std::min(health.silence(now), now - since); silence >= SilenceThreshold)
    return ChangeReason{ReasonKind::Silent, "the primary is silent for " + formatMilliseconds(silence),
                        *primary};
  if (const auto from = sessions.writesUnansweredSince(service);
      from && now - std::max(*from, since) >= UnansweredWritesThreshold)
    return ChangeReason{ReasonKind::WritesUnanswered,
                        "no write is answered for " + formatMilliseconds(now - *from), *primary};
  if (view && view->LeavingSince)
    return ChangeReason{ReasonKind::Leaving, "the primary is leaving", *primary};
  return std::nullopt;
}

} // namespace rosemaryhinge::detail
