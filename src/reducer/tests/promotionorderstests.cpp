// Tests of orders that take effect late: promotions without an answer, pauses that end, and servers that left
// with their logs.

#include "reducer/tests/servicemodel.h"

#include <doctest/doctest.h>

using namespace rosemaryhinge;

namespace {

const DatabaseId Yard("yard");

/// Another proxy's claim, whose holder has ordered the promotion of b and stopped.
Claim claimOfAnother(std::uint64_t revision) {
  Claim out;
  out.Service = Yard;
  out.Holder = NodeId("n2");
  out.Nonce = "8.1";
  out.From = TargetId("p");
  out.Candidate = TargetId("b");
  out.Revision = revision;
  return out;
}

/// A service whose primary only the proxy has lost, and whose replica b has the longer log. Orders of
/// promotions get no answer.
ServiceModel serviceWithLostPrimary() {
  ServiceModel out;
  out.Servers["p"].ReachesProxy = false;
  out.Servers["p"].Log = {1, 20};
  out.Servers["b"].Log = {1, 20};
  out.Acknowledged = {1, 20};
  out.PromotionsUnanswered = true;
  return out;
}

/// Plays with callers' work until the proxy holds the claim and asks the servers for their logs. Replica a
/// does not answer, so nothing is chosen.
void playToSelection(ServiceModel &service, SessionHarness &proxy) {
  service.Servers["a"].ReachesProxy = false;
  for (int n = 0; n < 300 && service.Stored.Holder != proxy.Logic.Self.Node; ++n)
    service.playWithCallers(proxy, 20ms);
  REQUIRE(service.Stored.Holder == proxy.Logic.Self.Node);
  service.playWithCallers(proxy, 200ms);
}

/// The primary answers the proxy again, and then replica a, too.
void reconnect(ServiceModel &service, SessionHarness &proxy) {
  service.Servers["p"].ReachesProxy = true;
  service.playWithCallers(proxy, 400ms);
  service.Servers["a"].ReachesProxy = true;
}

/// Plays until an order was accepted, and lets it take effect.
void carryToEnd(ServiceModel &service, SessionHarness &proxy) {
  service.PromotionsUnanswered = false;
  for (int n = 0; n < 300 && !service.AcceptedToken; ++n)
    service.playWithCallers(proxy, 40ms);
  service.playWithCallers(proxy, 4s);
}

/// The change ends with the server for which the first order may still be carried out.
void checkCarriedToEnd(const ServiceModel &service, std::uint64_t firstToken) {
  CHECK_FALSE(service.ResumedBeforeAccepted);
  CHECK_FALSE(service.EndedBeforeAccepted);
  REQUIRE(service.AcceptedToken);
  CHECK(*service.AcceptedToken > firstToken);
  CHECK(service.Orders.back().Target == TargetId("b"));
  CHECK(service.primary() == "b");
  CHECK_FALSE(service.LostCommits);
}

} // namespace

TEST_CASE("an order without an answer is followed by one that is accepted before anything is resumed, also "
          "if the primary answers in the next claim") {
  // Guards against lost commits: the next claim of the same proxy forgot the order, and it took effect late.
  SessionHarness proxy;
  auto service = serviceWithLostPrimary();
  const auto first = service.awaitOrder(proxy, 5s);
  REQUIRE(first);
  REQUIRE(first->Target == TargetId("b"));
  const auto claims = service.Claims;
  service.Servers["a"].ReachesProxy = false;
  for (int n = 0; n < 1000 && service.Claims == claims; ++n)
    service.playWithCallers(proxy, 20ms);
  REQUIRE(service.Claims > claims);
  service.playWithCallers(proxy, 200ms);
  reconnect(service, proxy);
  service.playWithCallers(proxy, 6s);
  carryToEnd(service, proxy);
  checkCarriedToEnd(service, first->Token);
}

TEST_CASE("an order without an answer is followed by one that is accepted, although the primary answers "
          "before the change is claimed again") {
  // Guards against lost commits: without a reason for a change, nobody sent a newer order.
  SessionHarness proxy;
  auto service = serviceWithLostPrimary();
  const auto first = service.awaitOrder(proxy, 5s);
  REQUIRE(first);
  // Another proxy takes the claim over and stops.
  service.Stored = claimOfAnother(++service.Revision);
  service.playWithCallers(proxy, 1s);
  REQUIRE_FALSE(proxy.Logic.Leadership.changeInProgress());
  reconnect(service, proxy);
  service.playWithCallers(proxy, 8s);
  carryToEnd(service, proxy);
  checkCarriedToEnd(service, first->Token);
}

