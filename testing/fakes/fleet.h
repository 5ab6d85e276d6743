// A whole run: proxies, groups, the store, the network and the callers on one event queue.

#pragma once

#include "fakes/caller.h"
#include "fakes/dice.h"
#include "fakes/eventqueue.h"
#include "fakes/group.h"
#include "fakes/layout.h"
#include "fakes/network.h"
#include "fakes/observer.h"
#include "fakes/proxy.h"
#include "fakes/store.h"
#include "request/requestoptions.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace rosemaryhinge::fakes {

struct FleetOptions {
  std::uint64_t Seed = 1;
  std::string Deployment = "paalisoft";
  std::size_t Nodes = 3;
  std::size_t Databases = 1;
  std::size_t Servers = 3;
  rosemaryhinge::Rules Rules;
  RequestOptions Requests;  ///< Policies of the proxies; others than the default are baselines.
  std::string SettingsTree; ///< Empty: that of the layout.
  bool SkewClocks = true;
  std::uint32_t ServerCores = 1000;
  std::uint32_t SlotConnections = 0; ///< 0: that of the deployment.
};

/// Misbehaviour of answers and messages, changed by faults during a run.
struct LinkFaults {
  double DuplicateAnswers = 0; ///< Share of answers of servers that arrive a second time.
  double DuplicatePeer = 0;    ///< Share of messages between proxies that arrive a second time.
  bool Unordered = false;      ///< Answers and messages overtake each other.
};

class Fleet {
public:
  explicit Fleet(FleetOptions options);
  Fleet(const Fleet &) = delete;
  Fleet &operator=(const Fleet &) = delete;

  /// Starts groups and proxies. Observers are added before.
  void start();
  void runFor(Duration time) { Queue.runUntil(Queue.now() + time); }

  [[nodiscard]] FakeServer *server(const TargetId &target) const;
  [[nodiscard]] FakeProxy *proxy(const NodeId &node) const;
  [[nodiscard]] FakeGroup *group(const DatabaseId &database) const;
  /// Lets the store list the VM as leaving or not.
  void listLeaving(const TargetId &target, bool leaving);
  FakeCaller &addCaller(const CallerProfile &profile);
  const Operation &keep(Operation operation);
  void trace(const std::string &text) const;
  [[nodiscard]] std::vector<Endpoint> proxyPlaces() const;

  const FleetOptions Options;
  const Layout Plan;
  EventQueue Queue;
  Dice Random;
  FakeNetwork Network;
  std::unique_ptr<FakeStore> Store;
  std::vector<std::unique_ptr<FakeGroup>> Groups;
  std::vector<std::unique_ptr<FakeProxy>> Proxies;
  std::vector<std::unique_ptr<FakeCaller>> Callers;
  std::vector<IObserver *> Observers;
  LinkFaults Links;
  std::function<void(const std::string &)> Trace; ///< Unset: no trace.
  std::uint64_t DuplicatedAnswers = 0;
  std::uint64_t DuplicatedMessages = 0;

private:
  [[nodiscard]] static Layout plan(const FleetOptions &options);
  void sendFromServer(FakeServer &server, const ConnectionKey &key, const Event &event);

  std::deque<Operation> Operations;
};

} // namespace rosemaryhinge::fakes
