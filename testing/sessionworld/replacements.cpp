// Servers that are replaced one after the other, the primary included, with crashes and cuts of the primary
// and suspended proxies beside them.

#include "sessionworld/world.h"

#include <algorithm>

namespace rosemaryhinge::sessionworld {

namespace {

constexpr Duration MinReplacementInterval = 200ms;
constexpr Duration MaxReplacementInterval = 4s;
constexpr Duration MinReplicationLag = 10ms;
constexpr Duration MaxReplicationLag = 200ms;
/// Time until the entry of a server that has joined is in the store.
constexpr Duration MaxListingTime = 600ms;
/// Time from the join of a server to the drain of the one that it replaces.
constexpr Duration MaxDrainDelay = 2s;
constexpr Duration MinDrainTime = 3s;
constexpr Duration MaxDrainTime = 9s;
/// Interval at which a server that must not end yet is checked again.
constexpr Duration EndInterval = 100ms;
constexpr Duration MaxFaultDelay = 4s;
/// From a cut of the replication to the join of a server, which is not cut. Proxies that can ask the primary
/// have changed it by then.
constexpr Duration MinJoinDelay = 3s;
constexpr Duration MaxJoinDelay = 4s;
/// From that join to the crash of the primary: the server is seldom listed by then.
constexpr Duration MinCrashDelay = 50ms;
constexpr Duration MaxCrashDelay = 250ms;
constexpr Duration MinFaultLength = 500ms;
constexpr Duration MaxFaultLength = 6s;
constexpr double FaultProbability = 0.4;
constexpr double LateJoinProbability = 0.7;
constexpr double CutProbability = 0.6; ///< Of each proxy, where not all of them are cut.

} // namespace

TimePoint World::planReplacements() {
  auto at = Queue.now();
  if (Options.Replacements == 0)
    return at;
  for (auto &it : Cluster.servers())
    it.ReplicationLag = PlannedRandom.between(MinReplicationLag, MaxReplicationLag);
  for (std::size_t n = 0; n < Options.Replacements; ++n) {
    at += PlannedRandom.between(MinReplacementInterval, MaxReplacementInterval);
    Queue.at(at, [this] { replaceServer(); });
    Queue.at(at + PlannedRandom.between(0s, MaxFaultDelay), [this] { injectReplacementFault(); });
  }
  const auto crash = Options.BesideReplacements.LateJoins ? MaxJoinDelay + MaxCrashDelay : Duration::zero();
  return at + std::max(MaxDrainDelay + MaxDrainTime, MaxFaultDelay + crash + MaxFaultLength);
}

std::size_t World::joinServer() {
  const TargetId id("t" + std::to_string(++Reborn));
  const auto joined = Cluster.join(id, PlannedRandom.between(MinReplicationLag, MaxReplicationLag));
  trace(id.str() + " joins, with a lag of " + std::to_string(Cluster.servers()[joined].ReplicationLag / 1ms) +
        " ms");
  Queue.after(PlannedRandom.between(0s, MaxListingTime), [this, joined] { listServer(joined); });
  return joined;
}

void World::replaceServer() {
  ++Result.Replacements;
  const auto joined = joinServer();
  std::vector<std::size_t> staying;
  for (std::size_t n = 0; n < joined; ++n)
    if (!Cluster.servers()[n].Replaced)
      staying.push_back(n);
  const auto replaced = staying[PlannedRandom.below(staying.size())];
  Cluster.servers()[replaced].Replaced = true;
  Queue.after(PlannedRandom.between(0s, MaxDrainDelay), [this, replaced] { drainServer(replaced); });
}

void World::listServer(std::size_t server) {
  Cluster.servers()[server].Listed = true;
  trace(Cluster.servers()[server].Id.str() + " is listed");
  Cluster.OnEntryChanged();
}

void World::drainServer(std::size_t server) {
  Cluster.servers()[server].Draining = true;
  Cluster.servers()[server].Leaving = true;
  trace(Cluster.servers()[server].Id.str() + " drains");
  Cluster.OnEntryChanged();
  Queue.after(PlannedRandom.between(MinDrainTime, MaxDrainTime), [this, server] { endServer(server); });
}

void World::endServer(std::size_t server) {
  if (!Cluster.servers()[server].Up || !Cluster.replaceable(server)) {
    Queue.after(EndInterval, [this, server] { endServer(server); });
    return;
  }
  trace(Cluster.servers()[server].Id.str() + " ends; " + Cluster.describe());
  Cluster.terminate(server);
  breakLinks(server);
  Store.withdraw(Cluster.servers()[server].Id);
}

void World::injectReplacementFault() {
  const auto lead = Cluster.leader();
  const auto length = [this] { return PlannedRandom.between(MinFaultLength, MaxFaultLength); };
  const auto occurs = [this](bool enabled) { return enabled && PlannedRandom.chance(FaultProbability); };
  const auto &faults = Options.BesideReplacements;
  if (occurs(faults.PrimaryCrashes))
    crashServer(lead, false, length());
  if (occurs(faults.ProxyCuts))
    cutProxies(lead, length());
  if (occurs(faults.ReplicationCuts))
    cutReplication(lead, length());
  if (faults.LateJoins && PlannedRandom.chance(LateJoinProbability))
    crashAfterJoin(lead, length());
  if (occurs(faults.Suspensions))
    if (const auto proxy = Live[PlannedRandom.below(Live.size())]; !Proxies[proxy]->Paused)
      suspendProxy(proxy, length());
  if (faults.ProxyPartitions && PeerRandom.chance(FaultProbability))
    partitionProxy(PeerRandom.between(MinFaultLength, MaxFaultLength));
  if (faults.EntryDeletions && PeerRandom.chance(FaultProbability)) {
    const auto &node = Proxies[Live[PeerRandom.below(Live.size())]]->Logic.Self.Node;
    trace("the entry of " + node.str() + " is deleted");
    Store.deleteProxy(node);
  }
}

void World::cutProxies(std::size_t server, Duration length) {
  const bool all = PlannedRandom.chance(0.5);
  for (const auto proxy : Live)
    if (all || PlannedRandom.chance(CutProbability)) {
      Cuts.insert({proxy, server});
      trace("n" + std::to_string(proxy) + " is cut from " + Cluster.servers()[server].Id.str());
      Queue.after(length, [this, proxy, server] {
        Cuts.erase({proxy, server});
        trace("n" + std::to_string(proxy) + " reaches " + Cluster.servers()[server].Id.str() + " again");
      });
    }
}

void World::cutReplication(std::size_t server, Duration length) {
  trace(Cluster.servers()[server].Id.str() + " is cut from the servers that are there, for " +
        std::to_string(length / 1ms) + " ms");
  for (std::size_t other = 0; other < Cluster.servers().size(); ++other)
    if (other != server) {
      Cluster.cut(server, other, true);
      Queue.after(length, [this, server, other] { Cluster.cut(server, other, false); });
    }
}

void World::crashAfterJoin(std::size_t server, Duration length) {
  cutReplication(server, MaxFaultLength);
  const auto join = PlannedRandom.between(MinJoinDelay, MaxJoinDelay);
  Queue.after(join, [this] { joinServer(); });
  Queue.after(join + PlannedRandom.between(MinCrashDelay, MaxCrashDelay),
              [this, server, length] { crashServer(server, false, length); });
}

} // namespace rosemaryhinge::sessionworld
