// What a proxy knows of itself before it reaches the platform.

#pragma once

#include "base/id.h"
#include "base/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace rosemaryhinge {

struct SeedPeer {
  NodeId Node;
  std::string Address;
};

/// How callers talk to this proxy, which decides which modules it runs.
enum class CallerInterface : std::uint8_t {
  Requests, ///< HTTP requests with session tokens; servers with markers and fenced slots.
  Sessions, ///< A connection for each session; servers that keep sessions; a directory of servers.
};

struct NodeConfig {
  NodeId Node;
  rosemaryhinge::Region Region;
  rosemaryhinge::AvailabilityZone AvailabilityZone;
  std::string PeerAddress; ///< IP and port that other proxies connect to.
  std::string Release = "0.1.0";
  std::vector<SeedPeer> Seeds;
  CallerInterface Interface = CallerInterface::Requests;
  /// Sessions: region of each availability zone, which tells near servers from far ones.
  std::map<rosemaryhinge::AvailabilityZone, rosemaryhinge::Region> RegionByZone;
  Duration ShutdownGrace = 6s; ///< Sessions: time from the request to stop until the process is killed.
};

} // namespace rosemaryhinge
