#include "sessions/internal/serverchoice.h"

#include <algorithm>

namespace rosemaryhinge::detail {

namespace {

/// Number of statements that a server runs concurrently.
constexpr int ServerConcurrency = 3;
/// Keeps reads off the primary, which also serves all writes.
constexpr Duration PrimaryPenalty = 5ms;
/// Time to open a link, in addition to one round trip.
constexpr Duration OpeningCost = 15ms;
/// Exceeds any real cost, so a suspect server is used only if no other is left.
constexpr Duration SuspectPenalty = 10s;
constexpr Duration FullPenalty = 100ms;

} // namespace

Duration readCost(const NodeConfig &self, const ServerView &server, const LinkPool &links,
                  const WorkspaceId &workspace, bool primary, TimePoint now) {
  const auto &target = server.Entry.Target;
  const auto &health = links.health(target);
  const auto rtt = roundTrip(self, server.Entry.AvailabilityZone);
  // A server in its start phase is given fewer statements than it could run.
  const int concurrency = std::min(ServerConcurrency, links.maxConcurrency(target));
  auto out =
      rtt + health.smoothedDuration(now) * (static_cast<int>(links.busy(target)) + concurrency) / concurrency;
  if (primary)
    out += PrimaryPenalty;
  if (links.idle(target, workspace) == 0)
    out += links.full(target, now) ? FullPenalty : OpeningCost + rtt;
  if (links.atConcurrencyLimit(target))
    out += FullPenalty;
  if (health.suspect(now))
    out += SuspectPenalty;
  return out;
}

} // namespace rosemaryhinge::detail
