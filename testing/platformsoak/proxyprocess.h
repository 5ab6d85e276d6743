// A proxy: the daemon as a process of its own, started again after each end.

#pragma once

#include "platformsoak/observations.h"

#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace rosemaryhinge::platformsoak {

struct ProxyOptions {
  int Index = 0;
  std::string Zone;
  std::string Program; ///< Path of the daemon.
  std::string Folder;
  std::string Settings; ///< YAML, all but its addresses.
};

/// Its members may be called by any thread.
class ProxyProcess {
public:
  ProxyProcess(ProxyOptions options, Observations &seen);
  ~ProxyProcess();
  ProxyProcess(const ProxyProcess &) = delete;
  ProxyProcess &operator=(const ProxyProcess &) = delete;

  /// Other proxies connect to this port of loopback. To be called before the first start.
  void advertisePeers(int port) { AdvertisedPeers = port; }
  void start();
  /// Sends the signal, if a process runs. False if none does.
  bool signal(int number);
  /// Sends SIGKILL, if its present process serves. False if it does not.
  bool crash();
  /// Notices the end of the process. True if it has just ended.
  bool check();
  /// GET /readyz at its admin address.
  [[nodiscard]] bool answersReady();
  [[nodiscard]] bool running() const;
  /// Id of the present process; -1 without one.
  [[nodiscard]] int pid() const;
  /// Whether its present process was ready and has neither been asked to stop nor been suspended or killed.
  /// Before, signals may end it: it has
  /// no handlers for them yet.
  [[nodiscard]] bool serving() const;
  /// Notes the times at which the process had to wait for a processor for long.
  void watchProcessor();
  [[nodiscard]] std::string node() const;
  [[nodiscard]] const std::string &zone() const { return Options.Zone; }
  [[nodiscard]] int callersPort() const { return Callers; }
  [[nodiscard]] int peersPort() const { return Peers; }
  [[nodiscard]] std::vector<ProcessLife> lives() const;

private:
  [[nodiscard]] bool servingLocked() const;
  void writeSettings(const std::string &file) const;
  ProxyOptions Options;
  Observations &Seen;
  int Callers, Admin, Peers, Metrics;
  int AdvertisedPeers;
  mutable std::mutex Lock;
  int Pid = -1;
  bool WasReady = false;          ///< The present process.
  std::int64_t WaitedNs = 0;      ///< For a processor, since the start of the process.
  std::vector<ProcessLife> Lives; ///< The last one is the present one.
};

} // namespace rosemaryhinge::platformsoak
