// Restorations of the store from an older copy, and changes of the configuration beside them.

#include "sessionworld/world.h"

#include <algorithm>

namespace rosemaryhinge::sessionworld {

namespace {

constexpr Duration MaxRestorationInterval = 5s;
constexpr Duration MaxOutage = 2s;
constexpr Duration MinCopyAge = 1s;
constexpr Duration MaxCopyAge = 9s;
constexpr Duration ConfigurationInterval = 900ms;

} // namespace

TimePoint World::planStoreRestorations() {
  auto at = Queue.now();
  for (std::size_t n = 0; n < Options.StoreRestorations; ++n) {
    at += PlannedRandom.between(500ms, MaxRestorationInterval);
    Queue.at(at, [this] { restoreStore(); });
  }
  if (Options.StoreRestorations > 0)
    for (auto change = Queue.now(); change < at + MaxOutage; change += ConfigurationInterval)
      Queue.at(change, [this] {
        if (!Store.Down)
          Store.publishConfiguration();
      });
  return at;
}

void World::restoreStore() {
  Store.Down = true;
  const auto outage = PlannedRandom.between(10ms, MaxOutage);
  const auto age = PlannedRandom.between(MinCopyAge, MaxCopyAge);
  Queue.after(outage, [this, age] {
    Store.Down = false;
    Store.restore(age);
  });
}

void World::checkConfigurations() {
  for (const auto &index : Live) {
    const auto &proxy = *Proxies[index];
    const auto version = proxy.Logic.Catalog.configuration().Version;
    if (!proxy.Ended && !proxy.Paused && version != Store.configurationVersion())
      Result.Violations.push_back("proxy " + proxy.Logic.Self.Node.str() + " has version " +
                                  std::to_string(version) + " of the configuration in force, not " +
                                  std::to_string(Store.configurationVersion()));
  }
}

} // namespace rosemaryhinge::sessionworld
