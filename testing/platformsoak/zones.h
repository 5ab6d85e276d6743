// The availability zones of the deployment and their proxies.

#pragma once

#include <array>
#include <cstddef>
#include <set>

namespace rosemaryhinge::platformsoak {

inline constexpr std::array<const char *, 3> ZoneNames = {"etela-a", "lansi-a", "pohjoinen-a"};
/// Index of the zone of each proxy.
inline constexpr std::array<std::size_t, 6> ProxyZones = {0, 0, 0, 1, 1, 2};

/// Indexes of the proxies of a zone.
[[nodiscard]] inline std::set<std::size_t> proxiesOfZone(std::size_t zone) {
  std::set<std::size_t> out;
  for (std::size_t n = 0; n < ProxyZones.size(); ++n)
    if (ProxyZones.at(n) == zone)
      out.insert(n);
  return out;
}

} // namespace rosemaryhinge::platformsoak
