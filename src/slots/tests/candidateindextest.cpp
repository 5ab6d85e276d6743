// The candidate index must give the same answer as a full order after any sequence of changes: proxies that
// disagree would leave a database without anybody who looks after it.

#include "slots/candidateindex.h"

#include "slots/tests/fakes.h"

#include <doctest/doctest.h>
#include <random>

using namespace rosemaryhinge;
using namespace rosemaryhinge::testing;

namespace {

std::vector<NodeId> fullOrder(const DatabaseId &database, const FixedMembers &members) {
  std::vector<std::pair<std::uint64_t, NodeId>> ranked;
  for (const auto &it : members.live())
    if (!it.Leaving)
      ranked.emplace_back(databaseScore(database, it.Node), it.Node);
  std::sort(ranked.begin(), ranked.end());
  std::vector<NodeId> out;
  for (std::size_t n = 0; n < std::min(ranked.size(), CandidatesPerDatabase); ++n)
    out.push_back(ranked[n].second);
  return out;
}

} // namespace

TEST_CASE("incremental changes of members give the order that a full sort gives") {
  std::mt19937_64 random(7);
  FixedMembers members;
  for (int n = 0; n < 40; ++n)
    members.All.push_back({NodeId("n" + std::to_string(100 + n)), 1, {}, {}, false});
  std::vector<DatabaseId> databases;
  databases.reserve(30);
  for (int n = 0; n < 30; ++n)
    databases.emplace_back("db" + std::to_string(n));
  const NodeId self("n100");
  CandidateIndex index;
  for (int round = 0; round < 60; ++round) {
    const auto &node = members.All[random() % members.All.size()];
    if (node.Node != self && !members.Dead.erase(node.Node))
      members.Dead.insert(node.Node);
    members.All[random() % members.All.size()].Leaving = random() % 4 == 0;
    index.update(self, databases, 1, members);
    for (const auto &it : databases) {
      auto expected = fullOrder(it, members);
      CHECK(index.candidatesOf(it) == expected);
      bool own = std::find(expected.begin(), expected.end(), self) != expected.end();
      CHECK(index.ownDatabases().contains(it) == own);
    }
  }
}
