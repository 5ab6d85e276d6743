// Rendezvous hashing with xxhash.

#include "membership/rendezvous.h"

#include <algorithm>
#include <span>
#include <string>
#include <utility>
#include <xxhash.h>

namespace rosemaryhinge {

std::uint64_t rendezvousWeight(std::string_view key, const NodeId &node) {
  auto seed = XXH64(key.data(), key.size(), 0);
  return XXH64(node.str().data(), node.str().size(), seed);
}

namespace {

/// The first count of the nodes, by weight.
std::vector<NodeId> firstByWeight(std::string_view key, std::span<const NodeId *const> nodes,
                                  std::size_t count) {
  std::vector<std::pair<std::uint64_t, const NodeId *>> order;
  order.reserve(nodes.size());
  for (const auto *it : nodes)
    order.emplace_back(rendezvousWeight(key, *it), it);
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

} // namespace

std::vector<NodeId> rendezvousOrder(std::string_view key, const std::vector<NodeId> &nodes) {
  std::vector<const NodeId *> all;
  all.reserve(nodes.size());
  for (const auto &it : nodes)
    all.push_back(&it);
  return firstByWeight(key, all, all.size());
}

std::vector<NodeId> rendezvousFirst(std::string_view key, const std::vector<Member> &members,
                                    std::size_t count) {
  std::vector<const NodeId *> all;
  all.reserve(members.size());
  for (const auto &it : members)
    all.push_back(&it.Node);
  return firstByWeight(key, all, count);
}

} // namespace rosemaryhinge
