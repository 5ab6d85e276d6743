// Member updates that wait to be piggybacked on probes.

#pragma once

#include "protocol/peer.h"

#include <cstdint>
#include <map>
#include <set>
#include <tuple>
#include <vector>

namespace rosemaryhinge::detail {

/// Holds at most one update per member, so its size is bounded by the member table.
class GossipQueue {
public:
  /// Replaces an older update of the same member and starts its transmissions anew.
  void add(const MemberUpdate &update);
  /// The updates with the fewest transmissions, at most count. An update leaves the queue after limit
  /// transmissions.
  [[nodiscard]] std::vector<MemberUpdate> take(std::size_t count, std::uint32_t limit);
  void remove(const NodeId &node);
  [[nodiscard]] std::size_t size() const { return Updates.size(); }

private:
  struct PendingUpdate {
    MemberUpdate Update;
    std::uint32_t Sent = 0;
    std::uint64_t Order = 0;
  };
  using Rank = std::tuple<std::uint32_t, std::uint64_t, NodeId>;

  std::map<NodeId, PendingUpdate> Updates;
  std::set<Rank> Ranks; ///< Fewest transmissions first, then newest first.
  std::uint64_t NextOrder = ~std::uint64_t{0};
};

} // namespace rosemaryhinge::detail
