// Local configuration of a proxy, available before it contacts the platform.

#pragma once

#include "base/id.h"
#include "base/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace rosemaryhinge {

struct SeedPeer {
  NodeId Node;
  std::string Address;
};

/// Bounds on the operations of a workspace over all proxies, beside the rate and the burst that its
/// configuration states.
struct QuotaBounds {
  Duration Window = 5s; ///< Length of any span over which operations are counted.
  double Overshoot = 0; ///< Share of the limit by which it may be exceeded.
  double Slack = 0;     ///< Operations by which it may be exceeded in addition.
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
  /// CallerInterface::Sessions only: time after which a key that was taken out of the configuration must not
  /// start anything at any proxy, whether it has heard of that or not. Empty if no such bound is required.
  std::optional<Duration> RevocationBound;
  /// CallerInterface::Sessions only: whether a server that has started, recovered or fails many statements is
  /// given few statements until its answers are good (links/serverpace.h).
  bool TargetPace = false;
  /// CallerInterface::Sessions only: budget for the values and prepared statements of all sessions.
  std::size_t SessionStateBytes = std::size_t{32} << 20;
  /// CallerInterface::Sessions only: empty if the limits of workspaces are not enforced.
  std::optional<QuotaBounds> Quota;
};

} // namespace rosemaryhinge
