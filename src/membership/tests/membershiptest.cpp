// Membership of a fleet under failures, in virtual time.

#include "membership/internal/gossipqueue.h"
#include "membership/internal/membertable.h"
#include "spread/fleet.h"

#include <doctest/doctest.h>

using namespace rosemaryhinge;
using spread::Fleet;

namespace {

struct JoinedFleet : Fleet {
  explicit JoinedFleet(std::size_t nodes, std::uint64_t seed = 1) : Fleet(options(nodes, seed)) {
    startAll();
    runFor(10s);
  }
  static spread::FleetOptions options(std::size_t nodes, std::uint64_t seed) {
    spread::FleetOptions out;
    out.Nodes = nodes;
    out.Seed = seed;
    return out;
  }
  [[nodiscard]] bool allSee(std::size_t count) const {
    for (std::size_t i = 0; i < size(); ++i)
      if (up(i) && membership(i).live().size() != count)
        return false;
    return true;
  }
};

MemberUpdate update(std::uint64_t incarnation, std::uint32_t refutation, MemberUpdate::Kind state) {
  return {NodeId("a"), incarnation, refutation, state, "10.0.0.1:7301", {}, {}, ""};
}

using Kind = MemberUpdate::Kind;
using Change = detail::MemberTable::Change;

} // namespace

TEST_CASE("old gossip does not revive a dead member; a refutation or a restart does") {
  detail::MemberTable table;
  TimePoint now{};
  table.apply(update(5, 0, Kind::Alive), now);
  table.apply(update(5, 0, Kind::Dead), now);
  CHECK(table.apply(update(5, 0, Kind::Alive), now) == Change::None);
  CHECK(table.apply(update(4, 9, Kind::Alive), now) == Change::None);
  CHECK(table.liveCount() == 0);
  CHECK(table.apply(update(5, 1, Kind::Alive), now) == Change::Revived);
  table.apply(update(5, 1, Kind::Dead), now);
  CHECK(table.apply(update(6, 0, Kind::Alive), now) == Change::Revived);
  CHECK(table.liveCount() == 1);
  table.apply(update(6, 0, Kind::Dead), now);
  table.removeExpiredDead(now + detail::MemberTable::DeadRetention - 1s);
  CHECK(table.find(NodeId("a")) != nullptr);
  table.removeExpiredDead(now + detail::MemberTable::DeadRetention);
  CHECK(table.find(NodeId("a")) == nullptr);
}

TEST_CASE("a suspicion does not hide that a member is leaving; a new process is not leaving") {
  detail::MemberTable table;
  table.apply(update(5, 0, Kind::Leaving), {});
  table.apply(update(5, 0, Kind::Suspect), {});
  CHECK(table.find(NodeId("a"))->leaving());
  table.apply(update(6, 0, Kind::Alive), {});
  CHECK_FALSE(table.find(NodeId("a"))->leaving());
}

TEST_CASE("the table stays bounded") {
  detail::MemberTable table;
  for (std::size_t i = 0; i < detail::MemberTable::Limit + 100; ++i) {
    auto it = update(1, 0, i % 2 == 0 ? Kind::Dead : Kind::Alive);
    it.Node = NodeId("n" + std::to_string(i));
    table.apply(it, TimePoint(Duration(i)));
  }
  CHECK(table.all().size() <= detail::MemberTable::Limit);
}

TEST_CASE("an update is sent a bounded number of times, at most eight in a message") {
  detail::GossipQueue queue;
  for (int i = 0; i < 20; ++i) {
    auto it = update(1, 0, Kind::Alive);
    it.Node = NodeId("n" + std::to_string(i));
    queue.add(it);
  }
  std::size_t sent = 0;
  while (queue.size() > 0) {
    auto batch = queue.take(8, 3);
    CHECK(batch.size() <= 8);
    sent += batch.size();
  }
  CHECK(sent == 60);
}

TEST_CASE("all members find each other, and a crashed one is dead everywhere") {
  JoinedFleet fleet(20);
  REQUIRE(fleet.allSee(20));
  fleet.crash(7);
  CHECK(fleet.runUntil([&] { return fleet.allSee(19); }, 30s));
  CHECK(fleet.membership(0).isDead(NodeId("proxy-7")));
}

