// The whole deployment on loopback: store, duty address, servers, proxies, balancer, networks and callers.

#pragma once

#include "platformsoak/callers.h"
#include "platformsoak/configoperator.h"
#include "platformsoak/zones.h"

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace rosemaryhinge::platformsoak {

struct DeploymentOptions {
  std::string Program;
  std::string Folder;
  std::uint64_t Seed = 1;
  int Services = 3;
  int GraceS = 6;
};

/// Is never destroyed but for its proxies: threads of its parts run until the program ends.
class Deployment {
public:
  Deployment(const DeploymentOptions &options, Observations &seen);
  /// Starts the proxies and waits until all are ready.
  bool start();
  void startCallers();
  /// Asks the callers to end, and waits for them.
  void endCallers();
  /// What the network does to messages from one proxy to another.
  [[nodiscard]] Network &peerLink(std::size_t from, std::size_t to) { return PeerLinks.at(from).at(to); }
  /// Ends the processes that still run.
  void end() { Proxies.clear(); }

  Observations &Seen;
  ObjectStore Store;
  ConfigOperator Operator;
  std::vector<std::unique_ptr<DbService>> Services;
  std::vector<std::unique_ptr<ProxyProcess>> Proxies;
  std::vector<std::unique_ptr<Forwarder>> Networks;
  std::vector<std::unique_ptr<Forwarder>> StoreNetworks; ///< From each proxy to the store.
  std::vector<std::unique_ptr<Forwarder>> PeerNetworks;  ///< To each proxy from the others.
  std::unique_ptr<Balancer> Entry;
  std::unique_ptr<CallerContext> Callers;

private:
  /// The proxy whose process holds the other end of the connection.
  [[nodiscard]] std::optional<std::size_t> proxyOf(int fd) const;
  HttpReply duty(const HttpRequest &request);
  /// Keeps the newest configuration in the store, and removes entries of servers that have gone.
  void keepStore();
  DeploymentOptions Options;
  std::array<std::array<Network, ProxyZones.size()>, ProxyZones.size()> PeerLinks{};
  HttpServer Duties;
  std::atomic<bool> Over{false};
  std::vector<std::thread> Threads;
};

} // namespace rosemaryhinge::platformsoak
