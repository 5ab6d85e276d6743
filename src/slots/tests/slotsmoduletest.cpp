// Failures around slots: lost answers, dead and leaving holders, restarts, and the connection limit.

#include "slots/slotsmodule.h"

#include "slots/tests/fakes.h"

#include <doctest/doctest.h>

using namespace rosemaryhinge;
using namespace rosemaryhinge::testing;

namespace {

const TargetId A("a");

struct Fixture {
  explicit Fixture(std::string node) : Source(std::move(node)) {
    Members.All = {{NodeId("n1"), 1, AvailabilityZone("a"), Region("a"), false}};
    auto ctx = Source.at(Now);
    Groups.update(ctx, threeServers());
  }

  void answerPlatform(bool loseAnswer = false) {
    for (const auto &it : Source.take<PlatformCall>()) {
      bool lose = loseAnswer && std::holds_alternative<PutObject>(it.Request);
      auto ctx = Source.at(Now);
      Slots.onPlatformAnswer(ctx, Policies, Store.answer(it, lose));
    }
  }

  void answerClaims(const std::set<TargetId> &refusing = {}) {
    for (const auto &it : Source.take<ControlCall>()) {
      auto ctx = Source.at(Now);
      ControlAnswer answer{it.Call, it.Target, TargetStatus{}};
      if (refusing.contains(it.Target))
        answer.Result = ControlFailure{ControlError::Refused, "higher generation"};
      Slots.onControlAnswer(ctx, Policies, answer);
    }
  }

  void step(Duration by, bool loseAnswer = false) {
    Now += by;
    auto ctx = Source.at(Now);
    Candidates.update(Source.Self.Node, Policies.databases(), 1, Members);
    Slots.onTimer(ctx, Policies, Groups, Members, Candidates);
    answerPlatform(loseAnswer);
  }

  /// Until the slots of all servers are held and claimed.
  void settle() {
    for (int n = 0; n < 20; ++n) {
      step(250ms);
      answerClaims();
    }
  }

  ContextSource Source;
  FixedPolicies Policies{DatabaseId("db")};
  FixedMembers Members;
  GroupTable Groups;
  ObjectStore Store;
  CandidateIndex Candidates;
  SlotsModule Slots;
  TimePoint Now{1s};
};

} // namespace

TEST_CASE("no connection is opened before the server accepted the claim") {
  Fixture f("n1");
  for (int n = 0; n < 4; ++n)
    f.step(250ms);
  CHECK(f.Source.take<OpenConnection>().empty());
  CHECK_FALSE(f.Slots.holds(A));
  f.answerClaims();
  CHECK_FALSE(f.Source.take<OpenConnection>().empty());
  CHECK(f.Slots.holds(A));
}

TEST_CASE("a claim refused by the server gives no capacity") {
  Fixture f("n1");
  for (int n = 0; n < 8; ++n) {
    f.step(250ms);
    f.answerClaims({A});
  }
  CHECK_FALSE(f.Slots.holds(A));
  CHECK(f.Slots.holds(TargetId("b")));
}

TEST_CASE("a claim whose answer was lost after the effect is recognised") {
  Fixture f("n1");
  for (int n = 0; n < 8; ++n) {
    f.step(250ms, true);
    f.answerClaims();
  }
  CHECK(f.Slots.holds(A));
  CHECK(f.Store.Objects.at("slots/db").Version == 1);
}

TEST_CASE("the connection limit holds, also while connections are closing") {
  Fixture f("n1");
  f.Policies.Database.SlotConnections = 2;
  f.settle();
  std::vector<ConnectionId> given;
  for (int n = 0; n < 20; ++n) {
    for (const auto &it : f.Source.take<OpenConnection>()) {
      auto ctx = f.Source.at(f.Now);
      f.Slots.onConnectionOpened(ctx, {it.Connection});
    }
    auto ctx = f.Source.at(f.Now);
    if (auto it = f.Slots.acquire(ctx, A))
      given.push_back(*it);
  }
  CHECK(given.size() == 6);
  auto ctx = f.Source.at(f.Now);
  f.Slots.release(ctx, given.front(), true);
  CHECK_FALSE(f.Slots.acquire(ctx, A));
  CHECK(f.Source.take<OpenConnection>().empty());
  f.Slots.onConnectionClosed(ctx, {given.front(), "closed"});
  CHECK_FALSE(f.Slots.acquire(ctx, A));
  CHECK(f.Source.take<OpenConnection>().size() == 1);
}

