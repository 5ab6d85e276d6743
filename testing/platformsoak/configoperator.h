// The operator's configuration, its changes, and probes of which databases the proxies know.

#pragma once

#include "platformsoak/dbservice.h"
#include "platformsoak/objectstore.h"
#include "platformsoak/proxyprocess.h"
#include "platformsoak/workspaces.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace rosemaryhinge::platformsoak {

/// A version as far as the probes can tell: which of the additional databases it has.
struct ConfigVersion {
  std::uint64_t Version = 0;
  std::set<std::string> Extra;
  Millis SentAt = 0;
  std::optional<Millis> AcknowledgedAt;
  std::string Withdraws = {}; ///< A key.
};

/// A session that was opened for an additional database.
struct ConfigProbe {
  std::string Host;
  int Proxy = 0;
  Millis SentAt = 0, EndedAt = 0;
  bool Found = false;
};

class ConfigOperator {
public:
  ConfigOperator(ObjectStore &store, std::vector<std::string> services, Observations &seen);
  /// Writes the first configuration.
  void begin();
  /// Adds or removes a database, and changes timeouts. Repeated until the store has accepted it.
  void change(std::uint64_t seed);
  /// Withdraws the older key of a workspace and adds a new one. The key never comes back.
  void withdrawKey(std::uint64_t seed);
  /// Writes the newest version again if the store has an earlier one.
  void keep();
  /// Opens sessions at the proxies until the time is over.
  void probe(const std::vector<std::unique_ptr<ProxyProcess>> &proxies, const std::atomic<bool> &over);
  [[nodiscard]] std::vector<ConfigVersion> versions() const;
  [[nodiscard]] std::vector<ConfigProbe> probes() const;
  /// All keys that a configuration has held.
  [[nodiscard]] Keys keys() const;
  /// What a caller of the workspace shows: most often the newest key, sometimes one that may have been
  /// withdrawn, and rarely one that was never known. Roll is from 0 to 1.
  [[nodiscard]] std::string chooseKey(std::size_t tenant, double roll) const;

private:
  [[nodiscard]] Json spec() const;
  void write();
  void addKey(std::size_t tenant);
  /// The version after the last one, which has been acknowledged; absent otherwise.
  [[nodiscard]] std::optional<ConfigVersion> nextVersion(std::mt19937_64 &random) const;
  ObjectStore &Store;
  std::vector<std::string> Services;
  Observations &Seen;
  mutable std::mutex Lock;
  std::vector<ConfigVersion> Versions;
  std::vector<ConfigProbe> Probes;
  int TimeoutStep = 0;
  Keys Known;
  /// By workspace, the oldest first. The last ActiveKeys of them are in force.
  std::array<std::vector<std::string>, Tenants.size()> KeyNames;
};

} // namespace rosemaryhinge::platformsoak
