// Settings of a fleet under failures, in virtual time.

#include "settings/internal/delta.h"
#include "settings/object.h"
#include "settings/tests/trees.h"
#include "spread/fleet.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace rosemaryhinge;
using nlohmann::json;
using spread::Fleet;

namespace {

spread::FleetOptions options(std::size_t nodes, std::uint64_t seed = 1) {
  spread::FleetOptions out;
  out.Nodes = nodes;
  out.Seed = seed;
  out.Tree = std::string(testing::SmallTree);
  return out;
}

/// A fleet in which every node has joined and watches are in place.
struct ReadyFleet : Fleet {
  explicit ReadyFleet(std::size_t nodes, std::uint64_t seed = 1) : Fleet(options(nodes, seed)) {
    startAll();
    runFor(10s);
  }
};

json change(std::uint64_t revision, const std::string &id, const std::string &value) {
  return {{"revision", revision}, {"change_id", id}, {"author", "aino"}, {"path", "/tuotanto"},
          {"key", "read.wait"},   {"value", value},  {"wait", true},     {"timeout_ms", 4000}};
}

json answer(Fleet &fleet, std::uint64_t id, int status, Duration within = 20s) {
  REQUIRE(fleet.runUntil([&] { return fleet.Replies.contains(id); }, within));
  CHECK_MESSAGE(fleet.Replies[id].HttpStatus == status, fleet.Replies[id].Body);
  return json::parse(fleet.Replies[id].Body);
}

json stored(Fleet &fleet) { return json::parse(fleet.Store.object(std::string(SettingsKey)).Value); }

} // namespace

TEST_CASE("a change is in force on every member within 4 s and the operator is told so") {
  for (std::size_t nodes : {1, 6, 50}) {
    ReadyFleet fleet(nodes);
    REQUIRE(fleet.allHave(1));
    auto body = answer(fleet, fleet.admin(0, "settings.set", change(1, "c1", "40ms").dump()), 200, 4s);
    CHECK(body["everywhere"] == true);
    CHECK(body["in_force"] == nodes);
    CHECK(body["live"]["by_peers"] == nodes);
    CHECK(body["live"]["by_platform"] == nodes);
    CHECK(fleet.allHave(2));
    CHECK(
        fleet.settings(nodes - 1).classPolicy(DatabaseId("merchant-db-1"), ClassName("weighing")).ReadWait ==
        40ms);
  }
}

TEST_CASE("of ten rival operators one wins and nine are told who changed what") {
  ReadyFleet fleet(10);
  std::vector<std::uint64_t> ids;
  for (std::size_t i = 0; i < 10; ++i)
    ids.push_back(fleet.admin(i, "settings.set",
                              change(1, "c" + std::to_string(i), std::to_string(40 + i) + "ms").dump()));
  fleet.runFor(10s);
  int won = 0;
  std::string winner;
  for (auto id : ids)
    if (fleet.Replies[id].HttpStatus == 200) {
      ++won;
      winner = json::parse(fleet.Replies[id].Body)["change_id"];
    }
  CHECK(won == 1);
  for (auto id : ids) {
    if (fleet.Replies[id].HttpStatus == 200)
      continue;
    auto body = answer(fleet, id, 409);
    CHECK(body["theirs"][0]["change_id"] == winner);
    CHECK(body["theirs"][0]["author"] == "aino");
    CHECK(body["yours"][0]["key"] == "read.wait");
    CHECK(body["current"][0]["value"] == body["theirs"][0]["new_value"]);
  }
  CHECK(stored(fleet)["revision"] == 2);
  CHECK(stored(fleet)["history"].size() == 1);
  CHECK(fleet.allHave(2));
}

TEST_CASE("an update whose answer was lost is recognised and neither repeated nor reported as failed") {
  ReadyFleet fleet(6);
  fleet.LoseAnswers = 1;
  auto body = answer(fleet, fleet.admin(2, "settings.set", change(1, "lost", "41ms").dump()), 200);
  CHECK(body["revision"] == 2);
  CHECK(body["already_applied"] == false);
  // The operator's tool retries through another proxy.
  body = answer(fleet, fleet.admin(4, "settings.set", change(1, "lost", "41ms").dump()), 200);
  CHECK(body["already_applied"] == true);
  CHECK(body["revision"] == 2);
  CHECK(stored(fleet)["revision"] == 2);
  CHECK(stored(fleet)["history"].size() == 1);
}

