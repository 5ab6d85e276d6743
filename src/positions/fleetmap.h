// Registry of the proxies in the fleet. Each proxy registers itself in the store and lists the other entries
// periodically.
//
// Entries of crashed proxies are not removed, so the map gives candidates to contact and does not show which
// proxies are alive.
//
// An entry can also be lost while its proxy is running: an operator deletes it, a deletion is carried out
// late, or the store comes back from an older copy. The others keep such a proxy for a while, so that a
// change of primary asks it. The proxy registers again once it finds out, and sends no commit in between.
//
// A proxy that ends as planned leaves in its entry what it has reported to callers as committed. Its
// successor goes on with that record. One that finds the entry of a process that was killed, or none, knows
// what its node has reported only since its own registration, unless the whole fleet starts for the first
// time.

#pragma once

#include "protocol/context.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace rosemaryhinge {

class FleetMap {
public:
  void onStarted(Context &ctx);
  /// Time from the start to the first listing.
  [[nodiscard]] static Duration firstListDelay(const NodeConfig &self);
  void onAnswer(Context &ctx, const DirectoryAnswer &event);
  void onTimer(Context &ctx);
  [[nodiscard]] std::optional<TimePoint> nextTimer() const;
  /// Lists the proxies as of now, unless a listing is under way or has just failed.
  void refresh(Context &ctx);
  /// Reads this proxy's own entry, unless it was there a short time ago.
  void verifyEntry(Context &ctx);
  /// Revision of the store up to which the registrations are known; 0 if none has been listed as of a
  /// revision.
  [[nodiscard]] std::uint64_t listedRevision() const { return ListedRevision; }
  /// When the list of that revision was asked for: it has all proxies that had registered by then.
  [[nodiscard]] TimePoint listedAt() const { return ListedAt; }
  /// Whether proxies know of each other.
  [[nodiscard]] bool enabled() const { return Enabled; }
  /// Number of the present registration, which differs after the entry was lost; 0 if this process is not
  /// known to be registered.
  [[nodiscard]] std::uint64_t registration() const { return OwnRevision > 0 ? Registrations : 0; }
  /// The store has come back from an older copy, which may lack this proxy's entry and those of others.
  void onStoreRestored(Context &ctx);
  /// Marks this proxy's entry as final. Called once it serves no callers any more: a change of primary asks
  /// all proxies whose entry is not.
  /// \param reported The highest position of each service that was reported as committed.
  void startLeaving(Context &ctx, std::map<DatabaseId, Position> reported);
  [[nodiscard]] bool leaving() const { return Leaving; }
  /// Whether the entry is final, or that has taken too long.
  [[nodiscard]] bool left(TimePoint now) const { return !Enabled || (LeftBy && now >= *LeftBy); }

  /// Since when it is known what this node has reported as committed (ReportedCommits::KnownSince); empty
  /// until this process has announced itself.
  [[nodiscard]] std::optional<std::uint64_t> knownSince() const { return KnownSince; }
  /// What proxies that have ended as planned have reported, an earlier process of this node included.
  [[nodiscard]] const std::map<DatabaseId, Position> &reportedByEnded() const { return ReportedByEnded; }
  /// Since when it is known what the proxies have reported that are not listed any more.
  [[nodiscard]] std::uint64_t endedKnownSince() const { return std::max(EndedKnownSince, ForgottenAt); }

  /// Returns the proxies of an availability zone, including this one, in rendezvous order for the key. Valid
  /// until the next call of a member function.
  [[nodiscard]] const std::vector<NodeId> &order(const AvailabilityZone &zone, std::string_view key) const;

  /// Number of proxies that come before this one in rendezvous order for the key.
  [[nodiscard]] std::size_t rank(const NodeId &self, std::string_view key) const;

  /// Returns all other proxies.
  [[nodiscard]] std::vector<NodeId> others(const NodeId &self) const;
  /// Returns all other proxies in rendezvous order for the key, with the first nearbyCount proxies of the
  /// given availability zone moved to the front.
  [[nodiscard]] std::vector<NodeId> others(const NodeId &self, const AvailabilityZone &zone,
                                           std::string_view key, std::size_t nearbyCount) const;

