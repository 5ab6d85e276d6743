// Cost estimate for choosing the server of a read.

#pragma once

#include "catalog/catalog.h"
#include "links/linkpool.h"
#include "links/roundtrip.h"
#include "protocol/nodeconfig.h"

namespace rosemaryhinge::detail {

/// Expected duration of a read at a server: network time, load and penalties.
[[nodiscard]] Duration readCost(const NodeConfig &self, const ServerView &server, const LinkPool &links,
                                const WorkspaceId &workspace, bool primary, TimePoint now);

/// A leaving server gets new work only this long after the proxy learned that it is leaving, and only if no
/// other server can serve.
inline constexpr Duration LeavingServerGrace = 4s;

} // namespace rosemaryhinge::detail