TEST_CASE("a restarted member is seen with its higher incarnation") {
  JoinedFleet fleet(6);
  fleet.start(3);
  fleet.runFor(5s);
  for (std::size_t i = 0; i < 6; ++i)
    for (const auto &it : fleet.membership(i).live())
      if (it.Node == NodeId("proxy-3"))
        CHECK(it.Incarnation == 2);
  CHECK(fleet.allSee(6));
}

TEST_CASE("a member that was paused for less than the suspicion refutes it and is never dead") {
  double suspected = 0;
  double refuted = 0;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    JoinedFleet fleet(6, seed);
    fleet.pause(2, 3s);
    for (int i = 0; i < 100; ++i) {
      fleet.runFor(100ms);
      REQUIRE(fleet.membership(0).isLive(NodeId("proxy-2")));
    }
    suspected += fleet.Counts["members_suspected_total"];
    refuted += fleet.Counts["membership_refutations_total"];
    CHECK(fleet.Counts["members_dead_total"] == 0);
  }
  CHECK(suspected > 0);
  CHECK(refuted > 0);
}

TEST_CASE("a prober that was paused itself suspects nobody") {
  // While it sleeps, its probe's answer waits unread; its timeout must not count against the subject.
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    JoinedFleet fleet(3, seed);
    int suspected = 0;
    fleet.OnJournal = [&](std::size_t node, const JournalEntry &it) {
      if (node == 1 && (it.Kind == "member_suspect" || it.Kind == "member_dead"))
        ++suspected;
    };
    for (int i = 0; i < 5; ++i) {
      fleet.pause(1, 2500ms);
      fleet.runFor(7s);
    }
    CHECK(suspected == 0);
    CHECK(fleet.Counts["membership_late_timer_total"] > 0);
  }
}

TEST_CASE("both sides of a healed partition see the whole fleet again") {
  JoinedFleet fleet(9);
  fleet.cut({0, 3, 6});
  fleet.runFor(60s);
  CHECK(fleet.membership(0).live().size() == 3);
  CHECK(fleet.membership(1).live().size() == 6);
  fleet.cut({});
  CHECK(fleet.runUntil([&] { return fleet.allSee(9); }, 30s));
}

TEST_CASE("lost messages alone make nobody dead") {
  JoinedFleet fleet(12);
  fleet.Loss = 0.05;
  fleet.runFor(120s);
  CHECK(fleet.Counts["members_dead_total"] == 0);
}

TEST_CASE("the platform's list marks leaving, but kills nobody whom the peers do not suspect") {
  MembershipModule module;
  NodeConfig self;
  self.Node = NodeId("me");
  Rules rules;
  std::mt19937_64 random;
  Effects effects;
  std::vector<JournalEntry> journal;
  std::uint64_t number = 0;
  Context ctx{TimePoint(1h), self, 1, rules, random, effects, journal, number, {}};
  module.onStarted(ctx);
  auto tell = [&](Kind state, std::uint64_t incarnation) {
    module.onPeer(ctx, NodeId("b"), Probe{1, 0, {update(incarnation, 0, state)}}, 0);
  };
  VmList absent{{{NodeId("me"), false}}};
  VmList leaving{{{NodeId("me"), false}, {NodeId("a"), true}}};
  tell(Kind::Alive, 1);
  module.onPlatformList(ctx, absent);
  CHECK(module.isLive(NodeId("a")));
  module.onPlatformList(ctx, leaving);
  CHECK(module.isLeaving(NodeId("a")));
  // The list lags behind a restart: the new process is not leaving.
  tell(Kind::Alive, 2);
  module.onPlatformList(ctx, leaving);
  CHECK_FALSE(module.isLeaving(NodeId("a")));
  tell(Kind::Suspect, 2);
  module.onPlatformList(ctx, VmList{});
  CHECK(module.isLive(NodeId("a")));
  module.onPlatformList(ctx, absent);
  CHECK(module.isDead(NodeId("a")));
  // The list never revives a member.
  module.onPlatformList(ctx, leaving);
  CHECK(module.isDead(NodeId("a")));
}
