// Faults and changes of the configuration, drawn from the seed.

#include "directoryworld/world.h"

#include <algorithm>

namespace rosemaryhinge::directoryworld {

namespace {

enum class FaultKind : std::uint8_t { Kill, KillMany, Cut, CutMany, CutFromStore, Refuse, Compact };
constexpr std::uint64_t FaultKinds = 7;
/// Of faults of one proxy, the share that hits one of those that watch the store.
constexpr double WatcherShare = 0.7;
constexpr std::size_t Watchers = 2;
constexpr double ManyShare = 0.4;
/// Without faults at the end, so that all proxies are calm again and are judged.
constexpr Duration CalmEnd = 13s;
constexpr Duration MinChangeInterval = 700ms;
constexpr Duration MaxChangeInterval = 6s;

} // namespace

void World::planFaults() {
  const auto begin = TimePoint() + StartupTime;
  const auto end = TimePoint() + Options.Length - CalmEnd;
  for (std::size_t n = 0; n < Options.Faults; ++n)
    planFault(Random.between(begin.time_since_epoch(), end.time_since_epoch()) + TimePoint());
  if (!Options.DrawnChanges)
    return;
  for (auto at = begin; at < end + CalmEnd / 2; at += Random.between(MinChangeInterval, MaxChangeInterval))
    changeAt(at);
}

void World::planFault(TimePoint at) {
  const auto kind = static_cast<FaultKind>(Random.below(FaultKinds));
  const auto length = Random.between(500ms, 9s);
  const bool power = Random.chance(0.5);
  const auto one = Random.chance(WatcherShare) ? Random.below(Watchers) : Random.below(Options.Proxies);
  const auto chosen = [this](auto hit) {
    for (std::size_t n = 0; n < Proxies.size(); ++n)
      if (Random.chance(ManyShare))
        hit(n);
  };
  switch (kind) {
  case FaultKind::Kill:
    killAt(at, one, length, power);
    break;
  case FaultKind::KillMany:
    chosen([&](std::size_t n) { killAt(at, n, length, power); });
    break;
  case FaultKind::Cut:
    cutAt(at, one, length);
    break;
  case FaultKind::CutMany:
    chosen([&](std::size_t n) { cutAt(at, n, length); });
    break;
  case FaultKind::CutFromStore:
    cutFromStoreAt(at, one, length);
    break;
  case FaultKind::Refuse: {
    const auto how = Random.chance(0.5) ? StoreRefusal::Busy : StoreRefusal::Silent;
    chosen([&](std::size_t n) { refuseAt(at, n, length, how); });
    break;
  }
  case FaultKind::Compact:
    compactAt(at);
    break;
  }
}

} // namespace rosemaryhinge::directoryworld
