// Size and network of a simulated fleet.

#pragma once

#include "base/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace rosemaryhinge::spread {

struct FleetOptions {
  std::size_t Nodes = 6;
  std::vector<std::string> AvailabilityZones = {"etela-a", "lansi-a", "pohjoinen-a"}; ///< One per region.
  Duration WithinRegion = 1500us;                                                     ///< One way.
  Duration BetweenRegions = 12ms;                                                     ///< One way.
  Duration ToStore = 2ms;                                                             ///< One way.
  Duration Jitter = 500us; ///< Added at random to each message.
  std::uint64_t Seed = 1;
  std::string Tree; ///< What settings/tree holds at the start; empty: nothing.
};

} // namespace rosemaryhinge::spread
