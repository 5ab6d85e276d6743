// Tests of changes of primary after a replica has ended together with its log, which may have held the only
// copy of an acknowledged commit besides the primary's.

#include "reducer/tests/servicemodel.h"

#include <doctest/doctest.h>

using namespace rosemaryhinge;

namespace {

/// A service with a third replica c that alone receives what the primary commits.
ServiceModel serviceWithOnlyReceiver(SessionHarness &proxy) {
  ServiceModel out;
  out.play(proxy, 100ms);
  out.join("c");
  out.play(proxy, 100ms);
  REQUIRE(proxy.Logic.Catalog.server(TargetId("c")));
  out.Servers["a"].Stalled = true;
  out.Servers["b"].Stalled = true;
  return out;
}

/// Ends replica c, and plays until the proxy knows.
void endReceiver(ServiceModel &service, SessionHarness &proxy, bool announced) {
  service.end(proxy, "c", announced);
  for (int n = 0; n < 300 && proxy.Logic.Catalog.server(TargetId("c")); ++n)
    service.play(proxy, 20ms);
  REQUIRE_FALSE(proxy.Logic.Catalog.server(TargetId("c")));
}

/// The server that leads, if it has each acknowledged commit.
std::string completePrimary(const ServiceModel &service) {
  const auto name = service.primary();
  return !name.empty() && service.Servers.at(name).Log >= service.Acknowledged ? name : "";
}

} // namespace

TEST_CASE(
    "a proxy that knows nothing of the primary since a replica ended promotes no log that may lack what "
    "that replica acknowledged") {
  // Guards against the loss of acknowledged commits: a replica that left counted as irrelevant at once if it
  // was announced, else 3 s after its end, where the proxy had no sessions of the service.
  for (const bool fencing : {true, false}) {
    for (const bool announced : {true, false}) {
      CAPTURE(fencing);
      CAPTURE(announced);
      SessionHarness proxy(fencing);
      auto service = serviceWithOnlyReceiver(proxy);
      REQUIRE(service.commit());
      service.Servers["p"].ReachesProxy = false;
      endReceiver(service, proxy, announced);
      service.playWithCallers(proxy, 15s);
      CHECK(service.Orders.empty());
      CHECK_FALSE(service.LostCommits);
      service.Servers["p"].ReachesProxy = true;
      service.playWithCallers(proxy, 6s);
      CHECK_FALSE(service.LostCommits);
      CHECK_FALSE(completePrimary(service).empty());
    }
  }
}

TEST_CASE(
    "a replica that holds the primary's position of after another one ended is promoted without delay") {
  // Guards against a service without a primary although nothing can be lost.
  for (const bool announced : {true, false}) {
    CAPTURE(announced);
    SessionHarness proxy;
    auto service = serviceWithOnlyReceiver(proxy);
    REQUIRE(service.commit());
    endReceiver(service, proxy, announced);
    service.Servers["a"].Stalled = false;
    REQUIRE(service.commit());
    service.playWithCallers(proxy, 200ms);
    service.Servers["p"].ReachesProxy = false;
    service.restart(proxy, "p");
    const auto lostAt = proxy.Now;
    const auto order = service.awaitOrder(proxy, 5s);
    REQUIRE(order);
    CHECK(order->Target == TargetId("a"));
    CHECK(proxy.Now - lostAt < 1s);
    service.playWithCallers(proxy, 2s);
    CHECK_FALSE(service.LostCommits);
  }
}

TEST_CASE("a replica that lacks the primary's position of after another one ended is not promoted") {
  // Guards against the loss of acknowledged commits: they were acknowledged by the replica that ended, to
  // callers of other proxies.
  for (const bool announced : {true, false}) {
    CAPTURE(announced);
    SessionHarness proxy;
    auto service = serviceWithOnlyReceiver(proxy);
    REQUIRE(service.commit());
    endReceiver(service, proxy, announced);
    // The primary tells its position in a transaction, and nothing is committed.
    const auto reader = proxy.open("settle");
    proxy.read(reader, "r1");
    service.play(proxy, 4s);
    service.Servers["p"].ReachesProxy = false;
    service.restart(proxy, "p");
    service.playWithCallers(proxy, 15s);
    CHECK(service.Orders.empty());
    CHECK_FALSE(service.LostCommits);
  }
}

TEST_CASE("commits of a replica that ended are taken as lost after a time without the primary") {
  // Guards against a service that stays without a primary for ever.
  SessionHarness proxy;
  auto service = serviceWithOnlyReceiver(proxy);
  REQUIRE(service.commit());
  service.Servers["p"].ReachesProxy = false;
  endReceiver(service, proxy, false);
  CHECK(service.awaitOrder(proxy, 70s));
}
