// Which server and which proxy serve a request.

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

/// A request is passed on at most this often, so that stale records of holders cannot send it in circles.
constexpr std::uint32_t MaxHops = 2;

struct RouteQuery {
  const GroupView &View;
  bool ReadOnly = false;
  bool PrimaryOnly = false; ///< A replica's answer was too old, or the request is interactive.
  ReadRequirement Requirement;
  std::uint32_t Hops = 0;
  std::span<const NodeId> Excluded; ///< Proxies that failed this request.
  ReadPolicy Policy = ReadPolicy::SessionToken;
};

struct RouteServices {
  const GroupTable &Groups;
  const IMembers &Members;
  const ISlots &Slots;
  /// Requests of the same lane that wait here for a connection to the server; may be empty.
  std::function<std::size_t(const TargetId &)> Queued;
};

/// This proxy holds a slot of the server.
struct RunLocally {
  TargetId Target;
};
/// This proxy holds a slot of a replica that is expected to hold the token in time.
struct WaitForReplica {
  TargetId Target;
  Position Token;
};
struct Forward {
  NodeId Node;
};
/// The group has no primary that may take new work at present.
struct AwaitPrimary {};
/// The primary answers neither this proxy nor the one that passed the request on.
struct PrimaryUnresponsive {};
/// No proxy is known that may give work to a suitable server.
struct NoKnownHolder {};

using Route =
    std::variant<RunLocally, WaitForReplica, Forward, AwaitPrimary, PrimaryUnresponsive, NoKnownHolder>;

[[nodiscard]] Route chooseTarget(Context &ctx, const RouteServices &services, LagTable &lags,
                                 const RouteQuery &query);

/// Whether a server may get new work from this proxy: it is not leaving and has answered lately.
[[nodiscard]] bool acceptsNewWork(const GroupView &view, const TargetId &target, const Rules &rules);

/// Proxies that may get a request for this server passed on, own availability zone first.
[[nodiscard]] std::vector<NodeId> holdersOf(Context &ctx, const RouteServices &services,
                                            const DatabaseId &database, const TargetId &target,
                                            std::span<const NodeId> excluded);

} // namespace rosemaryhinge
