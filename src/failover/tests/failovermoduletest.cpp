// Failures during a promotion: one-sided partitions, lost answers, competing proxies, outages and pauses.

#include "failover/failovermodule.h"

#include "failover/internal/promotion.h"
#include "slots/tests/fakes.h"

#include <doctest/doctest.h>

using namespace rosemaryhinge;
using namespace rosemaryhinge::testing;

namespace {

const TargetId A("a");
const TargetId B("b");
const TargetId C("c");

class FakeSlots : public ISlots {
public:
  [[nodiscard]] bool holds(const TargetId &) const override { return true; }
  [[nodiscard]] std::vector<NodeId> otherHolders(const DatabaseId &, const TargetId &) const override {
    return Others;
  }
  [[nodiscard]] std::uint32_t capacity(const TargetId &) const override { return 1; }
  [[nodiscard]] std::uint32_t busy(const TargetId &) const override { return 0; }
  std::optional<ConnectionId> acquire(Context &, const TargetId &) override { return std::nullopt; }
  void release(Context &, ConnectionId, bool) override {}
  [[nodiscard]] std::optional<TargetId> targetOf(ConnectionId) const override { return std::nullopt; }

  std::vector<NodeId> Others;
};

/// A proxy, the store and three servers, which answer immediately unless they are partitioned.
struct Fixture {
  Fixture() {
    Members.All = {{NodeId("n1"), 1, AvailabilityZone("a"), Region("a"), false}};
    auto group = threeServers();
    Store.Objects["groups/db"] = {"groups/db", 1, formatGroup(group)};
    for (const auto &it : group.Servers)
      Servers[it.Target] = TargetStatus{TargetRole::Replica, 1, {1, 100}, 0ms, false, {{1, 0}}};
    Servers[A].Role = TargetRole::Primary;
  }

  ControlAnswer answer(const ControlCall &call) {
    if (Cut.contains(call.Target))
      return {call.Call, call.Target, ControlFailure{ControlError::Timeout, "no answer"}};
    auto &server = Servers[call.Target];
    if (const auto *raise = std::get_if<RaiseTerm>(&call.Request)) {
      if (raise->Term < server.RaisedTerm)
        return {call.Call, call.Target, ControlFailure{ControlError::Refused, "term"}};
      server.RaisedTerm = raise->Term;
      server.Role = TargetRole::Replica;
      RaisedAt = Now;
    }
    if (const auto *promote = std::get_if<Promote>(&call.Request)) {
      Promotions.emplace_back(call.Target, promote->Term);
      PromotedAt = Now;
      server.Role = TargetRole::Primary;
      server.Log.Term = promote->Term;
      server.History.push_back({promote->Term, server.Log.Lsn});
      if (CutPromoted) {
        CutPromoted = false;
        Cut = {call.Target};
        return {call.Call, call.Target, ControlFailure{ControlError::Timeout, "no answer"}};
      }
      if (LosePromoteAnswer)
        return {call.Call, call.Target, ControlFailure{ControlError::Timeout, "no answer"}};
    }
    return {call.Call, call.Target, server};
  }

  void processCalls() {
    auto services = this->services();
    for (bool more = true; more;) {
      auto calls = Source.take<ControlCall>();
      auto platform = Source.take<PlatformCall>();
      more = !calls.empty() || !platform.empty();
      for (const auto &it : calls) {
        auto ctx = Source.at(Now);
        Failover.onControlAnswer(ctx, services, answer(it));
      }
      for (const auto &it : platform) {
        bool put = std::holds_alternative<PutObject>(it.Request);
        Puts += put ? 1 : 0;
        auto ctx = Source.at(Now);
        PlatformAnswer reply{it.Call, PlatformFailure{"store down"}};
        if (!StoreDown)
          reply = Store.answer(it, put && LosePutAnswers-- > 0);
        Failover.onPlatformAnswer(ctx, services, reply);
      }
      if (StoreDownAfterPut && Puts > 0)
        StoreDown = true;
    }
  }

