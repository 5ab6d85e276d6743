// Estimated network time between this proxy and a server.

#include "links/roundtrip.h"

namespace rosemaryhinge::detail {

namespace {

constexpr Duration SameZone = 500us;
constexpr Duration SameRegion = 3ms;
constexpr Duration OtherRegion = 25ms;

} // namespace

Duration roundTrip(const NodeConfig &self, const AvailabilityZone &zone) {
  if (zone == self.AvailabilityZone)
    return SameZone;
  const auto it = self.RegionByZone.find(zone);
  return it != self.RegionByZone.end() && it->second == self.Region ? SameRegion : OtherRegion;
}

} // namespace rosemaryhinge::detail
