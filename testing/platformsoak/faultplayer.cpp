// Plays a plan of faults on a deployment.

#include "platformsoak/faultplayer.h"

#include "base/overloaded.h"

#include <algorithm>
#include <csignal>
#include <thread>

namespace rosemaryhinge::platformsoak {

namespace {

constexpr Millis TickMs = 5;
constexpr Millis GraceMs = 6'000;
constexpr Millis DefaultRestartMs = 700;
/// From a cut to the change of the configuration.
constexpr Millis AfterCutMs = 300;
const std::string ProxiesKind = "rosemaryhinge-proxies";

} // namespace

FaultPlayer::FaultPlayer(Deployment &world)
    : World(world), RestartAfter(world.Proxies.size(), DefaultRestartMs), Away(world.Proxies.size(), false) {}

void FaultPlayer::play(const std::vector<PlannedFault> &plan, Millis lengthMs) {
  const auto from = nowMs();
  for (const auto &it : plan)
    at(from + it.At, [this, &it] { apply(it.Fault); });
  while (nowMs() < from + lengthMs) {
    while (!Actions.empty() && Actions.begin()->first <= nowMs()) {
      const auto action = std::move(Actions.begin()->second);
      Actions.erase(Actions.begin());
      action();
    }
    checkProxies();
    sleepMs(TickMs);
  }
}

void FaultPlayer::checkProxies() {
  for (std::size_t n = 0; n < World.Proxies.size(); ++n) {
    auto &proxy = *World.Proxies[n];
    proxy.watchProcessor();
    if (!proxy.check() || Away[n])
      continue;
    Away[n] = true;
    at(nowMs() + RestartAfter[n], [this, n] {
      Away[n] = false;
      World.Proxies[n]->start();
    });
  }
}

void FaultPlayer::disrupt(Millis forMs, const char *what, std::optional<int> callersOf) {
  World.Seen.addDisruption({nowMs(), nowMs() + forMs, what, callersOf});
}

void FaultPlayer::disruptServers(Millis forMs, const char *what) {
  World.Seen.addDisruption({nowMs(), nowMs() + forMs, what, std::nullopt, true});
}

DbService &FaultPlayer::serviceOf(int number) { return *World.Services.at(static_cast<std::size_t>(number)); }

void FaultPlayer::stop(const StopProxy &fault) {
  const auto index = static_cast<std::size_t>(fault.Proxy);
  auto &proxy = *World.Proxies.at(index);
  if (!proxy.serving()) {
    World.Seen.line("left out: it is not running, or is stopping");
    return;
  }
  RestartAfter[index] = fault.RestartAfterMs;
  proxy.signal(SIGTERM);
  for (const auto it : fault.FurtherTermsAfterMs)
    signalLater(index, it, SIGTERM);
  for (const auto it : fault.HupsAfterMs)
    signalLater(index, it, SIGHUP);
  signalLater(index, GraceMs, SIGKILL);
}

void FaultPlayer::signalLater(std::size_t proxy, Millis after, int signal) {
  auto &process = *World.Proxies.at(proxy);
  at(nowMs() + after, [&process, number = process.lives().back().Number, signal] {
    if (process.lives().back().Number == number)
      process.signal(signal);
  });
}

void FaultPlayer::kill(const KillProxy &fault) {
  const auto index = static_cast<std::size_t>(fault.Proxy);
  if (World.Proxies.at(index)->crash())
    RestartAfter[index] = fault.RestartAfterMs;
  else
    World.Seen.line("left out: it is not serving");
}

void FaultPlayer::suspend(const SuspendProxy &fault) {
  const auto index = static_cast<std::size_t>(fault.Proxy);
  auto &proxy = *World.Proxies.at(index);
  if (!proxy.serving()) {
    World.Seen.line("left out: it is not serving");
    return;
  }
  disrupt(fault.ForMs, "suspended", fault.Proxy);
  proxy.signal(SIGSTOP);
  signalLater(index, fault.ForMs, SIGCONT);
}

void FaultPlayer::loseZone(const LoseZone &fault) {
  if (fault.Trouble == ZoneTrouble::Cut)
    return cutOff(fault.Proxies, fault.ForMs);
  for (const auto n : fault.Proxies)
    if (fault.Trouble == ZoneTrouble::Suspended)
      suspend({static_cast<int>(n), fault.ForMs});
    else
      kill({static_cast<int>(n), fault.ForMs});
}

void FaultPlayer::cutOff(const std::set<std::size_t> &proxies, Millis forMs) {
  disrupt(forMs, "proxies cut off");
  const auto until = nowMs() + forMs;
  for (const auto cut : proxies) {
    World.StoreNetworks.at(cut)->network().CutUntil = until;
    for (std::size_t other = 0; other < World.Proxies.size(); ++other)
      if (!proxies.contains(other)) {
        World.peerLink(cut, other).CutUntil = until;
        World.peerLink(other, cut).CutUntil = until;
      }
  }
}

void FaultPlayer::crashServers(const CrashServers &fault) {
  disruptServers(fault.PrimaryAfterMs +
                     std::max({fault.ReplicaDownMs, fault.PrimaryDownMs, fault.OtherDownMs}),
                 "crash of servers");
  auto &service = serviceOf(fault.Service);
  service.crash(service.replica(0), fault.ReplicaDownMs);
  at(nowMs() + fault.PrimaryAfterMs, [&service, fault] {
    service.crash(service.primary(), fault.PrimaryDownMs);
    service.crash(service.replica(0), fault.OtherDownMs);
  });
}

void FaultPlayer::withdraw(const WithdrawKey &fault) {
  if (!fault.CutProxies.empty())
    disrupt(fault.CutForMs, "store cut off");
  for (const auto it : fault.CutProxies)
    World.StoreNetworks.at(static_cast<std::size_t>(it))->network().CutUntil = nowMs() + fault.CutForMs;
  at(nowMs() + AfterCutMs,
     [this, seed = fault.Seed] { std::thread([this, seed] { World.Operator.withdrawKey(seed); }).detach(); });
}

void FaultPlayer::losePrimary(int number, const std::set<std::size_t> &proxies, Millis forMs) {
  disruptServers(forMs, "server cut off");
  auto &service = serviceOf(number);
  service.lose(service.primary(), proxies, forMs);
}

void FaultPlayer::cutReplicas(int number, bool all, Millis forMs) {
  disruptServers(forMs, "server cut off");
  serviceOf(number).cutOffReplicas(all, forMs);
}

void FaultPlayer::apply(const Fault &fault) {
  World.Seen.line("fault: " + describe(fault));
  std::visit(Overloaded{
                 [&](const StopProxy &it) { stop(it); },
                 [&](const KillProxy &it) { kill(it); },
                 [&](const SuspendProxy &it) { suspend(it); },
                 [&](const LoseZone &it) { loseZone(it); },
                 [&](const CrashServers &it) { crashServers(it); },
                 [&](const DelayWrites &it) { World.Store.delayWrites(it.ForMs, it.Seed); },
                 [&](const DeleteEntry &it) {
                   World.Store.remove(ProxiesKind,
                                      World.Proxies.at(static_cast<std::size_t>(it.Proxy))->node());
                 },
                 [&](const ReloadProxy &it) {
                   if (auto &proxy = *World.Proxies.at(static_cast<std::size_t>(it.Proxy)); proxy.serving())
                     proxy.signal(SIGHUP);
                 },
                 [&](const DrainServer &it) {
                   auto &service = serviceOf(it.Service);
                   service.drain(it.Primary ? service.primary()
                                            : service.replica(static_cast<std::size_t>(it.Replica)));
                 },
                 [&](const ReplaceServer &it) {
                   auto &service = serviceOf(it.Service);
                   service.replace(it.Primary ? service.primary() : service.replica(0), it.ListedAfterMs);
                 },
                 [&](const CrashPrimary &it) {
                   disruptServers(it.DownMs, "crash of a server");
                   auto &service = serviceOf(it.Service);
                   service.crash(service.primary(), it.DownMs);
                 },
                 [&](const LosePrimary &it) { losePrimary(it.Service, it.Proxies, it.ForMs); },
                 [&](const CutReplicas &it) { cutReplicas(it.Service, it.All, it.ForMs); },
                 [&](const PartitionPrimary &it) {
                   losePrimary(it.Service, it.Proxies, it.ForMs);
                   cutReplicas(it.Service, true, it.ForMs);
                 },
                 [&](const DelayOrders &it) { serviceOf(it.Service).delayOrders(it.ForMs); },
                 [&](const ChangeConfiguration &it) {
                   std::thread([this, seed = it.Seed] { World.Operator.change(seed); }).detach();
                 },
                 [&](const SlowStore &it) {
                   disrupt(it.ForMs, "slow store");
                   World.Store.setSlow(it.ExtraMs);
                   at(nowMs() + it.ForMs, [this] { World.Store.setSlow(0); });
                 },
                 [&](const StoreDown &it) {
                   disrupt(it.ForMs, "store down");
                   World.Store.setState(it.Silent ? StoreState::Silent : StoreState::Busy);
                   at(nowMs() + it.ForMs, [this] { World.Store.setState(StoreState::Serving); });
                 },
                 [&](const RestoreStore &it) {
                   disrupt(it.DownMs, "store restored");
                   World.Store.setState(StoreState::Busy);
                   at(nowMs() + it.DownMs, [this, age = it.AgeMs + it.DownMs] { World.Store.restore(age); });
                 },
                 [&](const DelayCallers &it) {
                   disrupt(it.ForMs, "delay", it.Proxy);
                   auto &network = World.Networks.at(static_cast<std::size_t>(it.Proxy))->network();
                   network.DelayMs = it.DelayMs;
                   at(nowMs() + it.ForMs, [&network] { network.DelayMs = 1; });
                 },
                 [&](const HoldAnswers &it) {
                   disrupt(it.ForMs, "answers held", it.Proxy);
                   World.Networks.at(static_cast<std::size_t>(it.Proxy))->network().HoldAnswersUntil =
                       nowMs() + it.ForMs;
                 },
                 [&](const SlowCallers &it) { World.Callers->SlowUntil = nowMs() + it.ForMs; },
                 [&](const Burst &it) { World.Callers->BurstUntil = nowMs() + it.ForMs; },
                 [&](const WithdrawKey &it) { withdraw(it); },
                 [&](const Flood &it) {
                   World.Callers->FloodTenant = static_cast<std::size_t>(it.Tenant);
                   World.Callers->FloodUntil = nowMs() + it.ForMs;
                 },
             },
             fault);
}

} // namespace rosemaryhinge::platformsoak
