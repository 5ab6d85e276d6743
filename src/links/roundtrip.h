// Estimated network time between this proxy and a server.

#pragma once

#include "base/time.h"
#include "protocol/nodeconfig.h"

namespace rosemaryhinge::detail {

/// Estimated network round-trip time to a server in this availability zone.
[[nodiscard]] Duration roundTrip(const NodeConfig &self, const AvailabilityZone &zone);

} // namespace rosemaryhinge::detail
