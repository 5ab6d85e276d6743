// What a proxy knows of itself before it reaches the platform.

#pragma once

#include "base/id.h"

#include <string>
#include <vector>

namespace rosemaryhinge {

struct SeedPeer {
  NodeId Node;
  std::string Address;
};

struct NodeConfig {
  NodeId Node;
  rosemaryhinge::Region Region;
  rosemaryhinge::AvailabilityZone AvailabilityZone;
  std::string PeerAddress; ///< IP and port that other proxies connect to.
  std::string Release = "0.1.0";
  std::vector<SeedPeer> Seeds;
};

} // namespace rosemaryhinge
