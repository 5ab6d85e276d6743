// Randomised and planned runs of how proxies learn the configuration.

#include "directoryworld/world.h"

#include <doctest/doctest.h>

#include <cstdlib>
#include <functional>

using namespace rosemaryhinge;
using namespace rosemaryhinge::directoryworld;

namespace {

constexpr std::uint64_t Seeds = 20;
constexpr std::size_t ManyRoutes = 1'400;
/// An availability zone of the largest fleet, and the time in which a configuration is in force there.
constexpr std::size_t LargeZone = 87;
constexpr Duration LargeFleetBound = 4s;

WorldOptions planned() {
  WorldOptions out;
  out.Faults = 0;
  out.DrawnChanges = false;
  return out;
}

void check(const WorldResult &result) {
  for (const auto &it : result.Violations)
    FAIL_CHECK(it);
  if (std::getenv("RH_DIRECTORY_SEEDS"))
    MESSAGE("slowest change ", result.SlowestChange / 1ms, " ms");
  if (std::getenv("RH_DIRECTORY_LOG"))
    for (const auto &it : result.Log)
      MESSAGE(it);
  CHECK(result.Sessions > 0);
}

using Plan = std::function<void(World &, fakes::Dice &)>;

/// Plays seeds 1 to RH_DIRECTORY_SEEDS, or RH_DIRECTORY_SEED alone, with the faults of the plan besides.
void playSeeds(
    WorldOptions options, const Plan &plan = [](World &, fakes::Dice &) {}) {
  const char *one = std::getenv("RH_DIRECTORY_SEED");
  const char *count = std::getenv("RH_DIRECTORY_SEEDS");
  const auto first = one ? std::strtoull(one, nullptr, 10) : 1;
  const auto last = one ? first : count ? std::strtoull(count, nullptr, 10) : Seeds;
  for (options.Seed = first; options.Seed <= last; ++options.Seed) {
    CAPTURE(options.Seed);
    World world(options);
    fakes::Dice random(options.Seed);
    plan(world, random);
    check(world.run());
  }
}

} // namespace

TEST_CASE("no calm proxy refuses what was confirmed before the bound, whatever happens to the others") {
  playSeeds({});
}

TEST_CASE("no calm proxy refuses what was confirmed before the bound when the configuration is large") {
  WorldOptions options;
  options.Routes = ManyRoutes;
  playSeeds(options);
}

TEST_CASE("a proxy that the store leaves without an answer learns of changes from others") {
  // Guards against refusals for a route that others know while the store is asked again and again.
  World world(planned());
  const auto begin = TimePoint() + World::StartupTime;
  for (std::size_t n = 0; n < 10; ++n)
    world.refuseAt(begin, n, 30s, StoreRefusal::Silent);
  world.changeAt(begin + 500ms);
  check(world.run());
}

TEST_CASE("a change of a large configuration reaches a large availability zone within the bound") {
  // Guards against replies that are whole, late and dropped, so that each proxy asks for the same again.
  auto options = planned();
  options.Proxies = LargeZone;
  options.Routes = ManyRoutes;
  options.PropagationBound = LargeFleetBound;
  World world(options);
  for (int n = 0; n < 8; ++n)
    world.changeAt(TimePoint() + World::StartupTime + n * 1500ms);
  check(world.run());
}

TEST_CASE("the bound holds when a watcher is cut off from the store and the next one then ends") {
  // Guards against waits for one proxy after the other that are longer than the bound together.
  auto options = planned();
  options.Routes = ManyRoutes;
  options.PropagationBound = LargeFleetBound;
  playSeeds(options, [](World &world, fakes::Dice &random) {
    const auto cut = TimePoint() + World::StartupTime + random.between(7s, 10s);
    world.cutFromStoreAt(cut, 0, 9s);
    world.killAt(cut + random.between(0ms, 3s), 1, 9s, true);
    world.changeAt(cut + random.between(0ms, 300ms));
  });
}
