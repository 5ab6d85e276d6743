// Proxies, their processes and links, and the callers that judge them.

#include "directoryworld/world.h"

#include "base/overloaded.h"
#include "membership/rendezvous.h"
#include "peers/peercodec.h"

#include <algorithm>
#include <utility>

namespace rosemaryhinge::directoryworld {

namespace {

constexpr Duration CallerInterval = 200ms;
constexpr Duration MinTimer = 1ms;
/// The proxies watch the store in this order.
constexpr std::string_view WatcherKey = "directory";
constexpr std::size_t MaxViolations = 20;

std::string seconds(TimePoint at) { return std::to_string(at.time_since_epoch() / 1ms) + " ms"; }

} // namespace

World::World(const WorldOptions &options)
    : Options(options), Random(options.Seed), Net(Queue), Directory(Queue, Net) {
  for (std::size_t n = 0; n < options.Proxies; ++n)
    addProxy("z1", n);
  for (std::size_t n = 0; n < options.OtherProxies; ++n)
    addProxy("z2", n);
  orderProxies();
  for (const auto &it : Proxies)
    start(*it, true);
  changeAt(Queue.now() + StartupTime / 2, options.Routes);
  Queue.after(StartupTime, [this] { connectCallers(); });
}

void World::addProxy(const std::string &zone, std::size_t number) {
  auto &it = *Proxies.emplace_back(std::make_unique<Proxy>());
  it.Node = NodeId(zone + "-" + std::to_string(number));
  it.Vm = Net.add(Options.MegabitsPerSecond);
}

void World::orderProxies() {
  std::vector<NodeId> nodes;
  for (std::size_t n = 0; n < Options.Proxies; ++n)
    nodes.push_back(Proxies[n]->Node);
  const auto order = rendezvousOrder(WatcherKey, nodes);
  const auto rank = [&](const std::unique_ptr<Proxy> &it) {
    return std::find(order.begin(), order.end(), it->Node) - order.begin();
  };
  std::stable_sort(Proxies.begin(), Proxies.end(),
                   [&](const auto &a, const auto &b) { return rank(a) < rank(b); });
}

World::Proxy *World::find(const NodeId &node) {
  const auto it =
      std::find_if(Proxies.begin(), Proxies.end(), [&](const auto &one) { return one->Node == node; });
  return it == Proxies.end() ? nullptr : it->get();
}

void World::start(Proxy &proxy, bool first) {
  proxy.Logic = std::make_unique<State>();
  proxy.Dark = false;
  proxy.CalmSince = Queue.now();
  proxy.TimerAt.reset();
  ++proxy.Process;
  auto &self = proxy.Logic->Self;
  const auto &name = proxy.Node.str();
  self.Node = proxy.Node;
  self.AvailabilityZone = AvailabilityZone(name.substr(0, name.find('-')));
  self.Region = Region("r1");
  self.RegionByZone = {{AvailabilityZone("z1"), Region("r1")}, {AvailabilityZone("z2"), Region("r1")}};
  self.Interface = CallerInterface::Sessions;
  self.PromotionFencing = true;
  self.PropagationBound = Options.PropagationBound;
  self.PeerAddress = "10.0.0." + std::to_string(proxy.Vm + 1) + ":7000";
  self.FirstStart = first;
  apply(proxy, Started{Random.next(), proxy.Process});
}

void World::stop(Proxy &proxy, bool power) {
  if (!proxy.Logic)
    return;
  proxy.Logic.reset();
  proxy.Dark = power;
  Net.clear(proxy.Vm);
  Directory.drop(proxy.Vm);
  for (const auto &it : Proxies) {
    const bool connected = it->Connections.contains(proxy.Node) || proxy.Connections.contains(it->Node);
    if (power || !connected || it.get() == &proxy)
      continue;
    it->Connections.erase(proxy.Node);
    Queue.after(Network::Delay, [this, &other = *it, node = proxy.Node, process = it->Process] {
      deliver(other, process, PeerLost{node});
    });
  }
  proxy.Connections.clear();
}

void World::beginFault(Proxy &proxy) { ++proxy.Faults; }

void World::endFault(Proxy &proxy) {
  --proxy.Faults;
  proxy.CalmSince = Queue.now();
}

void World::killAt(TimePoint time, std::size_t proxy, Duration down, bool power) {
  Queue.at(time, [this, &it = *Proxies[proxy], down, power] {
    if (!it.Logic)
      return;
    beginFault(it);
    stop(it, power);
    Queue.after(down, [this, &it] {
      endFault(it);
      start(it, false);
    });
  });
}

void World::cutAt(TimePoint time, std::size_t proxy, Duration length) {
  Queue.at(time, [this, &it = *Proxies[proxy], length] {
    if (Net.isCut(it.Vm))
      return;
    beginFault(it);
    Net.cut(it.Vm, true);
    Queue.after(length, [this, &it] {
      Net.cut(it.Vm, false);
      endFault(it);
    });
  });
}

void World::refuseAt(TimePoint time, std::size_t proxy, Duration length, StoreRefusal how) {
  Queue.at(time, [this, &it = *Proxies[proxy], length, how] {
    ++StoreFaults;
    Directory.refuse(it.Vm, how);
    Queue.after(length, [this, &it] {
      Directory.refuse(it.Vm, StoreRefusal::None);
      --StoreFaults;
      StoreCalmSince = Queue.now();
    });
  });
}

void World::cutFromStoreAt(TimePoint time, std::size_t proxy, Duration length) {
  Queue.at(time, [this, &it = *Proxies[proxy], length] {
    beginFault(it);
    Directory.refuse(it.Vm, StoreRefusal::Silent);
    Queue.after(length, [this, &it] {
      Directory.refuse(it.Vm, StoreRefusal::None);
      endFault(it);
    });
  });
}

void World::compactAt(TimePoint time) {
  Queue.at(time, [this] {
    ++StoreFaults;
    Directory.muteWatches();
    change(0);
    Queue.after(1s, [this] {
      Directory.compact();
      --StoreFaults;
      StoreCalmSince = Queue.now();
    });
  });
}

void World::changeAt(TimePoint time, std::size_t moreRoutes) {
  Queue.at(time, [this, moreRoutes] { change(moreRoutes); });
}

void World::change(std::size_t moreRoutes) {
  const auto route = Directory.changeConfiguration(moreRoutes);
  Versions.push_back({route, Queue.now()});
}

void World::apply(Proxy &proxy, const Event &event) {
  for (const auto &effect : reduce(*proxy.Logic, event, Queue.now()))
    carryOut(proxy, effect);
  scheduleTimer(proxy);
}

void World::deliver(Proxy &proxy, std::uint64_t process, const Event &event) {
  if (proxy.Logic && proxy.Process == process)
    apply(proxy, event);
}

void World::scheduleTimer(Proxy &proxy) {
  const auto next = nextTimer(*proxy.Logic);
  if (!next || (proxy.TimerAt && *proxy.TimerAt <= *next && *proxy.TimerAt > Queue.now()))
    return;
  const auto at = std::max(*next, Queue.now() + MinTimer);
  proxy.TimerAt = at;
  Queue.at(at, [this, &proxy, at, process = proxy.Process] {
    if (!proxy.Logic || proxy.Process != process || proxy.TimerAt != at)
      return;
    proxy.TimerAt.reset();
    apply(proxy, TimerFired{});
  });
}

void World::carryOut(Proxy &proxy, const Effect &effect) {
  std::visit(Overloaded{
                 [&](const DirectoryCall &it) {
                   Directory.call(proxy.Vm, it,
                                  [this, &proxy, process = proxy.Process](const DirectoryAnswer &answer) {
                                    deliver(proxy, process, answer);
                                  });
                 },
                 [&](const SendToPeer &it) { send(proxy, it); },
                 [&](const Log &it) {
                   auto line = seconds(Queue.now()) + " " + proxy.Node.str() + " " + it.Message;
                   for (const auto &[key, value] : it.Fields)
                     line.append(" ").append(key).append("=").append(value);
                   Result.Log.push_back(std::move(line));
                 },
                 [&](const RefuseSession &it) {
                   if (it.Why.Code != Rejection::NoDatabase)
                     return;
                   if (Result.Violations.size() < MaxViolations)
                     Result.Violations.push_back(
                         seconds(Queue.now()) + ": " + proxy.Node.str() + " knows version " +
                         std::to_string(proxy.Logic->Catalog.configuration().Version) + ", a caller needs " +
                         Versions.back().AddedRoute + " or an earlier one");
                 },
                 [](const auto &) {},
             },
             effect);
}

void World::send(Proxy &proxy, const SendToPeer &effect) {
  auto *to = find(effect.To);
  const auto lost = [this, &proxy, node = effect.To, process = proxy.Process] {
    deliver(proxy, process, PeerLost{node});
  };
  if (!to || (!to->Logic && !to->Dark)) {
    Queue.after(2 * Network::Delay, lost);
    return;
  }
  const auto known = proxy.Connections.try_emplace(effect.To, to->Process).first;
  if (to->Logic && known->second != to->Process) {
    // The process at the other end has started again, and its VM resets the connection.
    proxy.Connections.erase(known);
    Queue.after(2 * Network::Delay, lost);
    return;
  }
  const auto bytes =
      encodePeer({proxy.Node, effect.To, effect.Message, proxy.Logic->Self.PeerAddress}).size();
  Net.send(proxy.Vm, to->Vm, bytes,
           [this, to, from = proxy.Node, message = effect.Message, process = to->Process] {
             deliver(*to, process, PeerReceived{from, message});
           });
}

bool World::isStable(std::size_t faults, TimePoint since) const {
  return faults == 0 && Queue.now() - since >= Options.StableWindow;
}

bool World::isCalm(const Proxy &proxy) const {
  return proxy.Logic && isStable(proxy.Faults, proxy.CalmSince) && isReady(*proxy.Logic);
}

void World::connectCallers() {
  const bool storeStable = isStable(StoreFaults, StoreCalmSince);
  const auto bound = Options.PropagationBound + (storeStable ? Duration() : Options.UnstableStoreAllowance);
  const auto due = [&](const Version &it) { return Queue.now() - it.AcknowledgedAt > bound; };
  const auto it = std::find_if(Versions.rbegin(), Versions.rend(), due);
  for (const auto &proxy : Proxies) {
    if (!isCalm(*proxy))
      continue;
    if (storeStable)
      measureDelay(*proxy);
    if (it != Versions.rend())
      connectCaller(*proxy, it->AddedRoute);
  }
  Queue.after(CallerInterval, [this] { connectCallers(); });
}

void World::measureDelay(const Proxy &proxy) {
  const auto unknown = std::find_if(Versions.begin(), Versions.end(), [&](const Version &it) {
    return proxy.Logic->Catalog.route(it.AddedRoute) == nullptr;
  });
  if (unknown != Versions.end())
    Result.SlowestChange = std::max(Result.SlowestChange, Queue.now() - unknown->AcknowledgedAt);
}

void World::connectCaller(Proxy &proxy, const std::string &route) {
  const SessionId session{++NextSession};
  ++Result.Sessions;
  apply(proxy, CallerConnected{session});
  apply(proxy, SessionOpened{session, route, {}});
  apply(proxy, SessionClosed{session});
}

WorldResult World::run() {
  planFaults();
  Queue.runUntil(TimePoint() + Options.Length);
  return std::move(Result);
}

} // namespace rosemaryhinge::directoryworld
