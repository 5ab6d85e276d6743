// Deployments as the fakes model them: places, latencies, groups and the settings tree.

#pragma once

#include "base/id.h"
#include "base/time.h"
#include "groups/group.h"
#include "protocol/nodeconfig.h"

#include <cstdint>
#include <string>
#include <vector>

namespace rosemaryhinge::fakes {

struct Place {
  rosemaryhinge::AvailabilityZone AvailabilityZone;
  rosemaryhinge::Region Region;
};

struct Layout {
  std::string Deployment; ///< "paalisoft" or "openraad".
  std::string Service;
  std::vector<Place> Places;
  Duration WithinZone = 200us; ///< One way.
  Duration BetweenZones{};     ///< One way, within a region.
  Duration BetweenRegions{};   ///< One way.
  Duration ToCallers{};        ///< One way.
  Duration ConnectTime{};      ///< What a server takes to open a connection.
  std::uint32_t SlotConnections = 20;
  std::vector<NodeConfig> Nodes;
  std::vector<Group> Groups;

  [[nodiscard]] std::string settingsTree() const;
  [[nodiscard]] Duration latency(const Place &a, const Place &b) const;
};

/// Nodes and servers are spread over the availability zones in turn. Databases are named db0, db1, ...
[[nodiscard]] Layout makeLayout(const std::string &deployment, std::size_t nodes, std::size_t databases,
                                std::size_t servers = 3);

} // namespace rosemaryhinge::fakes
