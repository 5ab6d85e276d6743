// Which server is the cheapest for a read.

#pragma once

#include "catalog/catalog.h"
#include "links/linkpool.h"
#include "protocol/nodeconfig.h"

namespace rosemaryhinge::detail {

/// Network time to a server and back, by where it stands.
[[nodiscard]] Duration roundTrip(const NodeConfig &self, const AvailabilityZone &zone);
/// Expected time of a read at a server: network, work in progress there, and what speaks against it.
[[nodiscard]] Duration readCost(const NodeConfig &self, const ServerView &server, const LinkPool &links,
                                bool primary, TimePoint now);

/// A leaving server gets new work only this long after the notice, and only where no other can serve.
inline constexpr Duration LeavingUse = 4s;

} // namespace rosemaryhinge::detail
