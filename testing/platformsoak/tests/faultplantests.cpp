// Guards the plan of zone troubles: a trouble that hits only a part of a zone, or one that leaves no proxy in
// service, would not show what the loss of an availability zone does.

#include "platformsoak/faultplan.h"
#include "platformsoak/zones.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace rosemaryhinge::platformsoak;

namespace {

constexpr Millis LengthMs = 150'000;
constexpr Millis LeastMs = 1'000, MostMs = 6'000;

struct PlannedZone {
  Millis At;
  LoseZone Fault;
};

std::vector<PlannedZone> zonesOf(std::uint64_t seed, const Troubles &with) {
  std::vector<PlannedZone> out;
  for (const auto &it : makePlan({.Seed = seed, .LengthMs = LengthMs, .With = with}))
    if (const auto *zone = std::get_if<LoseZone>(&it.Fault))
      out.push_back({it.At, *zone});
  return out;
}

} // namespace

TEST_CASE("a zone's trouble is of all of its proxies, for 1 to 6 s, one zone after the other") {
  std::set<std::set<std::size_t>> zones;
  std::set<ZoneTrouble> troubles;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Millis free = 0;
    const auto plan = zonesOf(seed, {"zones"});
    CHECK(plan.size() >= LengthMs / 13'000);
    for (const auto &it : plan) {
      INFO("seed ", seed, " at ", it.At);
      CHECK(it.At >= free);
      CHECK(it.Fault.ForMs >= LeastMs);
      CHECK(it.Fault.ForMs <= MostMs);
      free = it.At + it.Fault.ForMs;
      zones.insert(it.Fault.Proxies);
      troubles.insert(it.Fault.Trouble);
    }
  }
  CHECK(zones == std::set{proxiesOfZone(0), proxiesOfZone(1), proxiesOfZone(2)});
  CHECK(proxiesOfZone(0) == std::set<std::size_t>{0, 1, 2});
  CHECK(troubles == std::set{ZoneTrouble::Suspended, ZoneTrouble::Cut, ZoneTrouble::Killed});
}

TEST_CASE("other troubles do not change those of zones, and without the name there are none") {
  const auto alone = zonesOf(7, {"zones"});
  const auto beside = zonesOf(7, {"zones", "replace", "kill", "suspend", "withdraw"});
  REQUIRE(alone.size() == beside.size());
  for (std::size_t n = 0; n < alone.size(); ++n) {
    CHECK(alone[n].At == beside[n].At);
    CHECK(alone[n].Fault.Proxies == beside[n].Fault.Proxies);
    CHECK(alone[n].Fault.Trouble == beside[n].Fault.Trouble);
    CHECK(alone[n].Fault.ForMs == beside[n].Fault.ForMs);
  }
  CHECK(zonesOf(7, {"replace", "kill"}).empty());
}
