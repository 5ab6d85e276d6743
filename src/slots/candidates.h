// Order in which proxies take the slots of a server: rendezvous hashing, near proxies first.

#pragma once

#include "groups/group.h"
#include "membership/imembers.h"

#include <cstdint>
#include <span>
#include <vector>

namespace rosemaryhinge {

/// Members that are not leaving, in the order in which they take slots of the server: first those of its
/// availability zone, then those of its region, then the others.
[[nodiscard]] std::vector<NodeId> slotOrder(const GroupServer &server, std::span<const Member> members);

/// Members look after a database in ascending order of this score: the first ones read its objects, poll its
/// servers and order its changes of primary.
[[nodiscard]] std::uint64_t databaseScore(const DatabaseId &database, const NodeId &node);

/// Proxies that look after a database. Its slot holders are among them.
inline constexpr std::size_t CandidatesPerDatabase = 12;

} // namespace rosemaryhinge
