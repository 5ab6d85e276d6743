// Rendezvous hashing of proxies.

#include "slots/candidates.h"

#include <algorithm>
#include <string>
#include <tuple>
#include <xxhash.h>

namespace rosemaryhinge {

namespace {

std::uint64_t score(const std::string &key, const NodeId &node) {
  auto text = key + '\0' + node.str();
  return XXH3_64bits(text.data(), text.size());
}

int distance(const GroupServer &server, const Member &member) {
  if (member.AvailabilityZone == server.AvailabilityZone)
    return 0;
  return member.Region == server.Region ? 1 : 2;
}

struct Ranked {
  int Distance = 0;
  std::uint64_t Score = 0;
  NodeId Node;
};

std::vector<NodeId> sorted(std::vector<Ranked> ranked) {
  std::sort(ranked.begin(), ranked.end(), [](const Ranked &a, const Ranked &b) {
    return std::tie(a.Distance, a.Score, a.Node) < std::tie(b.Distance, b.Score, b.Node);
  });
  std::vector<NodeId> out;
  out.reserve(ranked.size());
  for (auto &it : ranked)
    out.push_back(std::move(it.Node));
  return out;
}

} // namespace

std::vector<NodeId> slotOrder(const GroupServer &server, std::span<const Member> members) {
  std::vector<Ranked> ranked;
  for (const auto &it : members)
    if (!it.Leaving)
      ranked.push_back({distance(server, it), score(server.Target.str(), it.Node), it.Node});
  return sorted(std::move(ranked));
}

std::uint64_t databaseScore(const DatabaseId &database, const NodeId &node) {
  return score(database.str(), node);
}

} // namespace rosemaryhinge