TEST_CASE("a proxy that takes over a claim with an order sends one of its own before it resumes anything, "
          "although the primary answers") {
  // Guards against lost commits: no newer token prevented the late order of a proxy that had stopped.
  SessionHarness proxy;
  auto service = serviceWithLostPrimary();
  service.Stored = claimOfAnother(++service.Revision);
  const auto ordered = service.Stored.Revision;
  playToSelection(service, proxy);
  reconnect(service, proxy);
  service.playWithCallers(proxy, 6s);
  carryToEnd(service, proxy);
  checkCarriedToEnd(service, ordered);
}

TEST_CASE("a late promotion of a claim that was taken over loses no acknowledged commit") {
  // Guards against the loss of acknowledged commits: the change was given up since the primary answered
  // again, a replica joined and acknowledged commits, and the order was carried out after that.
  SessionHarness proxy;
  auto service = serviceWithLostPrimary();
  service.PromotionsUnanswered = false;
  service.Servers["a"].Paused = true;
  service.Servers["b"].Paused = true;
  service.Stored = claimOfAnother(++service.Revision);
  const PromotionCall late{{}, 900ms, Yard, TargetId("b"), service.Stored.Revision};
  playToSelection(service, proxy);
  reconnect(service, proxy);
  service.playWithCallers(proxy, 1s);
  service.join("c");
  for (int n = 0; n < 100; ++n) {
    service.commit();
    if (n == 25)
      service.carryOutLate(late, proxy.Now);
    service.playWithCallers(proxy, 20ms);
  }
  CHECK(service.Acknowledged > Position{1, 20});
  CHECK_FALSE(service.LostCommits);
}

namespace {

/// A service whose primary only the proxy has lost, and whose candidate b receives nothing any more.
ServiceModel serviceWithStalledCandidate() {
  auto out = serviceWithLostPrimary();
  out.PromotionsUnanswered = false;
  out.Servers["b"].Stalled = true;
  return out;
}

} // namespace

TEST_CASE("a replica whose pause ends before the order is paused and compared again") {
  // Guards against the loss of acknowledged commits: a RESUME of an earlier change is carried out seconds
  // late, or the replica starts again, and the change still believes the reply to its PAUSE.
  for (const bool fencing : {true, false}) {
    for (const bool restarts : {true, false}) {
      CAPTURE(fencing);
      CAPTURE(restarts);
      SessionHarness proxy(fencing);
      auto service = serviceWithStalledCandidate();
      for (int n = 0; n < 300 && service.Claims == 0; ++n)
        service.playWithCallers(proxy, 20ms);
      service.StoreDelayed = true;
      for (int n = 0; n < 300 && !service.PausedAt.contains("a"); ++n)
        service.playWithCallers(proxy, 20ms);
      REQUIRE(service.PausedAt.contains("a"));
      REQUIRE(service.Orders.empty());
      if (restarts)
        service.restart(proxy, "a");
      else
        service.Servers["a"].Paused = false;
      CHECK(service.commit());
      service.playWithCallers(proxy, 300ms);
      service.StoreDelayed = false;
      service.playWithCallers(proxy, 6s);
      CHECK(service.PausedAt["a"].size() >= 2);
      CHECK_FALSE(service.LostCommits);
      CHECK(service.primary() == "a");
    }
  }
}

TEST_CASE("a replica whose pause ends after the order is paused again before the promotion takes effect") {
  // Guards against the loss of acknowledged commits: between the order and its effect, the replica would
  // acknowledge what the ordered server lacks.
  for (const bool fencing : {true, false}) {
    for (const bool restarts : {true, false}) {
      CAPTURE(fencing);
      CAPTURE(restarts);
      SessionHarness proxy(fencing);
      auto service = serviceWithStalledCandidate();
      REQUIRE(service.awaitOrder(proxy, 10s));
      REQUIRE(service.PausedAt.contains("a"));
      if (restarts)
        service.restart(proxy, "a");
      else
        service.Servers["a"].Paused = false;
      service.playWithCallers(proxy, 300ms);
      REQUIRE(service.primary() == "p");
      service.commit();
      service.playWithCallers(proxy, 4s);
      CHECK(service.PausedAt["a"].size() >= 2);
      CHECK_FALSE(service.LostCommits);
    }
  }
}

