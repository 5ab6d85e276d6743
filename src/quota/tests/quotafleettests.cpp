// Tests of quotas over a fleet: the sum of what is granted against the limit, and what is refused below it.

#include "quota/tests/quotafixture.h"

#include <doctest/doctest.h>

using namespace rosemaryhinge;
using rosemaryhinge::testing::QuotaFleet;

namespace {

constexpr double Rate = 60;
constexpr double Burst = 60;
constexpr double Slack = 20;
constexpr double Overshoot = 0.1;
constexpr Duration Window = 5s;

/// Load on a fleet, with the times of what was granted.
class Load {
public:
  explicit Load(QuotaFleet &fleet) : Fleet(fleet) {
    for (const auto &[name, it] : Fleet.Proxies)
      Names.push_back(name);
  }

  /// Operations at random proxies that are up, at a rate a second.
  void run(Duration time, double rate) {
    for (const auto end = Fleet.Now + time; Fleet.Now < end;) {
      Owed += rate * std::chrono::duration<double>(QuotaFleet::Step).count();
      for (; Owed >= 1; --Owed)
        ask();
      Fleet.pass(QuotaFleet::Step);
      collect();
    }
  }
  /// Lets all operations be decided.
  void finish() {
    Fleet.pass(1s);
    collect();
  }
  /// Most operations that were granted in any window.
  [[nodiscard]] std::size_t mostGranted() const {
    std::size_t out = 0;
    auto first = GrantedAt.begin();
    for (auto last = GrantedAt.begin(); last != GrantedAt.end(); ++last) {
      while (*last - *first > Window)
        ++first;
      out = std::max(out, static_cast<std::size_t>(last - first) + 1);
    }
    return out;
  }

  std::size_t Asked = 0;
  std::size_t Refused = 0;
  std::vector<TimePoint> GrantedAt;

private:
  void ask() {
    auto &proxy = *Fleet.Proxies.at(Names[Random() % Names.size()]);
    if (!proxy.Up)
      return;
    ++Asked;
    Open.push_back(Fleet.ask(proxy));
  }
  void collect() {
    std::erase_if(Open, [&](SessionId it) {
      if (!Fleet.Decisions.contains(it))
        return false;
      if (Fleet.granted(it))
        GrantedAt.push_back(Fleet.Now);
      else
        ++Refused;
      return true;
    });
  }

  QuotaFleet &Fleet;
  std::vector<NodeId> Names;
  std::vector<SessionId> Open;
  std::mt19937_64 Random{3};
  double Owed = 0;
};

double limit(double rate = Rate, double burst = Burst) {
  const double seconds = std::chrono::duration<double>(Window).count();
  return (rate * seconds + burst) * (1 + Overshoot) + Slack;
}

} // namespace

TEST_CASE("below its limit a workspace is refused nothing, however uneven its load is over the zones") {
  QuotaFleet fleet(3, 3, Rate, Burst);
  fleet.pass(5s);
  Load load(fleet);
  load.run(10s, Rate / 1.6);
  load.finish();
  CHECK(load.Asked > 300);
  CHECK(load.Refused == 0);
  // All of the load moves to one proxy: its zone has a third of the rate.
  std::size_t refused = 0;
  for (int n = 0; n < 300; ++n) {
    const auto id = fleet.ask(fleet.proxy("n1-1"));
    fleet.pass(30ms);
    fleet.pass(20ms);
    refused += fleet.Decisions.contains(id) && !fleet.granted(id) ? 1 : 0;
  }
  CHECK(refused == 0);
}

TEST_CASE("a small workspace is served although its limit is less than a token a second in each zone") {
  QuotaFleet fleet(6, 3, 1.7, 2);
  fleet.pass(15s);
  Load load(fleet);
  load.run(60s, 1.0);
  load.finish();
  CHECK(load.Asked > 50);
  CHECK(load.Refused * 50 <= load.Asked);
}

TEST_CASE("a workspace that sends seven times its usual load stays within its limit in any window") {
  QuotaFleet fleet(3, 3, Rate, Burst);
  fleet.pass(15s);
  Load load(fleet);
  load.run(20s, Rate / 1.6 * 7);
  load.finish();
  CHECK(static_cast<double>(load.mostGranted()) <= limit());
  // It gets what it is allowed: at least its rate.
  CHECK(static_cast<double>(load.GrantedAt.size()) >= Rate * 20 * 0.9);
}

TEST_CASE("holders that are killed in a row, and restarted, never make up for what was granted before") {
  QuotaFleet fleet(3, 3, Rate, Burst);
  fleet.pass(15s);
  Load load(fleet);
  for (int n = 0; n < 10; ++n) {
    for (const auto &[zone, lease] : fleet.Leases)
      fleet.restart(lease.Holder.str());
    load.run(700ms, Rate / 1.6 * 7);
  }
  load.finish();
  CHECK(static_cast<double>(load.mostGranted()) <= limit());
}

