// Local configuration of a proxy, available before it contacts the platform.

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

/// Protocol between callers and this proxy. Determines which modules the proxy runs.
enum class CallerInterface : std::uint8_t {
  Requests, ///< HTTP requests with session tokens. Servers record the outcome of each write by its key in a
            ///< marker table. Their connections are divided into slots; a server closes and refuses
            ///< connections of a slot's earlier holders (fencing).
  Sessions, ///< One connection per session. Servers keep session state and are listed in a directory.
};

struct NodeConfig {
  NodeId Node;
  rosemaryhinge::Region Region;
  rosemaryhinge::AvailabilityZone AvailabilityZone;
  std::string PeerAddress; ///< IP and port on which other proxies connect.
  std::string Release = "0.1.0";
  std::vector<SeedPeer> Seeds;
  CallerInterface Interface = CallerInterface::Requests;
  /// CallerInterface::Sessions only: region of each availability zone, used to tell near servers from far
  /// ones.
  std::map<rosemaryhinge::AvailabilityZone, rosemaryhinge::Region> RegionByZone;
  /// CallerInterface::Sessions only: time from the stop request until the process is killed.
  Duration ShutdownGrace = 6s;
  /// CallerInterface::Sessions only: whether the platform rejects promotions with an old fencing token, and a
  /// promotion demotes the former primary at once. Otherwise this proxy stops the former primary, or waits
  /// until no proxy reads from it, before it orders a promotion.
  bool PromotionFencing = false;
  /// CallerInterface::Sessions only: time within which a configuration has to be in effect at every proxy.
  Duration PropagationBound = 3s;
  /// CallerInterface::Sessions only: the whole fleet starts for the first time, so that no other proxy can be
  /// asked before it has started, too.
  bool FirstStart = false;
};

} // namespace rosemaryhinge