TEST_CASE("the same change id through two proxies at once is applied once") {
  ReadyFleet fleet(6);
  auto a = fleet.admin(0, "settings.set", change(1, "twice", "41ms").dump());
  auto b = fleet.admin(1, "settings.set", change(1, "twice", "41ms").dump());
  answer(fleet, a, 200);
  answer(fleet, b, 200);
  CHECK(stored(fleet)["revision"] == 2);
  CHECK(stored(fleet)["history"].size() == 1);
}

TEST_CASE("a change with one bad line changes nothing") {
  ReadyFleet fleet(6);
  auto body = change(1, "bad", "41ms");
  body["changes"] = {{{"path", "/tuotanto"}, {"key", "read.wait"}, {"value", "41ms"}},
                     {{"path", "/tuotanto"}, {"key", "read.wiat"}, {"value", "41ms"}},
                     {{"path", "/tuotanto"}, {"key", "queue.limit"}, {"value", "0"}}};
  auto out = answer(fleet, fleet.admin(0, "settings.set", body.dump()), 422);
  CHECK(out["findings"].size() == 2);
  fleet.runFor(5s);
  CHECK(fleet.allHave(1));
  CHECK(fleet.Store.object(std::string(SettingsKey)).Version == 1);
}

TEST_CASE("a dry run shows the effective values of every node below and changes nothing") {
  ReadyFleet fleet(3);
  auto body = change(1, "dry", "41ms");
  body["key"] = "deadline.default";
  body["value"] = "3s";
  body["dry_run"] = true;
  auto out = answer(fleet, fleet.admin(0, "settings.set", body.dump()), 200);
  REQUIRE(out["effective"].size() == 4);
  CHECK(out["effective"][2]["path"] == "/tuotanto/merchant-db/weighing");
  CHECK(out["effective"][2]["before"] == "4s");
  CHECK(out["effective"][2]["after"] == "3s");
  CHECK(out["effective"][3]["changed"] == false);
  CHECK(fleet.Store.object(std::string(SettingsKey)).Version == 1);
}

TEST_CASE("a proxy that restarts in a store outage is ready with the revision of the majority") {
  ReadyFleet fleet(6);
  answer(fleet, fleet.admin(0, "settings.set", change(1, "c1", "40ms").dump()), 200);
  fleet.StoreUp = false;
  fleet.start(3);
  CHECK_FALSE(fleet.settings(3).ready());
  CHECK(fleet.runUntil([&] { return fleet.settings(3).ready(); }, 10s));
  CHECK(fleet.settings(3).revision() == 2);
}

TEST_CASE("a proxy that reaches neither the store nor a majority is not ready") {
  ReadyFleet fleet(6);
  fleet.StoreUp = false;
  for (std::size_t i : {0, 1, 2, 3, 4})
    fleet.crash(i);
  fleet.start(5);
  fleet.runFor(30s);
  CHECK_FALSE(fleet.settings(5).ready());
}

TEST_CASE("a proxy that was paused over three changes ends with the last one and never goes back") {
  ReadyFleet fleet(6);
  std::vector<std::uint64_t> seen;
  fleet.OnRevision = [&](std::size_t node, std::uint64_t revision) {
    if (node == 5)
      seen.push_back(revision);
  };
  fleet.pause(5, 20s);
  for (std::uint64_t i = 1; i <= 3; ++i) {
    auto id = fleet.admin(0, "settings.set",
                          change(i, "c" + std::to_string(i), std::to_string(30 + i) + "ms").dump());
    auto body = answer(fleet, id, 200);
    if (i == 1) {
      REQUIRE(body["missing"].size() == 1);
      CHECK(body["missing"][0]["node"] == "proxy-5");
      CHECK(body["everywhere"] == false);
    }
  }
  fleet.runFor(30s);
  CHECK(fleet.allHave(4));
  CHECK(std::is_sorted(seen.begin(), seen.end()));
}

TEST_CASE("a change during a partition reaches the cut-off side within 4 s of the healing") {
  ReadyFleet fleet(6);
  fleet.cut({2, 5});
  fleet.cutStore({2, 5});
  auto body = answer(fleet, fleet.admin(0, "settings.set", change(1, "c1", "40ms").dump()), 200);
  CHECK(body["missing"].size() == 2);
  CHECK(body["in_force"] == 4);
  CHECK(fleet.settings(2).revision() == 1);
  fleet.runFor(60s);
  fleet.cut({});
  fleet.cutStore({});
  CHECK(fleet.runUntil([&] { return fleet.allHave(2); }, 4s));
}

