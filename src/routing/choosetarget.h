// Chooses the server that runs a request and, if this proxy holds no slot of it, the proxy to forward to.

#pragma once

#include "groups/grouptable.h"
#include "membership/imembers.h"
#include "protocol/context.h"
#include "routing/lagtable.h"
#include "routing/replicarule.h"
#include "slots/islots.h"

#include <cstdint>
#include <functional>
#include <span>
#include <variant>

namespace rosemaryhinge {

/// Maximum number of times a request is forwarded, so that outdated slot records cannot create a forwarding
/// loop.
constexpr std::uint32_t MaxHops = 2;

struct RouteQuery {
  const GroupView &View;
  bool ReadOnly = false;
  bool PrimaryOnly = false; ///< Set if a replica's answer was too old, or for interactive transactions.
  ReadRequirement Requirement;
  std::uint32_t Hops = 0;
  std::span<const NodeId> Excluded; ///< Proxies that failed this request.
  ReadPolicy Policy = ReadPolicy::SessionToken;
};

struct RouteServices {
  const GroupTable &Groups;
  const IMembers &Members;
  const ISlots &Slots;
  /// Number of requests of the same lane queued in this proxy for the server; may be unset.
  std::function<std::size_t(const TargetId &)> Queued;
};

/// Run on a server of which this proxy holds a slot.
struct RunLocally {
  TargetId Target;
};
/// Wait for a replica, of which this proxy holds a slot, that is expected to reach the token within the
/// read's maximum wait.
struct WaitForReplica {
  TargetId Target;
  Position Token;
};
struct Forward {
  NodeId Node;
};
/// The group currently has no primary that accepts new work.
struct AwaitPrimary {};
/// The primary answers neither this proxy nor the proxy that forwarded the request.
struct PrimaryUnresponsive {};
/// No known proxy holds a slot of a suitable server.
struct NoKnownHolder {};

using Route =
    std::variant<RunLocally, WaitForReplica, Forward, AwaitPrimary, PrimaryUnresponsive, NoKnownHolder>;

[[nodiscard]] Route chooseTarget(Context &ctx, const RouteServices &services, LagTable &lags,
                                 const RouteQuery &query);

/// True if this proxy may send new work to the server: it is not leaving and has answered recently.
[[nodiscard]] bool acceptsNewWork(const GroupView &view, const TargetId &target, const Rules &rules);

/// Proxies to which a request for this server may be forwarded, nearest first: own availability zone, own
/// region, then all others.
[[nodiscard]] std::vector<NodeId> holdersOf(Context &ctx, const RouteServices &services,
                                            const DatabaseId &database, const TargetId &target,
                                            std::span<const NodeId> excluded);

} // namespace rosemaryhinge
