// What this proxy knows of routes and servers, and which server it takes for the primary of a service.

#pragma once

#include "protocol/directory.h"

#include <map>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace rosemaryhinge {

struct ServerView {
  ServerEntry Entry;
  std::optional<TimePoint> LeavingSince; ///< When this proxy learned that the server is leaving.
};

/// A server whose entry ended without a notice of leaving: it may hold commits that no other replica has.
struct MissingServer {
  TargetId Target;
  TimePoint Since;
  bool WasPrimary = false;
};

class Catalog {
public:
  /// Takes a configuration; false if one of this or a higher version is in force.
  bool accept(Configuration next);
  [[nodiscard]] bool configured() const { return Current.Version > 0; }
  [[nodiscard]] const Configuration &configuration() const { return Current; }
  /// Route of a database name; null if no route has it.
  [[nodiscard]] const DatabaseRoute *route(std::string_view database) const;
  [[nodiscard]] const ServiceLimits *limits(const DatabaseId &service) const;

  void updateServer(ServerEntry entry, TimePoint now);
  void removeServer(const TargetId &target, TimePoint now);
  /// All servers of the store were read at least once.
  [[nodiscard]] bool serversLoaded() const { return ServersLoaded; }
  void setServersLoaded() { ServersLoaded = true; }
  [[nodiscard]] const ServerView *server(const TargetId &target) const;
  [[nodiscard]] std::span<const TargetId> servers(const DatabaseId &service) const;
  [[nodiscard]] std::vector<DatabaseId> services() const;
  [[nodiscard]] std::span<const MissingServer> missing(const DatabaseId &service) const;

  /// The server that calls itself primary by the newest word of it, unless it was found not to be one.
  [[nodiscard]] std::optional<TargetId> primary(const DatabaseId &service) const;
  /// The server answered as a primary.
  void confirmPrimary(const TargetId &target);
  /// The server refused work for a primary. Its entry counts again once it changes.
  void denyPrimary(const TargetId &target);
  /// Grows whenever the configuration, servers or their roles change.
  [[nodiscard]] std::uint64_t changes() const { return Changes; }

private:
  struct Group {
    std::vector<TargetId> Servers; ///< Sorted.
    std::vector<MissingServer> Missing;
    std::optional<TargetId> Confirmed;        ///< Answered as a primary after the last denial.
    std::map<TargetId, std::uint64_t> Denied; ///< Revision of the entry that was found wrong.
  };

  Configuration Current;
  std::map<std::string, std::size_t, std::less<>> RouteByDatabase;
  std::map<TargetId, ServerView> Servers;
  std::map<DatabaseId, Group> Groups;
  bool ServersLoaded = false;
  std::uint64_t Changes = 0;
};

} // namespace rosemaryhinge
