// Keeps the catalogue in step with the platform's store: lists a kind once, then follows what changes.
//
// In a large availability zone one proxy watches the store and the others follow it, so that the calls to the
// store grow with the zones and not with the proxies. If it does not answer, the next one in rendezvous order
// takes its place. A proxy that the store does not answer asks others, beside its calls to the store: an
// answer that never comes must not keep it from what others know.

#pragma once

#include "catalog/catalog.h"
#include "directory/internal/changerelay.h"
#include "positions/fleetmap.h"
#include "protocol/context.h"

#include <array>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace rosemaryhinge {

struct DirectoryServices {
  rosemaryhinge::Catalog &Catalog;
  const FleetMap &Fleet;
};

class DirectoryModule {
public:
  void onStarted(Context &ctx, DirectoryServices &services);
  void onAnswer(Context &ctx, DirectoryServices &services, const DirectoryAnswer &event);
  void onTimer(Context &ctx, DirectoryServices &services);
  /// Asks the store at once for what has changed about the servers, beside any watch.
  /// Catalog::serversRevision() tells when the answer has come.
  void refreshServers(Context &ctx);
  /// Another proxy follows this one, or has answered.
  void onRequest(Context &ctx, DirectoryServices &services, const NodeId &from,
                 const ChangesRequest &request);
  void onReply(Context &ctx, DirectoryServices &services, const NodeId &from, const ChangesReply &reply);
  void onPeerLost(Context &ctx, DirectoryServices &services, const NodeId &node);
  [[nodiscard]] std::optional<TimePoint> nextTimer() const;
  /// Neither the store nor other proxies answer: this proxy is cut off, and callers are served better
  /// elsewhere.
  [[nodiscard]] bool isolated() const;

  /// Time after which a server whose entry has ended is gone. Entries that end while the store is away are
  /// back about two seconds after its return if the server lives.
  static constexpr Duration RemovalDelay = 2500ms;
  /// A watch ends after this time: one that has gone silent, or that missed a change whose history was
  /// dropped, is noticed by then. Changes of the configuration have to be in force within 3 s.
  static constexpr Duration WatchDuration = 3s;
  static constexpr Duration WatchGrace = 600ms;
  /// The same where other proxies follow, as a part of the bound for configurations: they notice a watcher
  /// that has lost the store later than the watcher itself.
  static constexpr int FollowedWatchDivisor = 2;
  /// Where withdrawn keys have to stop working within a bound, a watch of the configuration takes this part
  /// of it at most: two watches and two relays then fit into the bound, and so does the way to another
  /// watcher.
  static constexpr int RevocationWatchDivisor = 5;
  /// Proxies of an availability zone that one may follow, in rendezvous order, and the size of a zone from
  /// which all but the first follow.
  static constexpr std::size_t MaxFollowedPerZone = 2;
  static constexpr std::size_t MinZoneSizeToFollow = 4;
  /// Proxies of its own zone that a proxy asks before those of other zones if the store does not answer it.
  static constexpr std::size_t NearbyPeers = 2;
  /// A proxy that is followed answers after this time, also without news, and is left alone for a while if it
  /// does not, or if it has lost the store itself.
  static constexpr Duration PeerRequestWait = 1s;
  /// The same for a proxy that starts and waits for its first list.
  static constexpr Duration FirstListWait = 250ms;
  static constexpr Duration PeerRequestGrace = 250ms;
  /// Longest wait at the start for the list of proxies, after it was asked for.
  static constexpr Duration FleetListWait = 250ms;
  static constexpr Duration PeerBackoff = 2s;
  /// Upper limit of that time for a proxy that fails again and again while the store does not answer either.
  static constexpr Duration MaxPeerBackoff = 8s;
  /// After this time, proxies that were left alone are tried again while the store does not answer.
  static constexpr Duration PeerRetryInterval = 250ms;
  /// A proxy that the store does not answer tries again after this time while others have news.
  static constexpr Duration StoreRetryInterval = 2s;
  /// Wait of a watch that only has to tell what a followed proxy may have withheld.
  static constexpr Duration CheckWait = 100ms;
  /// Wait of a call that only tells what has changed until now.
  static constexpr Duration RefreshWait = 1ms;
  static constexpr Duration RefreshTimeout = 400ms;
  /// Pause before the next call if the answer was of no use.
  static constexpr Duration RefreshPause = 100ms;
  /// Proxies without news after which it tries the store again: the store is down for all.
  static constexpr int MaxStalePeerReplies = 4;
  /// Calls to the store and requests to other proxies without an answer, in a row, after which a proxy counts
  /// as cut off.
  static constexpr int IsolationThreshold = 2;
  /// Pause before the next watch while the fleet starts: the entries of many servers then come as one change.
  static constexpr Duration StartupWatchDelay = 700ms;
  static constexpr Duration StartupPeriod = 8s;
  static constexpr Duration ListTimeout = 1500ms;

private:
  struct PeerRequest {
    NodeId Peer;
    std::uint64_t Number = 0;
    TimePoint SentAt;
    Duration Wait{}; ///< After which the other proxy answers, also without news.

    [[nodiscard]] TimePoint deadline() const { return SentAt + Wait + PeerRequestGrace; }
  };
  struct Feed {
    explicit Feed(DirectoryKind kind) : Kind(kind) {}

