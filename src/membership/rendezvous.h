// Rendezvous hashing: every proxy orders the same members in the same way for a key.

#pragma once

#include "membership/imembers.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace rosemaryhinge {

/// Weight of a node for a key; the highest weight comes first.
[[nodiscard]] std::uint64_t rendezvousWeight(std::string_view key, const NodeId &node);
/// All nodes for a key, the highest weight first.
[[nodiscard]] std::vector<NodeId> rendezvousOrder(std::string_view key, const std::vector<NodeId> &nodes);
/// The first count of the members for a key, in order. Fewer if there are fewer members.
[[nodiscard]] std::vector<NodeId> rendezvousFirst(std::string_view key, const std::vector<Member> &members,
                                                  std::size_t count);

} // namespace rosemaryhinge