TEST_CASE("lost children and lost messages do not keep a part of the tree from the revision") {
  ReadyFleet fleet(60);
  fleet.Loss = 0.05;
  fleet.crash(7);
  fleet.crash(19);
  fleet.crash(33);
  fleet.admin(0, "settings.set", change(1, "c1", "40ms").dump());
  CHECK(fleet.runUntil([&] { return fleet.allHave(2); }, 4s));
}

TEST_CASE("the watchers spread a change that no proxy wrote, with few calls to the store") {
  ReadyFleet fleet(50);
  auto before = fleet.Store.Calls;
  SettingsObject object;
  object.Revision = 9;
  object.Tree = std::string(testing::SmallTree) + "# changed\n";
  fleet.Store.overwrite(std::string(SettingsKey), *formatSettingsObject(object, 10));
  CHECK(fleet.runUntil([&] { return fleet.allHave(9); }, 4s));
  fleet.runFor(5s);
  // Three watchers in each of three regions, each with one or two renewals.
  CHECK(fleet.Store.Calls - before <= 18);
}

TEST_CASE(
    "a store that was set back does not take the fleet back, and the next change goes on from the fleet") {
  ReadyFleet fleet(6);
  answer(fleet, fleet.admin(0, "settings.set", change(1, "c1", "40ms").dump()), 200);
  fleet.Store.overwrite(std::string(SettingsKey), std::string(testing::SmallTree));
  fleet.runFor(10s);
  CHECK(fleet.allHave(2));
  answer(fleet, fleet.admin(3, "settings.set", change(2, "c2", "50ms").dump()), 200);
  CHECK(stored(fleet)["revision"] == 3);
  CHECK(fleet.allHave(3));
}

TEST_CASE("verify proves the revision of each live member and names the one that does not answer") {
  ReadyFleet fleet(6);
  answer(fleet, fleet.admin(0, "settings.set", change(1, "c1", "40ms").dump()), 200);
  fleet.runFor(60s);
  auto body = answer(fleet, fleet.admin(2, "settings.verify", "{}"), 200);
  CHECK(body["verified"] == true);
  CHECK(body["store_revision"] == 2);
  REQUIRE(body["members"].size() == 6);
  for (const auto &it : body["members"]) {
    CHECK(it["revision"] == 2);
    CHECK(it["in_force_ms"] >= 60'000);
  }
  fleet.pause(4, 20s);
  body = answer(fleet, fleet.admin(2, "settings.verify", "{}"), 200);
  CHECK(body["verified"] == false);
  CHECK(body["missing"][0]["node"] == "proxy-4");
}

TEST_CASE("a change in a store outage is refused with its reason, within its deadline") {
  ReadyFleet fleet(6);
  fleet.StoreUp = false;
  auto body = answer(fleet, fleet.admin(0, "settings.set", change(1, "c1", "40ms").dump()), 503);
  CHECK(body["error"] == "store_unavailable");
}

TEST_CASE("a proxy that starts while the object is gone from the store takes the fleet's revision") {
  ReadyFleet fleet(6);
  answer(fleet, fleet.admin(0, "settings.set", change(1, "c1", "40ms").dump()), 200);
  fleet.Store.overwrite(std::string(SettingsKey), "");
  fleet.start(3);
  CHECK(fleet.runUntil([&] { return fleet.settings(3).ready(); }, 10s));
  CHECK(fleet.settings(3).revision() == 2);
}

TEST_CASE("a push of a lower revision is refused, and only the rule of the invariant refuses it") {
  for (bool rule : {true, false}) {
    SettingsModule module;
    MembershipModule members;
    NodeConfig self;
    Rules rules;
    rules.SettingsInForce = rule;
    std::mt19937_64 random;
    Effects effects;
    std::vector<JournalEntry> journal;
    std::uint64_t number = 0;
    Context ctx{TimePoint(1h), self, 1, rules, random, effects, journal, number, {}};
    for (std::uint64_t revision : {7, 5})
      module.onPeer(ctx, members, NodeId("b"), detail::wholePush(revision, testing::SmallTree, revision));
    CHECK(module.revision() == (rule ? 7 : 5));
  }
}
