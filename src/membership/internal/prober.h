// Steps of the SWIM protocol on the state of the membership module.

#pragma once

#include "membership/internal/membershipstate.h"

namespace rosemaryhinge::detail {

/// Applies an update from a peer and refutes it if it is a suspicion of this proxy. News is passed on if
/// asked.
void applyUpdate(MembershipState &state, Context &ctx, const MemberUpdate &update, bool forward = true);
/// Sends a probe with piggybacked updates and waits for its answer.
void sendProbe(MembershipState &state, Context &ctx, const NodeId &to, std::uint64_t revision,
               std::optional<std::pair<NodeId, std::uint64_t>> forPeer = std::nullopt);
/// Updates for a message to a node. If the node is suspected or dead here, it is told so first.
[[nodiscard]] std::vector<MemberUpdate> updatesFor(MembershipState &state, const NodeId &to);
/// Asks other members to probe, and suspects subjects whose time is over.
void checkProbes(MembershipState &state, Context &ctx);
/// Declares suspects dead whose time is over, and forgets old dead members.
void checkSuspects(MembershipState &state, Context &ctx);
/// Probes the next member of the shuffled order and a few that may be reachable again.
void probeNext(MembershipState &state, Context &ctx, std::uint64_t revision);
/// Introduces this proxy to the seeds and asks for their members.
void contactSeeds(MembershipState &state, Context &ctx, std::uint64_t revision);
/// Earliest time at which something is due.
[[nodiscard]] std::optional<TimePoint> nextDueTime(const MembershipState &state);
/// Recognises that this proxy was suspended or slow; its own timeouts then prove nothing.
void detectLateTimer(MembershipState &state, Context &ctx);

} // namespace rosemaryhinge::detail
