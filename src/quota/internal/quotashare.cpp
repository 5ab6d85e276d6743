#include "quota/internal/quotashare.h"

#include "membership/rendezvous.h"

#include <algorithm>
#include <cmath>

namespace rosemaryhinge::detail {

namespace {

/// Part of the tolerances that is granted. The rest covers operations that reach a server twice, as reads do
/// that are sent again.
constexpr double GrantedTolerance = 0.5;
/// Part of the burst that a bucket holds. The rest is added to its rate, over the window of the limit: the
/// limit counts operations in any window, and a bucket that held all of the burst would refuse, in the middle
/// of a window, what still fits into it.
constexpr double BurstInBucket = 0.5;
/// Least capacity of a zone's bucket: below one token it would never grant anything.
constexpr double MinCapacity = 1;

/// Whether a zone is among the `count` zones that hold the workspace's limit. The order of the zones differs
/// by workspace.
bool hasShare(const NodeConfig &self, const Workspace &workspace, const AvailabilityZone &zone,
              std::size_t count) {
  std::vector<std::pair<std::uint64_t, AvailabilityZone>> order;
  for (const auto &it : quotaZones(self))
    order.emplace_back(rendezvousWeight(workspace.Name.str(), NodeId(it.str())), it);
  std::sort(order.rbegin(), order.rend());
  const auto last = order.begin() + static_cast<std::ptrdiff_t>(std::min(count, order.size()));
  return std::any_of(order.begin(), last, [&](const auto &it) { return it.second == zone; });
}

} // namespace

std::vector<AvailabilityZone> quotaZones(const NodeConfig &self) {
  std::vector<AvailabilityZone> out;
  for (const auto &[zone, region] : self.RegionByZone)
    out.push_back(zone);
  if (!self.RegionByZone.contains(self.AvailabilityZone))
    out.push_back(self.AvailabilityZone);
  return out;
}

QuotaShare quotaShare(const NodeConfig &self, const Workspace &workspace, const AvailabilityZone &zone) {
  const auto bounds = self.Quota.value_or(QuotaBounds{});
  const double window = std::chrono::duration<double>(bounds.Window).count();
  const double slack = bounds.Slack * GrantedTolerance;
  const double limit =
      (workspace.RatePerSecond * window + workspace.Burst) * (1 + bounds.Overshoot * GrantedTolerance) +
      slack;
  const double capacity = std::max(workspace.Burst * BurstInBucket + slack, std::min(limit, MinCapacity));
  const auto zones = quotaZones(self).size();
  const auto divisible = static_cast<std::size_t>(std::floor(capacity / MinCapacity));
  const auto parts = std::clamp<std::size_t>(divisible, 1, zones);
  if (parts < zones && !hasShare(self, workspace, zone, parts))
    return {};
  return {(limit - capacity) / window / static_cast<double>(parts), capacity / static_cast<double>(parts)};
}

} // namespace rosemaryhinge::detail
