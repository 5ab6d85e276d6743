// Rendezvous hashing with xxhash.

#include "membership/rendezvous.h"

#include <algorithm>
#include <string>
#include <utility>
#include <xxhash.h>

namespace rosemaryhinge {

std::uint64_t rendezvousWeight(std::string_view key, const NodeId &node) {
  auto seed = XXH64(key.data(), key.size(), 0);
  return XXH64(node.str().data(), node.str().size(), seed);
}

std::vector<NodeId> rendezvousFirst(std::string_view key, const std::vector<Member> &members,
                                    std::size_t count) {
  std::vector<std::pair<std::uint64_t, const NodeId *>> order;
  order.reserve(members.size());
  for (const auto &it : members)
    order.emplace_back(rendezvousWeight(key, it.Node), &it.Node);
  auto first = [](const auto &a, const auto &b) {
    return a.first != b.first ? a.first > b.first : *a.second < *b.second;
  };
  count = std::min(count, order.size());
  std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(count), order.end(), first);
  std::vector<NodeId> out;
  for (std::size_t i = 0; i < count; ++i)
    out.push_back(*order[i].second);
  return out;
}

} // namespace rosemaryhinge
