// Tests of the lease that decides which proxy keeps the quotas of a zone.

#include "quota/tests/quotafixture.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace rosemaryhinge;
using detail::QuotaLeaseKeeper;
using rosemaryhinge::testing::QuotaFleet;

namespace {

const AvailabilityZone Zone("z0");

/// Proxies of the zone whose operations are granted by themselves, that is, that act as the holder.
std::size_t holders(QuotaFleet &fleet) {
  std::vector<SessionId> asked;
  for (auto &[name, it] : fleet.Proxies) {
    it->PeersReachable = false;
    if (it->Up)
      asked.push_back(fleet.ask(*it));
  }
  // Long enough for a proxy to try others before itself.
  fleet.pass(400ms);
  for (auto &[name, it] : fleet.Proxies)
    it->PeersReachable = true;
  return static_cast<std::size_t>(
      std::count_if(asked.begin(), asked.end(), [&](SessionId it) { return fleet.granted(it); }));
}

} // namespace

TEST_CASE("one proxy of a zone takes the lease and renews it with few calls") {
  QuotaFleet fleet(1, 5, 1'000, 1'000);
  fleet.pass(3s);
  CHECK(holders(fleet) == 1);
  const auto holder = fleet.Leases.at(Zone).Holder;
  const auto before = fleet.Leases.at(Zone).Renewals;
  fleet.pass(20s);
  CHECK(fleet.Leases.at(Zone).Holder == holder);
  CHECK(fleet.Leases.at(Zone).Renewals - before <= 7);
}

TEST_CASE("a process that is started again takes the lease of its predecessor on the same VM at once") {
  QuotaFleet fleet(1, 5, 1'000, 1'000);
  fleet.pass(3s);
  const auto holder = fleet.Leases.at(Zone).Holder;
  fleet.restart(holder.str());
  fleet.pass(1s);
  CHECK(fleet.Leases.at(Zone).Holder == holder);
  CHECK(fleet.Leases.at(Zone).Incarnation == 2);
  CHECK(holders(fleet) == 1);
}

TEST_CASE("a planned stop hands the lease over at once") {
  QuotaFleet fleet(1, 5, 1'000, 1'000);
  fleet.pass(3s);
  const auto holder = fleet.Leases.at(Zone).Holder;
  auto &leaving = fleet.proxy(holder.str());
  fleet.run(leaving,
            [&](Context &ctx, const QuotaServices &services) { leaving.Quota.startLeaving(ctx, services); });
  fleet.pass(500ms);
  CHECK(fleet.Leases.at(Zone).Holder != holder);
  CHECK(holders(fleet) == 1);
}

TEST_CASE("a lease whose holder is silent is taken over only after it was unchanged for long enough") {
  QuotaFleet fleet(1, 5, 1'000, 1'000);
  fleet.pass(3s);
  const auto holder = fleet.Leases.at(Zone).Holder;
  fleet.proxy(holder.str()).Up = false;
  const auto lostAt = fleet.Now;
  while (fleet.Leases.at(Zone).Holder == holder && fleet.Now < lostAt + 30s) {
    for (auto &[name, it] : fleet.Proxies)
      if (it->Up)
        fleet.ask(*it);
    fleet.pass(100ms);
  }
  CHECK((fleet.Now - lostAt >= QuotaLeaseKeeper::HoldTime));
  CHECK((fleet.Now - lostAt < QuotaLeaseKeeper::TakeoverTime + 4s));
}

TEST_CASE("while the store is away the holder grants on, but not longer than its lease") {
  QuotaFleet fleet(1, 5, 1'000, 1'000);
  fleet.pass(3s);
  const auto holder = fleet.Leases.at(Zone).Holder;
  fleet.StoreUp = false;
  fleet.pass(3s);
  CHECK(holders(fleet) == 1);
  fleet.pass(7s);
  CHECK(holders(fleet) == 0);
  fleet.StoreUp = true;
  // The first proxies are asked, and one of them takes the lease again.
  for (int n = 0; n < 150 && holders(fleet) == 0; ++n)
    fleet.pass(100ms);
  CHECK(holders(fleet) == 1);
}

TEST_CASE("after a restoration of the store nobody takes a lease that a proxy may still act on") {
  QuotaFleet fleet(1, 5, 1'000, 1'000);
  fleet.pass(3s);
  const auto holder = fleet.Leases.at(Zone).Holder;
  fleet.Leases.clear();
  for (auto &[name, it] : fleet.Proxies)
    it->Quota.onStoreRestored(fleet.Now);
  const auto restoredAt = fleet.Now;
  std::size_t most = 0;
  while (fleet.Now < restoredAt + 15s) {
    fleet.pass(200ms);
    most = std::max(most, holders(fleet));
  }
  CHECK(most == 1);
  CHECK(holders(fleet) == 1);
}
