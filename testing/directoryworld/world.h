// Proxies that learn the configuration from a simulated store and from each other, with faults from a seed.
//
// Judged by what callers see: a caller that connects for a database is not refused as unknown when the
// configuration that added it was acknowledged for longer than the bound, at a proxy that has been calm.

#pragma once

#include "directoryworld/store.h"
#include "fakes/dice.h"
#include "reducer/reducer.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace rosemaryhinge::directoryworld {

struct WorldOptions {
  std::uint64_t Seed = 1;
  std::size_t Proxies = 21;       ///< Of one availability zone.
  std::size_t OtherProxies = 5;   ///< Of a second one.
  double MegabitsPerSecond = 10;  ///< Of each VM's link.
  std::size_t Routes = 40;        ///< That the second version of the configuration adds.
  std::size_t Faults = 6;         ///< Drawn from the seed.
  bool DrawnChanges = true;       ///< The operator changes the configuration at drawn times.
  Duration PropagationBound = 5s; ///< As the proxies are told.
  Duration StableWindow = 6s;     ///< Time without a fault after which a proxy counts as calm.
  /// Added to the bound while the store refuses some proxies or drops its history.
  Duration UnstableStoreAllowance = 20s;
  Duration Length = 40s;
};

struct WorldResult {
  std::vector<std::string> Violations;
  std::size_t Sessions = 0; ///< That had to be accepted.
  /// Longest time after its acknowledgement for which a calm proxy did not know a configuration.
  Duration SlowestChange{};
  std::vector<std::string> Log;
};

class World {
public:
  explicit World(const WorldOptions &options);
  WorldResult run();

  // Faults, for runs that plan their own. Proxies are numbered in rendezvous order of their zone: the first
  // one watches the store. `power` says that others do not notice the end of the process.
  void killAt(TimePoint time, std::size_t proxy, Duration down, bool power);
  void cutAt(TimePoint time, std::size_t proxy, Duration length);
  void refuseAt(TimePoint time, std::size_t proxy, Duration length, StoreRefusal how);
  /// Cuts a proxy off from the store, but not from others.
  void cutFromStoreAt(TimePoint time, std::size_t proxy, Duration length);
  void compactAt(TimePoint time);
  void changeAt(TimePoint time, std::size_t moreRoutes = 0);

  static constexpr Duration StartupTime = 9s; ///< Before the first fault.

private:
  struct Proxy {
    NodeId Node;
    VmIndex Vm = 0;
    std::unique_ptr<State> Logic; ///< Empty while no process runs.
    std::uint64_t Process = 0;    ///< Grows with each start.
    std::optional<TimePoint> TimerAt;
    TimePoint CalmSince; ///< End of the last fault.
    std::size_t Faults = 0;
    bool Dark = false;                           ///< Without power: others get no sign of its end.
    std::map<NodeId, std::uint64_t> Connections; ///< Process of each peer at the other end.
  };
  struct Version {
    std::string AddedRoute;
    TimePoint AcknowledgedAt;
  };

  void planFaults();
  void planFault(TimePoint at);
  void addProxy(const std::string &zone, std::size_t number);
  void orderProxies();
  void start(Proxy &proxy, bool first);
  void stop(Proxy &proxy, bool power);
  void beginFault(Proxy &proxy);
  void endFault(Proxy &proxy);
  void apply(Proxy &proxy, const Event &event);
  /// Applies an event that was meant for a process of the proxy, if that still runs.
  void deliver(Proxy &proxy, std::uint64_t process, const Event &event);
  void scheduleTimer(Proxy &proxy);
  void carryOut(Proxy &proxy, const Effect &effect);
  void send(Proxy &proxy, const SendToPeer &effect);
  void change(std::size_t moreRoutes);
  /// Connects callers for the routes that were added last.
  void connectCallers();
  void connectCaller(Proxy &proxy, const std::string &route);
  void measureDelay(const Proxy &proxy);
  [[nodiscard]] bool isStable(std::size_t faults, TimePoint since) const;
  /// Whether it has been running undisturbed and is ready.
  [[nodiscard]] bool isCalm(const Proxy &proxy) const;
  Proxy *find(const NodeId &node);

  WorldOptions Options;
  fakes::EventQueue Queue;
  fakes::Dice Random;
  Network Net;
  rosemaryhinge::directoryworld::Store Directory;
  std::vector<std::unique_ptr<Proxy>> Proxies; ///< The larger zone first, in rendezvous order.
  std::vector<Version> Versions;
  TimePoint StoreCalmSince;
  std::size_t StoreFaults = 0;
  std::uint64_t NextSession = 0;
  WorldResult Result;
};

} // namespace rosemaryhinge::directoryworld
