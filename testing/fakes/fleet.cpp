// Set-up of a run and the paths between its parts.

#include "fakes/fleet.h"

#include "groups/group.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace rosemaryhinge::fakes {

namespace {
constexpr std::int64_t MaxDriftPpm = 20'000;
} // namespace

Fleet::Fleet(FleetOptions options)
    : Options(std::move(options)), Plan(plan(Options)), Random(Options.Seed), Network(Queue, Random, Plan) {
  // The run does not begin at time zero, so that "long ago" is a valid time.
  Queue.runUntil(TimePoint(1h));
  for (std::size_t n = 0; n < Plan.Nodes.size(); ++n) {
    const auto &node = Plan.Nodes[n];
    auto place = Network.add(node.Node.str(), {node.AvailabilityZone, node.Region});
    LocalClock clock;
    if (Options.SkewClocks) {
      clock.Offset = Random.between(0us, 100h);
      clock.DriftPpm = static_cast<std::int64_t>(Random.below(2 * MaxDriftPpm)) - MaxDriftPpm;
    }
    Proxies.push_back(std::make_unique<FakeProxy>(*this, n, node, place, clock));
  }
  for (const auto &it : Plan.Groups) {
    auto group = std::make_unique<FakeGroup>(Queue, Network, it);
    for (const auto &server : it.Servers) {
      auto place = Network.add(server.Target.str(), {server.AvailabilityZone, server.Region});
      ServerTiming timing;
      timing.Connect = Plan.ConnectTime;
      timing.Cores = Options.ServerCores;
      auto &added = group->add(std::make_unique<FakeServer>(Queue, Random, Observers, server.Target, place,
                                                            Plan.SlotConnections, timing));
      added.Send = [this, &added](const ConnectionKey &key, const Event &event) {
        sendFromServer(added, key, event);
      };
    }
    Groups.push_back(std::move(group));
  }
  Store = std::make_unique<FakeStore>(Queue, Random, Network.add("store", Plan.Places.front()));
}

Layout Fleet::plan(const FleetOptions &options) {
  auto out = makeLayout(options.Deployment, options.Nodes, options.Databases, options.Servers);
  if (options.SlotConnections != 0)
    out.SlotConnections = options.SlotConnections;
  return out;
}

void Fleet::start() {
  auto tree = Options.SettingsTree.empty() ? Plan.settingsTree() : Options.SettingsTree;
  nlohmann::json settings = {{"revision", 1}, {"change_id", "initial"}, {"author", "setup"}, {"tree", tree}};
  settings["history"] = nlohmann::json::array();
  Store->write({"settings/tree", 0, settings.dump()});
  for (const auto &it : Plan.Groups)
    Store->write({"groups/" + it.Database.str(), 0, formatGroup(it)});
  for (const auto &it : Groups) {
    for (const auto &server : it->servers())
      Store->setVm(NodeId(server->name().str()), false);
    it->start();
  }
  for (const auto &it : Proxies)
    Queue.after(Random.between(0us, 200ms), [proxy = it.get()] { proxy->start(); });
}

FakeServer *Fleet::server(const TargetId &target) const {
  for (const auto &it : Groups)
    if (auto *found = it->find(target))
      return found;
  return nullptr;
}

FakeProxy *Fleet::proxy(const NodeId &node) const {
  auto it =
      std::find_if(Proxies.begin(), Proxies.end(), [&](const auto &p) { return p->config().Node == node; });
  return it == Proxies.end() ? nullptr : it->get();
}

FakeGroup *Fleet::group(const DatabaseId &database) const {
  auto it = std::find_if(Groups.begin(), Groups.end(),
                         [&](const auto &g) { return g->Description.Database == database; });
  return it == Groups.end() ? nullptr : it->get();
}

void Fleet::listLeaving(const TargetId &target, bool leaving) {
  trace(target.str() + (leaving ? " is to be drained" : " is no longer drained"));
  Store->setVm(NodeId(target.str()), leaving);
  Queue.after(Store->ListLag, [this, target, leaving] {
    for (auto *it : Observers)
      it->onTargetListedLeaving(target, leaving);
  });
}

FakeCaller &Fleet::addCaller(const CallerProfile &profile) {
  Callers.push_back(std::make_unique<FakeCaller>(*this, Callers.size(), profile, Random.next()));
  return *Callers.back();
}

const Operation &Fleet::keep(Operation operation) {
  Operations.push_back(std::move(operation));
  return Operations.back();
}

void Fleet::trace(const std::string &text) const {
  if (!Trace)
    return;
  auto time = std::to_string((Queue.now() - TimePoint(1h)).count());
  time.insert(time.begin(), static_cast<std::size_t>(std::max<std::int64_t>(0, 9 - std::ssize(time))), ' ');
  Trace(time + " us  " + text);
}

std::vector<Endpoint> Fleet::proxyPlaces() const {
  std::vector<Endpoint> out;
  out.reserve(Proxies.size());
  for (const auto &it : Proxies)
    out.push_back(it->place());
  return out;
}

void Fleet::sendFromServer(FakeServer &server, const ConnectionKey &key, const Event &event) {
  auto *proxy = Proxies[key.Proxy].get();
  auto deliver = [proxy, key, event] { proxy->receiveFor(key.Incarnation, event); };
  if (std::holds_alternative<ExecutionFinished>(event) && Links.DuplicateAnswers > 0 &&
      Random.chance(Links.DuplicateAnswers)) {
    ++DuplicatedAnswers;
    Queue.after(Random.between(10ms, 300ms), [this, proxy, &server, deliver] {
      if (Network.reaches(server.place(), proxy->place()))
        deliver();
    });
  }
  Network.send(server.place(), proxy->place(), deliver, !Links.Unordered,
               [proxy, key, target = server.name()] {
                 if (proxy->running() && proxy->incarnation() == key.Incarnation)
                   proxy->breakConnections(target);
               });
}

} // namespace rosemaryhinge::fakes
