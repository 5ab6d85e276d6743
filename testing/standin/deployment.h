// Set-up of the stand-in: the two deployments, read from a YAML file.

#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace rosemaryhinge::standin {

struct Location {
  std::string AvailabilityZone;
  std::string Region;
};

/// A fault at a time after the start.
struct TimedFault {
  std::chrono::milliseconds At{};
  std::string Name;
  std::string Arguments; ///< JSON.
};

struct Deployment {
  std::string Name;
  std::vector<std::string> Databases;
  std::vector<Location> Locations; ///< One server of each database in each.
  std::uint32_t SlotConnections = 20;
  std::chrono::milliseconds ConnectDelay{10};
  std::chrono::milliseconds Lag{12}; ///< Between the primary's commit and a replica's.
  std::chrono::milliseconds VmListLag{1000};
  std::uint16_t Port = 0; ///< Of the platform; the servers follow. 0: free ports.
  std::string SettingsFile;
  std::vector<std::string> Vms; ///< Proxies on the platform's list.
  std::vector<std::string> InitialSql;
  std::vector<TimedFault> Script;
};

/// `paalisoft` or `openraad`. Throws std::runtime_error for another name.
[[nodiscard]] Deployment namedDeployment(const std::string &name);
/// Reads the set-up. Throws std::runtime_error with the place of the first error.
[[nodiscard]] Deployment loadDeployment(const std::string &file);
/// Reads a list of {at_ms, fault, with}.
[[nodiscard]] std::vector<TimedFault> loadScript(const std::string &file);

} // namespace rosemaryhinge::standin
