// Failure detection: decides when a promotion may be ordered.

#pragma once

#include "failover/failovermodule.h"
#include "failover/internal/failoverstate.h"

#include <optional>
#include <string>

namespace rosemaryhinge::detail {

/// How long the server has not answered status queries of this proxy. Zero if it answered the last one.
[[nodiscard]] Duration unresponsiveTime(const DatabaseState &db, const TargetId &target, TimePoint now);

/// Number of servers, without Except, that have been in contact more recently than Within.
[[nodiscard]] std::size_t countReachable(const GroupView &view, const TargetId &except, Duration within,
                                         TimePoint now);

/// Returns why a new term may be ordered now, or nothing if it may not. Reasons: the primary answers neither
/// this proxy nor a majority of the servers or slot holders, it is leaving, or an ordered term was never
/// completed.
[[nodiscard]] std::optional<std::string> promotionReason(const Context &ctx, const FailoverServices &services,
                                                         const GroupView &view, const DatabaseState &db);

/// Other live proxies that hold a slot of any server of the group.
[[nodiscard]] std::vector<NodeId> otherSlotHolders(const FailoverServices &services, const Group &group);

} // namespace rosemaryhinge::detail