  void run(Duration length) {
    auto end = Now + length;
    auto services = this->services();
    while (Now < end) {
      Now += 20ms;
      Candidates.update(Source.Self.Node, Policies.databases(), 1, Members);
      auto ctx = Source.at(Now);
      Failover.onTimer(ctx, services);
      processCalls();
    }
  }

  void cutPrimary(bool seenByReplicas) {
    Cut.insert(A);
    if (seenByReplicas)
      for (const auto &it : {B, C})
        Servers[it].SincePrimary = 5s;
  }

  FailoverServices services() { return {Policies, Members, Slots, Groups, Candidates}; }
  [[nodiscard]] const Group &group() const { return Groups.find(DatabaseId("db"))->Group; }

  ContextSource Source{"n1"};
  FixedPolicies Policies{DatabaseId("db")};
  FixedMembers Members;
  FakeSlots Slots;
  GroupTable Groups;
  CandidateIndex Candidates;
  ObjectStore Store;
  FailoverModule Failover;
  std::map<TargetId, TargetStatus> Servers;
  std::set<TargetId> Cut;
  std::vector<std::pair<TargetId, Term>> Promotions;
  TimePoint Now{1s};
  TimePoint RaisedAt;
  TimePoint PromotedAt;
  int Puts = 0;
  int LosePutAnswers = 0;
  bool LosePromoteAnswer = false;
  /// The promoted server is partitioned before it answers, and the old primary becomes reachable again.
  bool CutPromoted = false;
  bool StoreDown = false;
  bool StoreDownAfterPut = false;
};

} // namespace

TEST_CASE("no promotion while the primary answers") {
  Fixture f;
  f.run(30s);
  CHECK(f.Promotions.empty());
  CHECK(f.Puts == 0);
}

TEST_CASE("no promotion when only this proxy cannot reach the primary") {
  Fixture f;
  f.Slots.Others = {NodeId("n2"), NodeId("n3")};
  f.run(6s);
  f.cutPrimary(false);
  f.run(20s);
  CHECK(f.Promotions.empty());
}

TEST_CASE("a primary that the replicas miss too is replaced by the most up-to-date server after the window") {
  Fixture f;
  f.run(6s);
  f.Servers[C].Log.Lsn = 120;
  f.cutPrimary(true);
  auto cutAt = f.Now;
  f.run(5s);
  REQUIRE(f.Promotions.size() == 1);
  CHECK(f.Promotions.front().first == C);
  CHECK(f.Promotions.front().second == 2);
  CHECK(f.PromotedAt - f.RaisedAt >= f.Policies.Database.AckWindow);
  CHECK(f.PromotedAt - cutAt <= 3s);
  auto stored = parseGroup(f.Store.Objects.at("groups/db").Value);
  REQUIRE(stored);
  CHECK(stored->Primary == C);
  CHECK(stored->State == Group::Phase::Done);
}

TEST_CASE("an order whose answer was lost after the effect is recognised and carried out once") {
  Fixture f;
  f.run(6s);
  f.LosePutAnswers = 1;
  f.cutPrimary(true);
  f.run(5s);
  REQUIRE(f.Promotions.size() == 1);
  CHECK(f.Promotions.front().second == 2);
  CHECK(f.group().Primary == f.Promotions.front().first);
}

TEST_CASE("a contender that lost the conditional update promotes nothing under the winner's term") {
  Fixture f;
  f.run(6s);
  auto winner = threeServers();
  winner.Term = 2;
  winner.State = Group::Phase::Ordered;
  winner.Orderer = NodeId("n2");
  winner.ChangeId = "n2:1:1";
  f.Store.Objects["groups/db"] = {"groups/db", 2, formatGroup(winner)};
  f.cutPrimary(true);
  f.run(2s);
  CHECK(f.Promotions.empty());
}

