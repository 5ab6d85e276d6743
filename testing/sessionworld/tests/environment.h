// What the environment asks of the randomised runs.

#pragma once

#include <cstdlib>
#include <string_view>

namespace rosemaryhinge::sessionworld {

/// RH_PEER_LINKS=0 plays fleets whose proxies do not know of each other.
inline bool peerLinks() {
  const char *value = std::getenv("RH_PEER_LINKS");
  return !value || std::string_view(value) != "0";
}

} // namespace rosemaryhinge::sessionworld
