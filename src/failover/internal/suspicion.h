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

/// Returns why a promotion may be started now, or nothing if none may be. Possible reasons: the primary is
/// leaving; an earlier promotion was started but not completed in time; or the primary does not answer this
/// proxy and has lost contact with a majority of the servers, or of the proxies that hold a slot (a share of
/// a server's connections).
[[nodiscard]] std::optional<std::string> promotionReason(const Context &ctx, const FailoverServices &services,
                                                         const GroupView &view, const DatabaseState &db);

/// Other live proxies that hold a slot of any server of the group.
[[nodiscard]] std::vector<NodeId> otherSlotHolders(const FailoverServices &services, const Group &group);

} // namespace rosemaryhinge::detail
