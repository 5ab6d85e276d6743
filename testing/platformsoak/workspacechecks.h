// The checks of the keys and quotas of workspaces.

#pragma once

#include "platformsoak/rulechecks.h"
#include "platformsoak/workspaces.h"

namespace rosemaryhinge::platformsoak {

/// UNASKED: a statement runs on a server connection of another name than the workspace of its key.
[[nodiscard]] std::vector<Violation> checkUsers(std::span<const Request> requests,
                                                std::span<const Arrival> arrivals, const Keys &keys);
/// ROUTE: a statement runs for a key that no configuration has held.
[[nodiscard]] std::vector<Violation> checkUnknownKeys(std::span<const Request> requests,
                                                      std::span<const Arrival> arrivals, const Keys &keys);
/// CONFIG: a statement runs that was sent later than RevocationMs after its key was withdrawn.
[[nodiscard]] std::vector<Violation> checkWithdrawnKeys(std::span<const Request> requests,
                                                        std::span<const Arrival> arrivals, const Keys &keys);
/// QUOTA: more operations of a workspace reach servers in a window than it allows. One violation for each
/// span of time without a pause.
[[nodiscard]] std::vector<Violation> checkQuotas(std::span<const Tenant> tenants,
                                                 std::span<const Arrival> arrivals);

} // namespace rosemaryhinge::platformsoak
