// In-memory view of the configuration, the database routes and the registered servers, and the choice of the
// primary of each service.

#pragma once

#include "protocol/directory.h"

#include <algorithm>
#include <map>
#include <optional>
#include <span>
#include <string_view>
#include <utility>
#include <vector>

namespace rosemaryhinge {

struct ServerView {
  ServerEntry Entry;
  std::optional<TimePoint> LeavingSince; ///< When this proxy first saw the entry marked as leaving.
};

/// A server whose entry was removed. It may have held commits that no other replica has.
struct MissingServer {
  TargetId Target;
  TimePoint Since;
  bool WasPrimary = false;
  bool Announced = false; ///< It was marked as leaving before, and does not come back with its log.
};

/// What the knowledge of the configuration rests on.
struct ConfigurationSource {
  NodeId From;                ///< The proxy that told it last; empty if it was the store.
  std::uint64_t Revision = 0; ///< Of the store, up to which its changes are known.
  TimePoint ConfirmedAt;      ///< When the store last confirmed that, here or at that proxy.
};

namespace detail {

/// How a server's entry compares with an earlier one of the same server.
enum class Report : std::uint8_t { Older, Repeated, Newer };

} // namespace detail

class Catalog {
public:
  /// Replaces the configuration. Returns false, without effect, unless its version is higher than the current
  /// one.
  bool accept(Configuration next);
  [[nodiscard]] bool configured() const { return Current.Version > 0; }
  [[nodiscard]] const Configuration &configuration() const { return Current; }
  /// Returns null if the database has no route.
  [[nodiscard]] const DatabaseRoute *route(std::string_view database) const;
  /// Records that the store held no configuration after the known one up to this time: the time at which the
  /// question was sent whose answer told so.
  void proveConfiguration(TimePoint upTo) { ProvenUntil = std::max(ProvenUntil.value_or(upTo), upTo); }
  [[nodiscard]] std::optional<TimePoint> configurationProvenUntil() const { return ProvenUntil; }
  void setConfigurationSource(ConfigurationSource source) { Source = std::move(source); }
  [[nodiscard]] const ConfigurationSource &configurationSource() const { return Source; }
  /// Whether a caller's key may be trusted by the known configuration: always without a bound, else while the
  /// proof of its age is younger than the bound.
  [[nodiscard]] bool keysProven(std::optional<Duration> bound, TimePoint now) const {
    return !bound || (ProvenUntil && now - *ProvenUntil <= *bound - ProofMargin);
  }
  /// Whether callers of a route have to name the key of a workspace.
  [[nodiscard]] bool needsKey(const DatabaseRoute &route) const {
    return Current.Workspaces && !route.Anonymous;
  }
  /// Returns null if no workspace has the key.
  [[nodiscard]] const Workspace *workspaceOf(const KeyDigest &key) const;
  [[nodiscard]] const ServiceLimits *limits(const DatabaseId &service) const;

  void updateServer(ServerEntry entry, TimePoint now);
  void removeServer(const TargetId &target, TimePoint now);
  /// Records that another server answered at the address of this one. Its entry is out of date, and ignored
  /// until its revision changes.
  void onMisrouted(const TargetId &target, TimePoint now);
  /// Revision of the store up to which the server entries are known; 0 if none has been read.
  [[nodiscard]] std::uint64_t serversRevision() const { return ServersRevision; }
  void setServersRevision(std::uint64_t revision) { ServersRevision = revision; }
  /// Whether all server entries in the store have been read at least once.
  [[nodiscard]] bool serversLoaded() const { return ServersLoaded; }
  void setServersLoaded() { ServersLoaded = true; }
  [[nodiscard]] const ServerView *server(const TargetId &target) const;
  [[nodiscard]] std::span<const TargetId> servers(const DatabaseId &service) const;
  [[nodiscard]] std::vector<DatabaseId> services() const;
  [[nodiscard]] std::span<const MissingServer> missingServers(const DatabaseId &service) const;

  /// The server last confirmed as the primary. Without one, the server with the newest entry that names it
  /// the primary, unless that entry was denied.
  [[nodiscard]] std::optional<TargetId> primary(const DatabaseId &service) const;
  /// Records that the server answered as the primary of a term. Ignored if a primary of a later term is
  /// known: where promotions do not demote the former primary at once, it answers as one for a while.
  /// \param validUntil Until then the entry of another server that names itself the primary is not believed.
  void confirmPrimary(const TargetId &target, Term term, TimePoint validUntil = {});
  /// Records that the server refused a write because it is not the primary. Its entry is ignored by primary()
  /// until its revision changes.
  void denyPrimary(const TargetId &target);
  /// Change counter; increases whenever the configuration, the servers or their roles change.
  [[nodiscard]] std::uint64_t changeCount() const { return ChangeCount; }

  /// A proof is used only until this long before its bound, since clocks of VMs run at slightly different
  /// rates.
  static constexpr Duration ProofMargin = 100ms;

private:
  struct RemovedServer {
    ServerEntry Entry;
    TimePoint At;
  };
  /// Compares an entry with the last one of a server that was removed.
  detail::Report compareWithRemoved(const ServerEntry &entry, TimePoint now);

  struct Group {
    std::vector<TargetId> Servers; ///< Sorted.
    std::vector<MissingServer> Missing;
    std::optional<TargetId> ConfirmedPrimary; ///< Answered as a primary and was not denied since.
    Term ConfirmedTerm = 0;                   ///< Highest term of a confirmed primary.
    TimePoint ConfirmedUntil;
    std::map<TargetId, std::uint64_t> DeniedAtRevision; ///< Entry revision at which the server was denied.
  };

  Configuration Current;
  std::map<std::string, std::size_t, std::less<>> RouteByDatabase;
  std::map<KeyDigest, std::size_t> WorkspaceByKey; ///< Positions in Current.Workspaces.
  std::map<TargetId, ServerView> Servers;
  std::map<TargetId, std::uint64_t> MisroutedAtRevision; ///< Entries that are ignored.
  /// The last entries of removed servers. The store may come back from a copy that still has earlier ones.
  std::map<TargetId, RemovedServer> Removed;
  std::map<DatabaseId, Group> Groups;
  std::optional<TimePoint> ProvenUntil;
  ConfigurationSource Source;
  bool ServersLoaded = false;
  std::uint64_t ServersRevision = 0;
  std::uint64_t ChangeCount = 0;
};

} // namespace rosemaryhinge
