// The platform's balancer: which proxy a new connection of a caller goes to.

#pragma once

#include "platformsoak/proxyprocess.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace rosemaryhinge::platformsoak {

class Balancer {
public:
  explicit Balancer(const std::vector<std::unique_ptr<ProxyProcess>> &proxies);
  /// Probes each proxy each second, until the program ends.
  void start();
  /// A proxy for a caller of the zone. The hash names the caller, and with a retry another proxy.
  [[nodiscard]] std::size_t choose(const std::string &zone, std::uint64_t hash) const;

private:
  struct Rotation {
    std::atomic<int> Misses{0};
  };
  void probe(std::size_t n);
  [[nodiscard]] bool inRotation(std::size_t n) const;
  /// The proxies of a zone that take new connections; empty if none is in rotation.
  [[nodiscard]] std::vector<std::size_t> usable(const std::string &zone) const;

  const std::vector<std::unique_ptr<ProxyProcess>> &Proxies;
  std::vector<std::unique_ptr<Rotation>> Rotations;
};

} // namespace rosemaryhinge::platformsoak