TEST_CASE("an order that its coordinator never completed is replaced by a higher term") {
  Fixture f;
  f.run(6s);
  auto other = threeServers();
  other.Term = 2;
  other.State = Group::Phase::Ordered;
  other.ChangeId = "n2:1:1";
  f.Store.Objects["groups/db"] = {"groups/db", 2, formatGroup(other)};
  f.cutPrimary(true);
  f.run(10s);
  REQUIRE(f.Promotions.size() == 1);
  CHECK(f.Promotions.front().second == 3);
}

TEST_CASE("an outage of the store after the order does not leave the change half done") {
  Fixture f;
  f.run(6s);
  f.StoreDownAfterPut = true;
  f.cutPrimary(true);
  f.run(5s);
  REQUIRE(f.Promotions.size() == 1);
  CHECK(f.group().State == Group::Phase::Done);
  f.StoreDownAfterPut = false;
  f.StoreDown = false;
  f.run(5s);
  auto stored = parseGroup(f.Store.Objects.at("groups/db").Value);
  REQUIRE(stored);
  CHECK(stored->State == Group::Phase::Done);
  CHECK(stored->Primary == f.group().Primary);
}

TEST_CASE("an outage of the store is recorded once at its begin and once at its end") {
  Fixture f;
  f.run(3s);
  f.StoreDown = true;
  f.run(5s);
  f.StoreDown = false;
  f.run(5s);
  std::vector<std::string> records;
  for (const auto &it : f.Source.Journal)
    if (it.Kind == "store")
      records.push_back(it.What);
  CHECK(records == std::vector<std::string>{"does not answer", "answers again"});
}

TEST_CASE("without the store no promotion starts") {
  Fixture f;
  f.run(6s);
  f.StoreDown = true;
  f.cutPrimary(true);
  f.run(20s);
  CHECK(f.Promotions.empty());
}

TEST_CASE("two servers are never promoted under one term when the first did not answer") {
  Fixture f;
  f.run(6s);
  f.LosePromoteAnswer = true;
  f.cutPrimary(true);
  f.run(20s);
  std::map<Term, TargetId> promoted;
  for (const auto &[target, term] : f.Promotions) {
    auto [it, added] = promoted.try_emplace(term, target);
    CHECK(it->second == target);
  }
}

TEST_CASE("a new primary that is cut off before it answers does not lead to a second one of its term") {
  Fixture f;
  f.run(6s);
  f.CutPromoted = true;
  f.cutPrimary(true);
  f.run(15s);
  REQUIRE(f.Promotions.size() >= 2);
  std::map<Term, TargetId> promoted;
  for (const auto &[target, term] : f.Promotions) {
    auto [it, added] = promoted.try_emplace(term, target);
    CHECK(it->second == target);
  }
  CHECK(f.group().Term == f.Promotions.back().second);
}

TEST_CASE("silence measured across a pause of this proxy proves nothing") {
  Fixture f;
  f.run(6s);
  f.Now += 10s;
  f.run(500ms);
  CHECK(f.Puts == 0);
  f.run(10s);
  CHECK(f.Promotions.empty());
}

TEST_CASE("a leaving primary is replaced and not chosen again") {
  Fixture f;
  f.run(6s);
  f.Servers[A].Leaving = true;
  f.Servers[A].Log.Lsn = 500;
  f.run(5s);
  REQUIRE(f.Promotions.size() == 1);
  CHECK(f.Promotions.front().first != A);
}

TEST_CASE("the choice needs a majority and takes the highest term before the highest position") {
  auto group = threeServers();
  std::map<TargetId, TargetStatus> raised;
  raised[B].Log = {1, 900};
  CHECK(detail::chooseTarget(group, raised, {}).empty());
  raised[C].Log = {2, 100};
  CHECK(detail::chooseTarget(group, raised, {}) == C);
}
