// The check of rule LOST at promotions: each acknowledged commit is in the log of the server that is
// promoted. There are two measures of it: commits whose success a caller has seen, and commits that a server
// has acknowledged, whatever its caller was told.

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

/// LOST: a commit that a server acknowledged before a promotion took effect, and that a server which runs and
/// is listed holds, is missing there. One violation for each promotion.
[[nodiscard]] std::vector<Violation> checkServerAcknowledged(std::span<const Promotion> promotions);

} // namespace rosemaryhinge::platformsoak
