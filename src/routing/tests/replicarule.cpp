// Replica read rule: a session must see its own writes and the freshness it requires.

#include "routing/replicarule.h"
#include "routing/lagtable.h"

#include <doctest/doctest.h>

using namespace rosemaryhinge;

namespace {

const TimePoint Now{100s};

struct Fixture {
  GroupTable Groups;
  GroupView View;
  TargetView Replica;

  Fixture() {
    View.Group.Term = 2;
    for (const char *it : {"s0", "s1", "s2"})
      View.Group.Servers.push_back({TargetId(it), "", {}, {}, 3});
    confirmTerm(2);
    View.Group.History = {{1, 0}, {2, 1000}};
    Replica.SampledAt = Now;
  }
  void confirmTerm(Term raised) {
    for (const char *it : {"s1", "s2"}) {
      View.Targets[TargetId(it)].SampledAt = Now;
      View.Targets[TargetId(it)].Status.RaisedTerm = raised;
    }
  }
  ReplicaVerdict ask(const ReadRequirement &need, Position at, std::optional<Duration> lag = std::nullopt,
                     ReadPolicy policy = ReadPolicy::SessionToken) {
    Replica.Status.Log = at;
    return mayReadFromReplica(Groups, View, Replica, need, lag, Now, Rules{}, policy);
  }
};

} // namespace

TEST_CASE_FIXTURE(Fixture, "a replica below the token must not serve the session") {
  CHECK(ask({Position{2, 1200}, {}, 0ms}, {2, 1199}) == ReplicaVerdict::No);
  CHECK(ask({Position{2, 1200}, {}, 0ms}, {2, 1200}) == ReplicaVerdict::Yes);
  CHECK(ask({Position{1, 1000}, {}, 0ms}, {2, 1100}) == ReplicaVerdict::Yes);
}

TEST_CASE_FIXTURE(Fixture, "a server with discarded log serves nobody, not even without a token") {
  CHECK(ask({}, {1, 1001}) == ReplicaVerdict::No);
}

TEST_CASE_FIXTURE(Fixture, "a stated age needs a proof from the primary's own samples") {
  const ReadRequirement requirement{std::nullopt, 200ms, 0ms};
  CHECK(ask(requirement, {2, 1500}) == ReplicaVerdict::No); // Sampled recently, but its age is not proven.
  View.Samples.push_back({Now - 300ms, {2, 1400}});
  CHECK(ask(requirement, {2, 1500}) == ReplicaVerdict::No);
  View.Samples.push_back({Now - 150ms, {2, 1500}});
  CHECK(ask(requirement, {2, 1500}) == ReplicaVerdict::Yes);
  CHECK(ask(requirement, {2, 1499}) == ReplicaVerdict::No);
}

TEST_CASE_FIXTURE(Fixture, "a stated age does not hide what the session itself just wrote") {
  View.Samples.push_back({Now - 50ms, {2, 1400}});
  CHECK(ask({Position{2, 1450}, 2s, 0ms}, {2, 1420}) == ReplicaVerdict::No);
  CHECK(ask({Position{2, 1450}, 2s, 0ms}, {2, 1450}) == ReplicaVerdict::Yes);
}

TEST_CASE_FIXTURE(Fixture, "an old token does not excuse data above the stated age") {
  View.Samples.push_back({Now - 10min, {2, 1100}});
  View.Samples.push_back({Now - 50ms, {2, 9000}});
  CHECK(ask({Position{2, 1010}, 2s, 0ms}, {2, 1200}) == ReplicaVerdict::No);
}

TEST_CASE_FIXTURE(Fixture, "samples of a primary that was cut off prove no age") {
  View.Samples.push_back({Now, {2, 1500}});
  confirmTerm(3);
  CHECK(ask({std::nullopt, 200ms, 0ms}, {2, 1500}) == ReplicaVerdict::No);
}

TEST_CASE_FIXTURE(Fixture, "a read waits only for a replica that is expected in time") {
  View.Samples.push_back({Now - 90ms, {2, 1200}});
  const ReadRequirement requirement{Position{2, 1200}, {}, 30ms};
  CHECK(ask(requirement, {2, 1100}, 100ms) == ReplicaVerdict::Soon);
  CHECK(ask(requirement, {2, 1100}, 121ms) == ReplicaVerdict::No);
  CHECK(ask(requirement, {2, 1100}) == ReplicaVerdict::No);
}

TEST_CASE_FIXTURE(Fixture, "the baseline keeps sessions that have written on the primary") {
  CHECK(ask({Position{2, 1}, {}, 0ms}, {2, 1200}, {}, ReadPolicy::StickyPrimary) == ReplicaVerdict::No);
  CHECK(ask({}, {2, 1200}, {}, ReadPolicy::StickyPrimary) == ReplicaVerdict::Yes);
}

TEST_CASE_FIXTURE(Fixture, "a quiet database does not make a slow replica look fast") {
  LagTable lags;
  const TargetId target("s1");
  auto see = [&](TimePoint at, Position primary, Position replica) {
    View.Samples.push_back({at, primary});
    Replica.SampledAt = at;
    Replica.Status.Log = replica;
    lags.update(Groups, View, target, Replica);
  };
  see(Now, {2, 1000}, {2, 1000});
  for (int it = 1; it <= 50; ++it)
    see(Now + it * 100ms, {2, 1000 + Lsn(it)}, {2, 1000 + Lsn(it) - 2}); // 200 ms behind.
  const auto busy = lags.find(target);
  REQUIRE(busy);
  CHECK(*busy > 150ms);
  for (int it = 51; it <= 100; ++it)
    see(Now + it * 100ms, {2, 1050}, {2, 1050});
  CHECK(lags.find(target) == busy);
}