TEST_CASE(
    "when the holder of a zone loses power, other zones serve its callers until the lease is taken over") {
  QuotaFleet fleet(3, 3, Rate, Burst);
  fleet.pass(15s);
  const auto zone = AvailabilityZone("z1");
  const auto lost = fleet.Leases.at(zone).Holder;
  fleet.proxy(lost.str()).Up = false;
  Load load(fleet);
  load.run(4s, Rate / 1.6);
  load.finish();
  CHECK(load.Refused * 50 <= load.Asked);
  load.run(12s, Rate / 1.6);
  CHECK(fleet.Leases.at(zone).Holder != lost);
  load.finish();
  CHECK(static_cast<double>(load.mostGranted()) <= limit());
}

TEST_CASE("a holder that is cut off from the store hands over, and the limit holds while it is") {
  QuotaFleet fleet(3, 3, Rate, Burst);
  fleet.pass(15s);
  const auto zone = AvailabilityZone("z0");
  const auto former = fleet.Leases.at(zone).Holder;
  fleet.proxy(former.str()).StoreReachable = false;
  Load load(fleet);
  load.run(10s, Rate / 1.6 * 7);
  CHECK(fleet.Leases.at(zone).Holder != former);
  load.run(10s, Rate / 1.6 * 7);
  load.finish();
  CHECK(static_cast<double>(load.mostGranted()) <= limit());
}

TEST_CASE("a holder that nobody reaches stops before another proxy keeps the quotas of its zone") {
  QuotaFleet fleet(2, 3, Rate, Burst);
  fleet.pass(15s);
  const auto zone = AvailabilityZone("z0");
  const auto former = fleet.Leases.at(zone).Holder;
  auto &cut = fleet.proxy(former.str());
  cut.StoreReachable = false;
  cut.PeersReachable = false;
  const auto cutAt = fleet.Now;
  bool bothGranted = false;
  while (fleet.Now < cutAt + 16s) {
    const auto own = fleet.ask(cut);
    fleet.pass(200ms);
    bothGranted = bothGranted || (fleet.granted(own) && fleet.Leases.at(zone).Holder != former);
  }
  CHECK_FALSE(bothGranted);
}

TEST_CASE("a lowered limit binds within a window, also for a workspace that sends more") {
  QuotaFleet fleet(3, 3, Rate, Burst);
  fleet.pass(15s);
  Load before(fleet);
  before.run(5s, Rate / 1.6 * 7);
  fleet.configure(Rate / 6, Burst / 6);
  Load after(fleet);
  after.run(15s, Rate / 1.6 * 7);
  after.finish();
  CHECK(static_cast<double>(after.mostGranted()) <= limit(Rate / 6, Burst / 6));
}

TEST_CASE("callers that move to other proxies take no tokens with them") {
  // Guards against a limit that grows when the load of one zone goes to others: both had granted it.
  QuotaFleet fleet(3, 3, Rate, Burst);
  fleet.pass(15s);
  Load load(fleet);
  load.run(3s, Rate / 1.6 * 7);
  for (int n = 0; n < 3; ++n)
    fleet.proxy("n0-" + std::to_string(n)).Up = false;
  load.run(6s, Rate / 1.6 * 7);
  load.finish();
  CHECK(static_cast<double>(load.mostGranted()) <= limit());
}

TEST_CASE("after an outage of the store, holders go on with what they had left") {
  // Guards against empty buckets after each outage: what fits into the limit was refused.
  QuotaFleet fleet(3, 3, Rate, Burst);
  fleet.pass(15s);
  fleet.StoreUp = false;
  fleet.pass(12s);
  fleet.StoreUp = true;
  fleet.pass(3s);
  Load load(fleet);
  load.run(200ms, Rate);
  load.finish();
  CHECK(load.Refused == 0);
}

TEST_CASE("a planned stop hands over what is left, so that a burst fits as before") {
  QuotaFleet fleet(1, 3, Rate, Burst);
  fleet.pass(15s);
  auto &leaving = fleet.proxy(fleet.Leases.at(AvailabilityZone("z0")).Holder.str());
  fleet.run(leaving,
            [&](Context &ctx, const QuotaServices &services) { leaving.Quota.startLeaving(ctx, services); });
  leaving.Up = false;
  fleet.pass(300ms);
  Load load(fleet);
  // Half of the burst is in the bucket.
  load.run(100ms, Burst * 4);
  load.finish();
  CHECK(load.Refused == 0);
}
