// The platform's balancer.

#include "platformsoak/balancer.h"

#include <thread>

namespace rosemaryhinge::platformsoak {

namespace {

constexpr Millis ProbeEveryMs = 1'000;
constexpr int MaxMisses = 2;

} // namespace

Balancer::Balancer(const std::vector<std::unique_ptr<ProxyProcess>> &proxies) : Proxies(proxies) {
  for (std::size_t n = 0; n < Proxies.size(); ++n)
    Rotations.push_back(std::make_unique<Rotation>());
}

void Balancer::start() {
  for (std::size_t n = 0; n < Proxies.size(); ++n)
    std::thread([this, n] {
      for (;; sleepMs(ProbeEveryMs))
        probe(n);
    }).detach();
}

void Balancer::probe(std::size_t n) {
  if (Proxies[n]->answersReady())
    Rotations[n]->Misses = 0;
  else
    ++Rotations[n]->Misses;
}

bool Balancer::inRotation(std::size_t n) const { return Rotations[n]->Misses < MaxMisses; }

std::vector<std::size_t> Balancer::usable(const std::string &zone) const {
  std::vector<std::size_t> all, in;
  for (std::size_t n = 0; n < Proxies.size(); ++n) {
    if (Proxies[n]->zone() != zone)
      continue;
    all.push_back(n);
    if (inRotation(n))
      in.push_back(n);
  }
  if (in.empty())
    return {};
  return in.size() * 2 < all.size() ? all : in;
}

std::size_t Balancer::choose(const std::string &zone, std::uint64_t hash) const {
  auto candidates = usable(zone);
  if (candidates.empty())
    for (std::size_t n = 0; n < Proxies.size(); ++n)
      if (inRotation(n))
        candidates.push_back(n);
  return candidates.empty() ? hash % Proxies.size() : candidates[hash % candidates.size()];
}

} // namespace rosemaryhinge::platformsoak
