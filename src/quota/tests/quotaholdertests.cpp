// Tests of the token bucket and of the division of limits.

#include "quota/internal/quotashare.h"
#include "quota/internal/tokenbucket.h"

#include <doctest/doctest.h>

using namespace rosemaryhinge;

namespace {

NodeConfig config(std::size_t zones, double slack) {
  NodeConfig out;
  out.AvailabilityZone = AvailabilityZone("z0");
  out.Quota = QuotaBounds{5s, 0.1, slack};
  for (std::size_t n = 0; n < zones; ++n)
    out.RegionByZone[AvailabilityZone("z" + std::to_string(n))] = Region("r");
  return out;
}

} // namespace

TEST_CASE("a bucket starts empty, fills at its rate up to its capacity, and gives whole tokens") {
  const TimePoint start{100s};
  detail::TokenBucket bucket(start);
  bucket.setLimits(2, 3, start);
  CHECK(bucket.take(1, 0, start) == 0);
  CHECK((bucket.timeUntil(1, 10s, start) == 500ms));
  CHECK(bucket.take(5, 0, start + 750ms) == 1);
  CHECK(bucket.take(5, 0, start + 60s) == 3);
  CHECK(bucket.take(5, 2, start + 120s) == 1);
  CHECK((bucket.timeUntil(100, 10s, start + 120s) == 10s));
  bucket.put(50, start + 120s);
  CHECK(bucket.take(50, 0, start + 120s) == 3);
}

TEST_CASE("a lowered capacity takes effect at once") {
  const TimePoint start{100s};
  detail::TokenBucket bucket(start);
  bucket.setLimits(10, 10, start);
  bucket.setLimits(1, 2, start + 5s);
  CHECK(bucket.take(10, 0, start + 5s) == 2);
}

TEST_CASE("the shares of all zones grant the limit and half of its tolerances, and none is too small") {
  const double window = 5;
  for (const double rate : {0.2, 1.7, 361.0})
    for (const double burst : {1.0, 2.0, 361.0})
      for (const double slack : {0.0, 20.0}) {
        const auto self = config(6, slack);
        const Workspace workspace{WorkspaceId("w"), {}, 0, rate, burst};
        double rates = 0;
        double capacities = 0;
        for (const auto &zone : detail::quotaZones(self)) {
          const auto share = detail::quotaShare(self, workspace, zone);
          rates += share.Rate;
          capacities += share.Capacity;
          CHECK((share.Capacity == 0 || share.Capacity >= 1));
        }
        CHECK(rates * window + capacities == doctest::Approx((rate * window + burst) * 1.05 + slack / 2));
        CHECK(rates >= rate);
      }
}
