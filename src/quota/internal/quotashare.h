// Division of a workspace's limit among availability zones.

#pragma once

#include "protocol/nodeconfig.h"
#include "protocol/workspace.h"

#include <vector>

namespace rosemaryhinge::detail {

/// Limits of the token bucket that an availability zone keeps for a workspace.
struct QuotaShare {
  double Rate = 0;     ///< Tokens a second.
  double Capacity = 0; ///< Tokens.
};

/// The availability zones of the settings, this proxy's own included.
[[nodiscard]] std::vector<AvailabilityZone> quotaZones(const NodeConfig &self);
/// The share of a zone. Over any window of the limit, the buckets of all zones together grant the limit with
/// half of its tolerances at most. A workspace whose capacity is too small to be divided has its whole share
/// in fewer zones.
[[nodiscard]] QuotaShare quotaShare(const NodeConfig &self, const Workspace &workspace,
                                    const AvailabilityZone &zone);

} // namespace rosemaryhinge::detail