TEST_CASE(
    "an accepted order whose server does not lead in time is followed by a later one before anything is "
    "resumed") {
  // Guards against lost commits: the change was given up and the replicas were resumed, while the order could
  // still take effect.
  SessionHarness proxy;
  auto service = serviceWithLostPrimary();
  service.PromotionsUnanswered = false;
  service.PromotionsDelayed = true;
  const auto first = service.awaitOrder(proxy, 5s);
  REQUIRE(first);
  REQUIRE(first->Target == TargetId("b"));
  service.Servers["p"].ReachesProxy = true;
  const auto resumedBefore = service.Resumed;
  for (int n = 0; n < 500 && service.Orders.back().Token == first->Token; ++n)
    service.playWithCallers(proxy, 20ms);
  CHECK(service.Orders.back().Token > first->Token);
  CHECK(service.Resumed == resumedBefore);
  CHECK_FALSE(service.Stored.Done);
  service.PromotionsDelayed = false;
  service.playWithCallers(proxy, 8s);
  CHECK_FALSE(service.primary().empty());
  CHECK(service.Stored.Done);
  CHECK_FALSE(service.LostCommits);
}

TEST_CASE("after an accepted order whose server ends before it leads, another server is promoted") {
  // Guards against a service without a primary.
  SessionHarness proxy;
  auto service = serviceWithLostPrimary();
  service.Servers["a"].Log = {1, 20};
  service.PromotionsUnanswered = false;
  const auto first = service.awaitOrder(proxy, 5s);
  REQUIRE(first);
  service.end(proxy, first->Target.str(), false);
  service.Servers["p"].Role = TargetRole::Replica;
  service.Servers["p"].ReachesProxy = true;
  service.playWithCallers(proxy, 20s);
  CHECK_FALSE(service.primary().empty());
  CHECK(service.Orders.back().Token > first->Token);
  CHECK(service.Stored.Done);
  CHECK_FALSE(service.LostCommits);
}

TEST_CASE("an order without an answer stays outstanding while the entry of its server is gone") {
  // Guards against lost commits: an entry also lapses while its server runs, and the order is carried out
  // after the replicas have been resumed.
  SessionHarness proxy;
  auto service = serviceWithLostPrimary();
  const auto first = service.awaitOrder(proxy, 5s);
  REQUIRE(first);
  // Another proxy takes the claim over and stops.
  service.Stored = claimOfAnother(++service.Revision);
  service.playWithCallers(proxy, 1s);
  REQUIRE_FALSE(proxy.Logic.Leadership.changeInProgress());
  service.unlist("b");
  reconnect(service, proxy);
  service.playWithCallers(proxy, 8s);
  carryToEnd(service, proxy);
  CHECK_FALSE(service.ResumedBeforeAccepted);
  CHECK_FALSE(service.EndedBeforeAccepted);
  REQUIRE(service.AcceptedToken);
  CHECK(*service.AcceptedToken > first->Token);
  CHECK_FALSE(service.primary().empty());
  CHECK_FALSE(service.LostCommits);
}

TEST_CASE("an order without an answer stays outstanding if its repetition is refused as fenced") {
  // Guards against lost commits: the refusal also says that the server is not running, and the first order is
  // carried out once it is.
  SessionHarness proxy;
  auto service = serviceWithLostPrimary();
  const auto first = service.awaitOrder(proxy, 5s);
  REQUIRE(first);
  service.PromotionsUnanswered = false;
  service.PromotionsFenced = true;
  const auto orders = service.Orders.size();
  for (int n = 0; n < 100 && service.Orders.size() == orders; ++n)
    service.playWithCallers(proxy, 20ms);
  REQUIRE(service.Orders.size() > orders);
  reconnect(service, proxy);
  service.playWithCallers(proxy, 4s);
  CHECK_FALSE(service.ResumedBeforeAccepted);
  CHECK_FALSE(service.EndedBeforeAccepted);
  service.PromotionsFenced = false;
  carryToEnd(service, proxy);
  checkCarriedToEnd(service, first->Token);
}
