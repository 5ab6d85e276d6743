// The check of rule LOST at promotions: each commit that a caller has seen acknowledged is in the log of the
// server that is promoted.

#pragma once

#include "platformsoak/rulechecks.h"

#include <span>
#include <string>
#include <vector>

namespace rosemaryhinge::platformsoak {

/// LOST: a commit whose success reached a caller before a promotion took effect is missing there. One
/// violation for each promotion.
[[nodiscard]] std::vector<Violation> checkPromotions(std::span<const Promotion> promotions,
                                                     std::span<const Request> requests);

} // namespace rosemaryhinge::platformsoak
