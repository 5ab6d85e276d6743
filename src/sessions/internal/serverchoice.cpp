#include "sessions/internal/serverchoice.h"

namespace rosemaryhinge::detail {

namespace {

constexpr Duration SameZone = 500us;
constexpr Duration SameRegion = 3ms;
constexpr Duration OtherRegion = 25ms;
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

Duration roundTrip(const NodeConfig &self, const AvailabilityZone &zone) {
  if (zone == self.AvailabilityZone)
    return SameZone;
  const auto it = self.RegionByZone.find(zone);
  return it != self.RegionByZone.end() && it->second == self.Region ? SameRegion : OtherRegion;
}

Duration readCost(const NodeConfig &self, const ServerView &server, const LinkPool &links,
                  const WorkspaceId &workspace, bool primary, TimePoint now) {
  const auto &target = server.Entry.Target;
  const auto &health = links.health(target);
  const auto rtt = roundTrip(self, server.Entry.AvailabilityZone);
  auto out = rtt + health.smoothedDuration(now) * static_cast<int>(links.busy(target) + ServerConcurrency) /
                       ServerConcurrency;
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
