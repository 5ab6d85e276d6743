// Restorations of the store from an older copy, with changes of the configuration and starts of proxies
// beside them.

#include "sessionworld/world.h"

#include <algorithm>

namespace rosemaryhinge::sessionworld {

namespace {

constexpr Duration MaxRestorationInterval = 5s;
constexpr Duration MaxOutage = 2s;
constexpr Duration MinCopyAge = 1s;
constexpr Duration MaxCopyAge = 9s;
constexpr Duration ConfigurationInterval = 900ms;
/// Probability that a process is killed shortly before or after the return of the store. The next one starts
/// while the store has the older copy.
constexpr double KillProbability = 0.5;
constexpr Duration MaxKillDelay = 1s;
constexpr Duration ProcessStartTime = 300ms;

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
  // Sessions in steady use may not be closed, so none is killed beside them.
  // Drawn apart, so that the restorations of a seed stay as they were.
  fakes::Dice random(static_cast<std::uint64_t>(age.count()));
  if (!SteadyCallers.empty() || !random.chance(KillProbability))
    return;
  const auto place = random.below(Live.size());
  Queue.after(std::max(Duration{}, outage - ProcessStartTime) + random.between(0ms, MaxKillDelay),
              [this, place] {
                if (Proxies.size() < MaxProcesses)
                  endProxy(Live[place]);
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