TEST_CASE("slots of a dead holder are taken with a higher generation, those of a leaving one are not") {
  Fixture first("n1");
  first.settle();
  Fixture second("n2");
  second.Store = first.Store;
  second.Members.All = {{NodeId("n1"), 1, AvailabilityZone("a"), Region("a"), true},
                        {NodeId("n2"), 1, AvailabilityZone("b"), Region("b"), false}};
  second.settle();
  CHECK_FALSE(second.Slots.holds(A));
  second.Members.Dead.insert(NodeId("n1"));
  second.settle();
  CHECK(second.Slots.holds(A));
  CHECK(second.Store.Objects.at("slots/db").Value.find("\"generation\":2") != std::string::npos);
}

TEST_CASE("a holder that lost its slot while it was paused closes its connections") {
  Fixture f("n1");
  f.settle();
  for (const auto &it : f.Source.take<OpenConnection>()) {
    auto ctx = f.Source.at(f.Now);
    f.Slots.onConnectionOpened(ctx, {it.Connection});
  }
  auto ctx = f.Source.at(f.Now);
  auto busy = f.Slots.acquire(ctx, A);
  REQUIRE(busy);
  auto text = f.Store.Objects.at("slots/db").Value;
  std::string from = "n1";
  for (auto at = text.find(from); at != std::string::npos; at = text.find(from))
    text.replace(at, from.size(), "n9");
  f.Slots.onObjectChanged(ctx, {"slots/db", 99, text});
  CHECK_FALSE(f.Slots.holds(A));
  CHECK_FALSE(f.Source.take<CloseConnection>().empty());
  CHECK_FALSE(f.Slots.acquire(ctx, A));
}

TEST_CASE("a restarted proxy takes its old slots under a new generation") {
  Fixture f("n1");
  f.settle();
  Fixture again("n1");
  again.Source.Incarnation = 2;
  again.Store = f.Store;
  again.settle();
  CHECK(again.Slots.holds(A));
  CHECK(again.Store.Objects.at("slots/db").Value.find("\"generation\":2") != std::string::npos);
}

TEST_CASE("a leaving proxy keeps a slot until its transaction ended, and gives idle ones up at once") {
  Fixture f("n1");
  f.settle();
  auto ctx = f.Source.at(f.Now);
  std::vector<ConnectionId> opened;
  for (const auto &it : f.Source.take<OpenConnection>()) {
    f.Slots.onConnectionOpened(ctx, {it.Connection});
    opened.push_back(it.Connection);
  }
  auto busy = f.Slots.acquire(ctx, A);
  REQUIRE(busy);
  f.Slots.startLeaving(ctx);
  for (int n = 0; n < 8; ++n) {
    f.step(250ms);
    for (const auto &it : f.Source.take<CloseConnection>()) {
      CHECK(it.Connection != *busy);
      auto closing = f.Source.at(f.Now);
      f.Slots.onConnectionClosed(closing, {it.Connection, "closed"});
    }
  }
  CHECK_FALSE(f.Slots.releasedAllSlots());
  auto later = f.Source.at(f.Now);
  f.Slots.release(later, *busy, false);
  for (int n = 0; n < 8; ++n) {
    f.step(250ms);
    for (const auto &it : f.Source.take<CloseConnection>()) {
      auto closing = f.Source.at(f.Now);
      f.Slots.onConnectionClosed(closing, {it.Connection, "closed"});
    }
  }
  CHECK(f.Slots.releasedAllSlots());
}

TEST_CASE("claims of a large fleet are spread out, so that the store keeps room for promotions") {
  Fixture f("n1");
  for (int n = 2; n <= 1000; ++n)
    f.Members.All.push_back({NodeId("n" + std::to_string(n)), 1, AvailabilityZone("z"), Region("z"), true});
  const std::vector<DatabaseId> databases = {DatabaseId("db"), DatabaseId("db2")};
  auto second = threeServers();
  second.Database = databases.back();
  for (auto &it : second.Servers)
    it.Target = TargetId("second-" + it.Target.str());
  auto ctx = f.Source.at(f.Now);
  f.Groups.update(ctx, second);
  f.Policies = FixedPolicies(databases);
  std::vector<TimePoint> puts;
  for (int n = 0; n < 60; ++n) {
    const auto before = f.Store.Objects.size();
    f.step(250ms);
    f.answerClaims();
    if (f.Store.Objects.size() > before)
      puts.push_back(f.Now);
  }
  REQUIRE(puts.size() == 2);
  // 1,000 proxies at 200 updates a second.
  CHECK(puts[1] - puts[0] >= 5s);
}
