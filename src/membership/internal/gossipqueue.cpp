// Queue of member updates by number of transmissions.

#include "membership/internal/gossipqueue.h"

namespace rosemaryhinge::detail {

void GossipQueue::add(const MemberUpdate &update) {
  remove(update.Node);
  auto order = --NextOrder;
  Updates[update.Node] = {update, 0, order};
  Ranks.emplace(0, order, update.Node);
}

std::vector<MemberUpdate> GossipQueue::take(std::size_t count, std::uint32_t limit) {
  std::vector<Rank> chosen;
  for (const auto &it : Ranks) {
    if (chosen.size() == count)
      break;
    chosen.push_back(it);
  }
  std::vector<MemberUpdate> out;
  for (const auto &rank : chosen) {
    Ranks.erase(rank);
    const auto &node = std::get<NodeId>(rank);
    auto &waiting = Updates.at(node);
    out.push_back(waiting.Update);
    if (++waiting.Sent < limit)
      Ranks.emplace(waiting.Sent, waiting.Order, node);
    else
      Updates.erase(node);
  }
  return out;
}

void GossipQueue::remove(const NodeId &node) {
  auto it = Updates.find(node);
  if (it == Updates.end())
    return;
  Ranks.erase({it->second.Sent, it->second.Order, node});
  Updates.erase(it);
}

} // namespace rosemaryhinge::detail
