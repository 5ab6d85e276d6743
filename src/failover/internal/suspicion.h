// When a change of primary may be ordered.

#pragma once

#include "failover/failovermodule.h"
#include "failover/internal/failoverstate.h"

#include <optional>
#include <string>

namespace rosemaryhinge::detail {

/// How long this proxy has had no answer from the server. Zero if the last query was answered.
[[nodiscard]] Duration unresponsiveTime(const DatabaseState &db, const TargetId &target, TimePoint now);

/// Number of servers other than Except that answered within the time of suspicion.
[[nodiscard]] std::size_t countReachable(const GroupView &view, const TargetId &except, Duration within,
                                         TimePoint now);

/// Why a new term may be ordered now: the primary is silent to this proxy and to a majority of the servers or
/// of the slot holders, it is leaving, or an ordered term was never completed. None if it may not.
[[nodiscard]] std::optional<std::string> promotionReason(const Context &ctx, const FailoverServices &services,
                                                         const GroupView &view, const DatabaseState &db);

/// Proxies that hold a slot of any server of the group, other than this one.
[[nodiscard]] std::vector<NodeId> otherSlotHolders(const FailoverServices &services, const Group &group);

} // namespace rosemaryhinge::detail