  /// Whether the other proxies were listed at least once, or there is no need to.
  [[nodiscard]] bool listed() const { return HasListedOnce || !Enabled; }
  [[nodiscard]] std::size_t size() const { return Proxies.size(); }
  /// Returns null if the proxy is not listed, or has ended as planned.
  [[nodiscard]] const ProxyEntry *entry(const NodeId &node) const;
  /// Writes an answer to a commit fence into this proxy's entry, beside those of other services.
  void answerFence(Context &ctx, const DatabaseId &service, const StoredFenceAnswer &answer);
  /// Number of availability zones that have at least one proxy.
  [[nodiscard]] std::size_t zones() const { return ZoneCount; }

private:
  /// Writes this proxy's entry, on condition of its revision.
  void announce(Context &ctx, std::uint64_t revision);
  void onAnnounceAnswer(Context &ctx, const DirectoryAnswer &event);
  /// This process is registered by an entry of this revision.
  void onAnnounced(Context &ctx, std::uint64_t revision);
  /// Since when the record of a node is known that had no entry. Unless the fleet starts for the first time,
  /// an earlier process may have had one that was lost.
  [[nodiscard]] static std::uint64_t recordWithoutEntry(const Context &ctx, std::uint64_t revision);
  /// The entry of this process is gone.
  void onEntryLost(Context &ctx);
  void onVerified(Context &ctx, const DirectoryAnswer &event);
  /// Writes the final entry, on condition of its revision.
  void writeFinal(Context &ctx, std::uint64_t revision);
  void onFinalAnswer(Context &ctx, const DirectoryAnswer &event);
  /// Takes over the record of an earlier process of this node.
  /// \param entry Absent if it cannot be read.
  void adoptRecord(const std::optional<ProxyEntry> &entry);
  void addReported(const ReportedCommits &reported);
  void list(Context &ctx);
  void onListed(Context &ctx);
  /// Keeps the proxies whose entry is gone although they did not end as planned.
  /// \param before The proxies before the listing.
  void keepUnlisted(Context &ctx, const std::map<NodeId, ProxyEntry> &before);
  /// Deletes entries of proxies that ended long ago and did not come back. Each is deleted by one proxy.
  void deleteEnded(Context &ctx);
  void addProxy(Context &ctx, const ProxyEntry &entry);
  /// A time that grows in proportion to the size of a large fleet.
  [[nodiscard]] Duration forFleet(Duration time) const;

  void onProxiesChanged();
  /// All proxies, including this one, in rendezvous order for the key.
  [[nodiscard]] std::vector<NodeId> fleetOrder(std::string_view key) const;

  std::map<NodeId, ProxyEntry> Proxies;
  std::size_t ZoneCount = 0;
  /// Orders that were asked for since the proxies last changed.
  mutable std::map<std::pair<AvailabilityZone, std::string>, std::vector<NodeId>, std::less<>> Orders;
  std::vector<DirectoryObject> PartialListing; ///< Pages received so far of a paginated listing.
  std::optional<CallId> AnnounceCall;
  std::optional<CallId> ListCall;
  std::optional<CallId> VerifyCall;
  TimePoint ConfirmedAt;               ///< When this proxy's entry was last known to be there.
  bool ListMayBeStale = false;         ///< Of the listing that is under way.
  std::uint64_t FirstPageRevision = 0; ///< A later registration may be missing from the pages before it.
  std::uint64_t ListedRevision = 0;
  TimePoint FirstPageAt; ///< When the first page of the listing was asked for.
  TimePoint ListedAt;
  TimePoint RefreshAfter; ///< No listing on request before.
  std::optional<CallId> LeaveCall;
  std::optional<TimePoint> LeftBy; ///< When this proxy counts as having left.
  ReportedCommits Final;           ///< For the final entry.
  std::optional<TimePoint> AnnounceAt;
  std::optional<TimePoint> ListAt;
  std::uint64_t OwnRevision = 0; ///< Of this process's entry; 0 if it is not known to be registered.
  std::uint64_t Registrations = 0;
  std::optional<std::uint64_t> KnownSince;
  std::map<DatabaseId, StoredFenceAnswer> FenceAnswers;
  bool AnswersUnwritten = false; ///< FenceAnswers has changed since the entry was last sent.
  /// An earlier process of this node was found, and its record began then; empty if its record is lost.
  std::optional<std::optional<std::uint64_t>> EarlierKnownSince;
  std::map<DatabaseId, Position> ReportedByEnded;
  std::uint64_t EndedKnownSince = 0;
  struct EndedProxy {
    std::uint64_t Revision = 0;
    TimePoint SeenAt; ///< When this revision was first listed.
  };
  std::map<NodeId, EndedProxy> Ended;
  /// Proxies of the map whose entry is gone, with the time of the first list that lacked it.
  std::map<NodeId, TimePoint> Unlisted;
  /// Revision at which a proxy was dropped of which it is not known what it has reported; 0 if none was.
  std::uint64_t ForgottenAt = 0;
  bool Enabled = false; ///< Whether this proxy has an address for peer connections.
  bool Leaving = false;
  bool HasListedOnce = false;
};

} // namespace rosemaryhinge