    DirectoryKind Kind;
    std::optional<CallId> Call;
    bool Listing = true;
    std::vector<DirectoryObject> PartialList; ///< Pages of a list that is not complete.
    std::uint64_t FirstPageRevision = 0;      ///< A later change may be missing from the pages before it.
    TimePoint FirstPageAskedAt;
    /// The store holds a configuration that cannot be read, so nothing is known of the present keys.
    bool ConfigurationUnreadable = false;
    detail::SyncState Sync;
    TimePoint RetryAt;               ///< No call to the store before.
    std::optional<TimePoint> WakeAt; ///< When to look again for whom to ask.
    int StoreFailures = 0;           ///< Of calls to the store, in a row.
    TimePoint StoreCalledAt;
    /// Time was lost with a followed proxy: the store is asked beside the next one.
    bool CheckDue = false;
    int StalePeerReplies = 0;           ///< Proxies asked since then that have lost the store, too.
    int UnansweredPeerRequests = 0;     ///< Requests to other proxies without an answer, in a row.
    std::optional<PeerRequest> Pending; ///< Not answered yet.
    /// Requests for which this proxy has stopped waiting, the oldest first; their replies may still come.
    std::vector<PeerRequest> Abandoned;
    bool Started = false; ///< A first request was sent.
  };

  /// Asks the store and other proxies as far as that is due and has not been done yet.
  void requestChanges(Context &ctx, DirectoryServices &services, Feed &feed);
  /// Applies what the store has told of changes since a revision.
  void applyStoreChanges(Context &ctx, Catalog &catalog, Feed &feed, const DirectoryChanges &changes);
  /// The answer to refreshServers().
  void onRefreshed(Context &ctx, DirectoryServices &services, const DirectoryAnswer &event);
  /// The earliest time for the next call to the store; empty if none is needed.
  [[nodiscard]] static std::optional<TimePoint> nextStoreCall(const Feed &feed);
  void queryStore(Context &ctx, DirectoryServices &services, Feed &feed);
  void queryPeer(Context &ctx, Feed &feed, const NodeId &peer);
  /// \param followed Whether other proxies follow this one.
  [[nodiscard]] static Duration watchDuration(const Context &ctx, DirectoryKind kind, bool followed);
  /// Records what an answer of the store proves of the configuration's age.
  static void recordProof(Catalog &catalog, const Feed &feed, TimePoint askedAt);
  /// Records up to which revision a kind is known, and who told last what is known of the configuration; an
  /// empty name stands for the store.
  static void recordSource(Catalog &catalog, const Feed &feed, const NodeId &from);
  /// Logs when the proof of the configuration's age becomes too old, and when there is one again.
  void logProof(Context &ctx, const Catalog &catalog);
  void onPeerFailure(Context &ctx, DirectoryServices &services, Feed &feed);
  /// Stops waiting for the proxy that was asked.
  static void abandonRequest(Feed &feed);
  /// Leaves a proxy alone for a while.
  void backOff(const Context &ctx, const Feed &feed, const NodeId &peer);
  [[nodiscard]] std::optional<NodeId> selectPeer(const Context &ctx, const FleetMap &fleet,
                                                 const Feed &feed) const;
  [[nodiscard]] std::optional<NodeId> firstAvailable(const Context &ctx, std::span<const NodeId> nodes) const;
  /// Applies a reply for which this proxy has stopped waiting.
  void onLateReply(Context &ctx, DirectoryServices &services, const NodeId &from, const ChangesReply &reply);
  /// Applies what another proxy knows of the present era of the store.
  void applyReply(Context &ctx, Catalog &catalog, Feed &feed, const PeerRequest &request,
                  const ChangesReply &reply);
  /// Applies the objects of a reply, and its revision.
  void applyChanges(Context &ctx, Catalog &catalog, Feed &feed, const ChangesReply &reply);
  void applyList(Context &ctx, Catalog &catalog, Feed &feed, std::span<const DirectoryObject> objects);
  void applyObject(Context &ctx, Catalog &catalog, Feed &feed, const DirectoryObject &object);
  /// The store has no usable entry of this name any more.
  void onEntryDeleted(Context &ctx, Catalog &catalog, Feed &feed, const std::string &name);
  void onStoreFailure(Context &ctx, DirectoryServices &services, Feed &feed, const DirectoryFailure &failure);
  /// Lists the objects again, since the changes after the known revision cannot be had.
  static void startListing(Context &ctx, Feed &feed);

  std::optional<CallId> RefreshCall; ///< Of refreshServers().
  TimePoint RefreshAfter;            ///< No such call before.
  std::array<Feed, 2> Feeds{Feed(DirectoryKind::Configuration), Feed(DirectoryKind::Servers)};
  detail::ChangeRelay Relay;
  TimePoint StartedAt;
  bool ProofLost = false; ///< It was logged that the proof of the configuration's age is too old.
  std::map<TargetId, TimePoint>
      PendingRemovals; ///< Servers whose entries have ended, with the time of removal.
  struct Backoff {
    TimePoint Until;
    Duration Length{};
  };
  std::map<NodeId, Backoff> Backoffs; ///< Of proxies that did not answer or have lost the store.
};

} // namespace rosemaryhinge
