// Plays a plan of faults on a deployment, and keeps the processes going.

#pragma once

#include "platformsoak/deployment.h"
#include "platformsoak/faultplan.h"

#include <functional>
#include <map>

namespace rosemaryhinge::platformsoak {

/// All of it runs on one thread: the processes end with the thread that has started them.
class FaultPlayer {
public:
  explicit FaultPlayer(Deployment &world);
  /// Returns after the time.
  void play(const std::vector<PlannedFault> &plan, Millis lengthMs);

private:
  void apply(const Fault &fault);
  void stop(const StopProxy &fault);
  /// A signal for the process that runs now only, not for the next one.
  void signalLater(std::size_t proxy, Millis after, int signal);
  void kill(const KillProxy &fault);
  void suspend(const SuspendProxy &fault);
  void loseZone(const LoseZone &fault);
  /// Cuts the proxies from the store and from all others.
  void cutOff(const std::set<std::size_t> &proxies, Millis forMs);
  void crashServers(const CrashServers &fault);
  void withdraw(const WithdrawKey &fault);
  void disrupt(Millis forMs, const char *what, std::optional<int> callersOf = std::nullopt);
  void disruptServers(Millis forMs, const char *what);
  void losePrimary(int number, const std::set<std::size_t> &proxies, Millis forMs);
  void cutReplicas(int number, bool all, Millis forMs);
  DbService &serviceOf(int number);
  void at(Millis when, std::function<void()> action) { Actions.emplace(when, std::move(action)); }
  /// Starts proxies that have ended.
  void checkProxies();

  Deployment &World;
  std::multimap<Millis, std::function<void()>> Actions;
  std::vector<Millis> RestartAfter; ///< By proxy.
  std::vector<bool> Away;           ///< By proxy: its process has ended, and the next is on its way.
};

} // namespace rosemaryhinge::platformsoak
