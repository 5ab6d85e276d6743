// The workspaces of the deployment: their quotas and keys.

#pragma once

#include "platformsoak/clock.h"

#include <array>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace rosemaryhinge::platformsoak {

/// A workspace of the configuration.
struct Tenant {
  const char *Name;
  int Priority;
  double RatePerS, Burst;
  /// Its callers, out of CallerShares.
  int Share;
};

constexpr int CallerShares = 8;
/// The rate is 1.6 times the usual load of the callers of keyed routes (about 290 operations per second), and
/// the burst is one second of that load.
constexpr std::array<Tenant, 3> Tenants = {Tenant{"kauppa", 0, 232, 145, 4}, Tenant{"pankki", 1, 174, 109, 3},
                                           Tenant{"posti", 2, 58, 36, 1}};

/// As in the settings of the processes.
constexpr Millis RevocationMs = 5'000;
constexpr Millis QuotaWindowMs = 5'000;
constexpr double QuotaOvershoot = 0.1;
constexpr double QuotaSlack = 20;
/// The name under which servers know callers of anonymous routes.
constexpr std::string_view AnonymousUser = "rosemaryhinge";

/// A key that a configuration has held.
struct KeyRecord {
  std::string Tenant;
  /// When the store acknowledged the first configuration without it.
  std::optional<Millis> WithdrawnAt = std::nullopt;
};
using Keys = std::map<std::string, KeyRecord>;

} // namespace rosemaryhinge::platformsoak
