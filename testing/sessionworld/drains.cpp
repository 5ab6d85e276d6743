// Replicas that drain and end together with their logs, with crashes, stalled replicas, and suspended or
// replaced proxies beside them.

#include "sessionworld/world.h"

namespace rosemaryhinge::sessionworld {

namespace {

/// Time between two drains. The faults of the first have ended by then, so that each acknowledged commit is
/// in the log of a server that stays.
constexpr Duration DrainInterval = 30s;
constexpr Duration MinDrainTime = 3s;
constexpr Duration MaxDrainTime = 9s;
/// Time until another server starts in the place of one that has ended.
constexpr Duration MinReplacementTime = 2s;
constexpr Duration MaxReplacementTime = 5s;
constexpr Duration MaxStallDelay = 6s;
constexpr Duration MinStall = 3s;
constexpr Duration MaxStall = 10s;
constexpr Duration MaxCrashDelay = 9s;
constexpr Duration MinCrash = 2s;
constexpr Duration MaxCrash = 9s;
constexpr Duration MaxProxyFaultDelay = 10s;
constexpr Duration MaxSuspension = 5s;
constexpr double StallProbability = 0.7;
constexpr double CrashProbability = 0.6;
constexpr double RebornProbability = 0.3;
constexpr double SuspensionProbability = 0.5;
constexpr double ReplacementProbability = 0.5;

} // namespace

TimePoint World::planDrains() {
  auto at = Queue.now();
  for (std::size_t n = 0; n < Options.Drains; ++n) {
    Queue.at(at + PlannedRandom.between(0s, 2s), [this] { drainReplica(); });
    at += DrainInterval;
  }
  return at;
}

void World::drainReplica() {
  const auto lead = Cluster.leader();
  for (const auto &it : Cluster.servers())
    if (!it.Up || it.Leaving)
      return;
  ++Result.Drains;
  const auto drained = (lead + 1 + PlannedRandom.below(2)) % 3;
  const auto other = 3 - lead - drained;
  Cluster.servers()[drained].Leaving = true;
  trace(Cluster.servers()[drained].Id.str() + " drains");
  Cluster.OnEntryChanged();
  Queue.after(PlannedRandom.between(MinDrainTime, MaxDrainTime),
              [this, drained] { terminateServer(drained); });
  if (PlannedRandom.chance(StallProbability))
    Queue.after(PlannedRandom.between(0s, MaxStallDelay), [this, other] { stallReplica(other); });
  if (PlannedRandom.chance(CrashProbability)) {
    const bool reborn = PlannedRandom.chance(RebornProbability);
    const auto length = PlannedRandom.between(MinCrash, MaxCrash);
    Queue.after(PlannedRandom.between(0s, MaxCrashDelay),
                [this, lead, reborn, length] { crashServer(lead, reborn, length); });
  }
  if (PlannedRandom.chance(SuspensionProbability)) {
    const auto place = PlannedRandom.below(Live.size());
    const auto length = PlannedRandom.between(500ms, MaxSuspension);
    Queue.after(PlannedRandom.between(0s, MaxProxyFaultDelay), [this, place, length] {
      if (!Proxies[Live[place]]->Paused)
        suspendProxy(Live[place], length);
    });
  }
  if (PlannedRandom.chance(ReplacementProbability)) {
    const auto place = PlannedRandom.below(Live.size());
    Queue.after(PlannedRandom.between(0s, MaxProxyFaultDelay), [this, place] { replaceProxy(place); });
  }
}

void World::terminateServer(std::size_t server) {
  const auto id = Cluster.servers()[server].Id;
  trace(id.str() + " ends; " + Cluster.describe());
  Cluster.terminate(server);
  breakLinks(server);
  Store.withdraw(id);
  const TargetId next("t" + std::to_string(++Reborn));
  Queue.after(PlannedRandom.between(MinReplacementTime, MaxReplacementTime),
              [this, server, next] { Cluster.start(server, next); });
}

void World::stallReplica(std::size_t server) {
  Cluster.servers()[server].Stalled = true;
  trace(Cluster.servers()[server].Id.str() + " receives nothing");
  Queue.after(PlannedRandom.between(MinStall, MaxStall),
              [this, server] { Cluster.servers()[server].Stalled = false; });
}

void World::replaceProxy(std::size_t place) {
  if (Proxies.size() >= MaxProcesses || Proxies[Live[place]]->Ended)
    return;
  endProxy(Live[place]);
}

} // namespace rosemaryhinge::sessionworld
