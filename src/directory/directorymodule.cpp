// Lists and watches of the platform's store, and what other proxies know of it.

#include "directory/directorymodule.h"

#include "base/overloaded.h"
#include "protocol/storerevision.h"

#include <algorithm>
#include <set>

namespace rosemaryhinge {

namespace {

constexpr Duration FirstRetry = 100ms;
constexpr Duration MaxRetry = 800ms;
constexpr int MaxDoublings = 3;
/// Added to the time of a watch and its grace before a watcher counts as having lost the store.
constexpr Duration RelayMargin = 100ms;
/// Key of the rendezvous order in which proxies watch the store.
constexpr std::string_view WatcherKey = "directory";
/// Deletions that are remembered for proxies that follow; older ones get the whole.
constexpr std::size_t MaxDeleted = 1'000;
/// Requests to other proxies whose late replies are still accepted.
constexpr std::size_t MaxAbandoned = 8;
/// Name of the object that holds the configuration in force.
constexpr std::string_view ConfigurationName = "main";

const char *kindName(DirectoryKind kind) {
  return kind == DirectoryKind::Configuration ? "configuration" : "servers";
}

/// The feed of a kind; the end of the range if there is none.
template <typename Range> auto findFeed(Range &feeds, DirectoryKind kind) {
  return std::find_if(feeds.begin(), feeds.end(), [&](const auto &it) { return it.Kind == kind; });
}

/// Whether the proxies of a zone are enough that most follow others.
bool isLargeZone(const std::vector<NodeId> &zone) {
  return zone.size() >= DirectoryModule::MinZoneSizeToFollow;
}

} // namespace

void DirectoryModule::onStarted(Context &ctx, DirectoryServices &services) {
  StartedAt = ctx.Now;
  const auto maxAge = [&](DirectoryKind kind) {
    return watchDuration(ctx, kind, true) + WatchGrace + RelayMargin;
  };
  Relay.setMaxConfirmationAge(maxAge(DirectoryKind::Configuration), maxAge(DirectoryKind::Servers));
  if (services.Fleet.listed()) {
    for (auto &it : Feeds)
      requestChanges(ctx, services, it);
    return;
  }
  const auto listedBy = ctx.Now + FleetMap::firstListDelay(ctx.Self) + FleetListWait;
  for (auto &it : Feeds)
    it.WakeAt = listedBy;
}

Duration DirectoryModule::watchDuration(const Context &ctx, DirectoryKind kind, bool followed) {
  const Duration out = followed ? ctx.Self.PropagationBound / FollowedWatchDivisor : WatchDuration;
  const auto &bound = ctx.Self.RevocationBound;
  return bound && kind == DirectoryKind::Configuration ? std::min(out, *bound / RevocationWatchDivisor) : out;
}

void DirectoryModule::recordProof(Catalog &catalog, const Feed &feed, TimePoint askedAt) {
  if (feed.Kind == DirectoryKind::Configuration && !feed.ConfigurationUnreadable && catalog.configured())
    catalog.proveConfiguration(askedAt);
}

void DirectoryModule::recordSource(Catalog &catalog, const Feed &feed, const NodeId &from) {
  if (feed.Kind == DirectoryKind::Configuration)
    catalog.setConfigurationSource({from, feed.Sync.Revision, feed.Sync.ConfirmedAt});
  else
    catalog.setServersRevision(feed.Sync.Revision);
}

void DirectoryModule::logProof(Context &ctx, const Catalog &catalog) {
  if (!ctx.Self.RevocationBound || !catalog.configuration().Workspaces)
    return;
  const bool proven = catalog.keysProven(ctx.Self.RevocationBound, ctx.Now);
  if (proven != ProofLost)
    return;
  ProofLost = !proven;
  if (proven)
    ctx.emit(Log{LogLevel::Info, "keys proven again", {}});
  else
    ctx.emit(Log{LogLevel::Warn,
                 "keys not proven",
                 {{"why", "the configuration may have changed since it was read; callers with keys wait"}}});
}

void DirectoryModule::requestChanges(Context &ctx, DirectoryServices &services, Feed &feed) {
  feed.Started = true;
  feed.WakeAt.reset();
  if (!feed.Pending)
    if (const auto peer = selectPeer(ctx, services.Fleet, feed))
      queryPeer(ctx, feed, *peer);
  if (!feed.Pending && feed.StoreFailures > 0)
    feed.WakeAt = ctx.Now + PeerRetryInterval;
  const auto storeCallAt = nextStoreCall(feed);
  if (!storeCallAt)
    return;
  if (ctx.Now >= *storeCallAt)
    queryStore(ctx, services, feed);
  else
    feed.WakeAt = std::min(feed.WakeAt.value_or(*storeCallAt), *storeCallAt);
}

std::optional<TimePoint> DirectoryModule::nextStoreCall(const Feed &feed) {
  const bool asked = feed.Pending.has_value();
  if (feed.Call || (asked && feed.StoreFailures == 0 && !feed.CheckDue))
    return std::nullopt;
  return asked && feed.StoreFailures > 0 ? std::max(feed.RetryAt, feed.StoreCalledAt + StoreRetryInterval)
                                         : feed.RetryAt;
}

std::optional<NodeId> DirectoryModule::firstAvailable(const Context &ctx,
                                                      std::span<const NodeId> nodes) const {
  for (const auto &node : nodes)
    if (const auto it = Backoffs.find(node); it == Backoffs.end() || ctx.Now >= it->second.Until)
      return node;
  return std::nullopt;
}

std::optional<NodeId> DirectoryModule::selectPeer(const Context &ctx, const FleetMap &fleet,
                                                  const Feed &feed) const {
  const auto &self = ctx.Self;
  if (feed.StoreFailures > 0) {
    if (feed.StalePeerReplies >= MaxStalePeerReplies)
      return std::nullopt;
    return firstAvailable(ctx, fleet.others(self.Node, self.AvailabilityZone, WatcherKey, NearbyPeers));
  }
  const auto &zone = fleet.order(self.AvailabilityZone, WatcherKey);
  const auto at = static_cast<std::size_t>(std::find(zone.begin(), zone.end(), self.Node) - zone.begin());
  const bool gaveUp = feed.Listing && feed.UnansweredPeerRequests > 0;
  if (gaveUp || !isLargeZone(zone))
    return std::nullopt;
  return firstAvailable(ctx, std::span(zone).first(std::min(at, MaxFollowedPerZone)));
}

void DirectoryModule::queryStore(Context &ctx, DirectoryServices &services, Feed &feed) {
  feed.StoreCalledAt = ctx.Now;
  feed.StalePeerReplies = 0;
  feed.Call = ctx.call(Module::Directory);
  const bool checkOnly = std::exchange(feed.CheckDue, false) && feed.Pending;
  if (feed.Listing) {
    ctx.emit(DirectoryCall{*feed.Call, ListTimeout, ListDirectory{feed.Kind, lastName(feed.PartialList)}});
    return;
  }
  const bool followed = isLargeZone(services.Fleet.order(ctx.Self.AvailabilityZone, WatcherKey));
  const auto wait = checkOnly ? CheckWait : watchDuration(ctx, feed.Kind, followed);
  ctx.emit(DirectoryCall{*feed.Call, wait + WatchGrace, WatchDirectory{feed.Kind, feed.Sync.Revision, wait}});
}

void DirectoryModule::queryPeer(Context &ctx, Feed &feed, const NodeId &peer) {
  const auto &[to, number, sentAt, wait] = feed.Pending.emplace(
      PeerRequest{peer, ctx.nextNumber(), ctx.Now, feed.Listing ? FirstListWait : PeerRequestWait});
  ctx.emit(Count{"directory_peer_requests_total"});
  ctx.emit(SendToPeer{to, ChangesRequest{number, feed.Kind, feed.Sync.Revision, wait}});
}

void DirectoryModule::onReply(Context &ctx, DirectoryServices &services, const NodeId &from,
                              const ChangesReply &reply) {
  const auto feed = std::find_if(Feeds.begin(), Feeds.end(), [&](const Feed &it) {
    return it.Pending && it.Pending->Peer == from && it.Pending->Number == reply.Number &&
           it.Kind == reply.Kind;
  });
  if (feed == Feeds.end()) {
    onLateReply(ctx, services, from, reply);
    return;
  }
  const auto request = *std::exchange(feed->Pending, std::nullopt);
  feed->UnansweredPeerRequests = 0;
  auto &known = feed->Sync;
  // A proxy that has not learnt of a restoration of the store knows entries that are gone.
  const bool current = storeEra(reply.Revision) >= storeEra(known.Revision);
  if (current) {
    applyReply(ctx, services.Catalog, *feed, request, reply);
    recordSource(services.Catalog, *feed, from);
  }
  // A watch can go on from here, whoever told it.
  if (known.Revision > 0) {
    feed->Listing = false;
    feed->PartialList.clear();
  }
  Relay.answerPending(ctx, services.Catalog, feed->Kind, known);
  const bool large = isLargeZone(services.Fleet.order(ctx.Self.AvailabilityZone, WatcherKey));
  const auto maxAge =
      large ? Relay.maxConfirmationAge(feed->Kind) : watchDuration(ctx, feed->Kind, false) + WatchGrace;
  if (!current || reply.Age >= maxAge) {
    backOff(ctx, *feed, from);
    ++feed->StalePeerReplies;
    feed->CheckDue = true;
  } else {
    Backoffs.erase(from);
  }
  requestChanges(ctx, services, *feed);
}

void DirectoryModule::onLateReply(Context &ctx, DirectoryServices &services, const NodeId &from,
                                  const ChangesReply &reply) {
  ctx.emit(Count{"directory_late_replies_total"});
  const auto sentBy = [&](Feed &feed) {
    return feed.Kind == reply.Kind && std::erase_if(feed.Abandoned, [&](const PeerRequest &it) {
                                        return it.Peer == from && it.Number == reply.Number;
                                      }) > 0;
  };
  const auto feed = std::find_if(Feeds.begin(), Feeds.end(), sentBy);
  // It lacks nothing between the revision that was known when it was asked for and its own.
  const bool news = feed != Feeds.end() && reply.Revision > feed->Sync.Revision;
  ctx.emit(Log{LogLevel::Info,
               "reply of a followed proxy came late",
               {{"peer", from.str()},
                {"kind", kindName(reply.Kind)},
                {"objects", std::to_string(reply.Objects.size())},
                {"revision", std::to_string(storeNumber(reply.Revision))},
                {"news", news ? "yes" : "no"}}});
  if (!news)
    return;
  applyChanges(ctx, services.Catalog, *feed, reply);
  recordSource(services.Catalog, *feed, from);
  Relay.answerPending(ctx, services.Catalog, feed->Kind, feed->Sync);
}

void DirectoryModule::abandonRequest(Feed &feed) {
  if (!feed.Pending)
    return;
  if (feed.Abandoned.size() >= MaxAbandoned)
    feed.Abandoned.erase(feed.Abandoned.begin());
  feed.Abandoned.push_back(*std::exchange(feed.Pending, std::nullopt));
}

void DirectoryModule::backOff(const Context &ctx, const Feed &feed, const NodeId &peer) {
  auto &it = Backoffs[peer];
  const bool again = feed.StoreFailures > 0 && it.Length > Duration();
  it.Length = again ? std::min(2 * it.Length, MaxPeerBackoff) : PeerBackoff;
  it.Until = ctx.Now + it.Length;
}

void DirectoryModule::applyReply(Context &ctx, Catalog &catalog, Feed &feed, const PeerRequest &request,
                                 const ChangesReply &reply) {
  feed.Sync.ConfirmedAt = std::max(feed.Sync.ConfirmedAt, ctx.Now - reply.Age);
  applyChanges(ctx, catalog, feed, reply);
  // The request was received after it was sent here, so this never makes the proof look younger.
  if (reply.ProofOffset)
    recordProof(catalog, feed, std::min(ctx.Now, request.SentAt + *reply.ProofOffset));
}

void DirectoryModule::applyChanges(Context &ctx, Catalog &catalog, Feed &feed, const ChangesReply &reply) {
  auto &known = feed.Sync;
  known.Revision = std::max(known.Revision, reply.Revision);
  if (reply.Complete) {
    known.CompactedBefore = known.Revision;
    applyList(ctx, catalog, feed, reply.Objects);
  } else {
    for (const auto &it : reply.Objects)
      applyObject(ctx, catalog, feed, it);
  }
}

void DirectoryModule::onPeerFailure(Context &ctx, DirectoryServices &services, Feed &feed) {
  backOff(ctx, feed, feed.Pending->Peer);
  ctx.emit(Count{"directory_peer_failures_total"});
  ctx.emit(Log{LogLevel::Info,
               "followed proxy does not answer",
               {{"peer", feed.Pending->Peer.str()}, {"kind", kindName(feed.Kind)}}});
  abandonRequest(feed);
  const bool before = isolated();
  ++feed.UnansweredPeerRequests;
  if (isolated() && !before)
    ctx.emit(Log{LogLevel::Warn, "cut off", {{"why", "neither the store nor other proxies answer"}}});
  requestChanges(ctx, services, feed);
}

bool DirectoryModule::isolated() const {
  return std::any_of(Feeds.begin(), Feeds.end(), [](const Feed &it) {
    return it.StoreFailures >= IsolationThreshold && it.UnansweredPeerRequests >= IsolationThreshold;
  });
}

void DirectoryModule::onRequest(Context &ctx, DirectoryServices &services, const NodeId &from,
                                const ChangesRequest &request) {
  const auto feed = findFeed(Feeds, request.Kind);
  if (feed != Feeds.end())
    Relay.onRequest(ctx, services.Catalog, feed->Sync, from, request);
}

void DirectoryModule::onPeerLost(Context &ctx, DirectoryServices &services, const NodeId &node) {
  Relay.onPeerLost(node);
  for (auto &it : Feeds)
    if (it.Pending && it.Pending->Peer == node)
      onPeerFailure(ctx, services, it);
}

void DirectoryModule::refreshServers(Context &ctx) {
  const auto feed = findFeed(Feeds, DirectoryKind::Servers);
  if (RefreshCall || feed->Listing || ctx.Now < RefreshAfter)
    return;
  RefreshCall = ctx.call(Module::Directory);
  ctx.emit(DirectoryCall{*RefreshCall, RefreshTimeout,
                         WatchDirectory{DirectoryKind::Servers, feed->Sync.Revision, RefreshWait}});
}

void DirectoryModule::onRefreshed(Context &ctx, DirectoryServices &services, const DirectoryAnswer &event) {
  RefreshCall.reset();
  RefreshAfter = ctx.Now + RefreshPause;
  const auto *changes = std::get_if<DirectoryChanges>(&event.Result);
  const auto feed = findFeed(Feeds, DirectoryKind::Servers);
  // The watch beside it finds out about a restoration, or about a history that is gone.
  if (!changes || storeEra(changes->Revision) != storeEra(feed->Sync.Revision))
    return;
  applyStoreChanges(ctx, services.Catalog, *feed, *changes);
  recordSource(services.Catalog, *feed, NodeId());
  Relay.answerPending(ctx, services.Catalog, feed->Kind, feed->Sync);
}

void DirectoryModule::applyStoreChanges(Context &ctx, Catalog &catalog, Feed &feed,
                                        const DirectoryChanges &changes) {
  auto &known = feed.Sync;
  known.ConfirmedAt = ctx.Now;
  // What another proxy has told meanwhile may be newer, and must not be undone.
  if (changes.Revision <= known.Revision)
    return;
  known.Revision = changes.Revision;
  for (const auto &object : changes.Objects)
    applyObject(ctx, catalog, feed, object);
}

void DirectoryModule::onAnswer(Context &ctx, DirectoryServices &services, const DirectoryAnswer &event) {
  if (RefreshCall == event.Call) {
    onRefreshed(ctx, services, event);
    return;
  }
  const auto feed =
      std::find_if(Feeds.begin(), Feeds.end(), [&](const Feed &it) { return it.Call == event.Call; });
  if (feed == Feeds.end())
    return;
  feed->Call.reset();
  if (const auto *failure = std::get_if<DirectoryFailure>(&event.Result)) {
    onStoreFailure(ctx, services, *feed, *failure);
    return;
  }
  feed->UnansweredPeerRequests = 0;
  const int failures = std::exchange(feed->StoreFailures, 0);
  if (failures > 0) {
    // From here on it watches the store, or follows the proxy whose turn it is.
    Backoffs.clear();
    abandonRequest(*feed);
  }
  if (failures > 1)
    ctx.emit(Log{LogLevel::Info, "store regained", {{"kind", kindName(feed->Kind)}}});
  auto &known = feed->Sync;
  std::visit(Overloaded{
                 [&](const DirectoryListing &it) {
                   // Another proxy has told all meanwhile, and a watch goes on from there.
                   if (!feed->Listing)
                     return;
                   if (feed->PartialList.empty()) {
                     feed->FirstPageRevision = it.Revision;
                     feed->FirstPageAskedAt = feed->StoreCalledAt;
                   }
                   if (storeEra(feed->FirstPageRevision) != storeEra(it.Revision)) {
                     startListing(ctx, *feed);
                     return;
                   }
                   feed->PartialList.insert(feed->PartialList.end(), it.Objects.begin(), it.Objects.end());
                   if (it.More && !lastName(it.Objects).empty())
                     return;
                   known.Revision = std::max(known.Revision, feed->FirstPageRevision);
                   known.CompactedBefore = known.Revision;
                   known.ConfirmedAt = ctx.Now;
                   feed->Listing = false;
                   applyList(ctx, services.Catalog, *feed, std::exchange(feed->PartialList, {}));
                   recordProof(services.Catalog, *feed, feed->FirstPageAskedAt);
                 },
                 [&](const DirectoryChanges &it) {
                   if (storeEra(it.Revision) != storeEra(known.Revision)) {
                     // The store has been restored, and tells of none of the changes that it has forgotten.
                     startListing(ctx, *feed);
                     return;
                   }
                   applyStoreChanges(ctx, services.Catalog, *feed, it);
                   recordProof(services.Catalog, *feed, feed->StoreCalledAt);
                 },
                 [&](const DirectoryHistoryCompacted &) { startListing(ctx, *feed); },
                 [](const auto &) {},
             },
             event.Result);
  recordSource(services.Catalog, *feed, NodeId());
  Relay.answerPending(ctx, services.Catalog, feed->Kind, known);
  const auto *changes = std::get_if<DirectoryChanges>(&event.Result);
  if (changes && !changes->Objects.empty() && ctx.Now - StartedAt < StartupPeriod)
    feed->RetryAt = ctx.Now + StartupWatchDelay;
  requestChanges(ctx, services, *feed);
}

void DirectoryModule::startListing(Context &ctx, Feed &feed) {
  ctx.emit(Count{"directory_relists_total"});
  feed.Listing = true;
  feed.PartialList.clear();
}

void DirectoryModule::applyList(Context &ctx, Catalog &catalog, Feed &feed,
                                std::span<const DirectoryObject> objects) {
  std::set<TargetId> seen;
  for (const auto &it : objects) {
    applyObject(ctx, catalog, feed, it);
    if (const auto *server = std::get_if<ServerEntry>(&it.Value))
      seen.insert(server->Target);
  }
  if (feed.Kind != DirectoryKind::Servers)
    return;
  catalog.setServersLoaded();
  for (const auto &service : catalog.services())
    for (const auto servers = catalog.servers(service);
         const auto &target : std::vector(servers.begin(), servers.end()))
      if (!seen.contains(target))
        onEntryDeleted(ctx, catalog, feed, target.str());
}

void DirectoryModule::applyObject(Context &ctx, Catalog &catalog, Feed &feed, const DirectoryObject &object) {
  if (object.Deleted) {
    onEntryDeleted(ctx, catalog, feed, object.Name);
    return;
  }
  std::visit(
      Overloaded{
          [&](const Configuration &it) {
            // Also one that is in force already: after a restoration of the store, a proxy that follows may
            // have read an older one up to a later revision than the one at which this was accepted here.
            feed.Sync.LastChangeRevision = feed.Sync.Revision;
            feed.ConfigurationUnreadable = false;
            if (!catalog.accept(it))
              return;
            ctx.emit(Count{"configurations_accepted_total"});
            ctx.emit(Log{LogLevel::Info,
                         "configuration in force",
                         {{"version", std::to_string(it.Version)},
                          {"routes", std::to_string(it.Routes.size())},
                          {"revision", std::to_string(storeNumber(feed.Sync.Revision))},
                          {"known_ms", std::to_string((ctx.Now - feed.Sync.ConfirmedAt) / 1ms)}}});
          },
          [&](const ServerEntry &it) {
            PendingRemovals.erase(it.Target);
            feed.Sync.DeletedRevisions.erase(it.Target.str());
            // A later page of a list may hold changes after the revision up to which all are known.
            const auto changedAt = std::min(it.Revision, feed.Sync.Revision);
            feed.Sync.LastChangeRevision = std::max(feed.Sync.LastChangeRevision, changedAt);
            const auto before = catalog.primary(it.Service);
            catalog.updateServer(it, ctx.Now);
            ctx.emit(
                Log{LogLevel::Info,
                    "server entry",
                    {{"server", it.Target.str()},
                     {"service", it.Service.str()},
                     {"role", it.Role ? (*it.Role == TargetRole::Primary ? "primary" : "replica") : "none"},
                     {"leaving", it.Leaving ? "yes" : "no"},
                     {"revision", std::to_string(storeNumber(it.Revision))}}});
            if (const auto after = catalog.primary(it.Service); after && after != before)
              ctx.emit(Log{LogLevel::Info,
                           "primary changed",
                           {{"service", it.Service.str()}, {"server", after->str()}, {"source", "store"}}});
          },
          [&](const UnreadableObject &it) {
            feed.ConfigurationUnreadable =
                feed.ConfigurationUnreadable || (feed.Kind == DirectoryKind::Configuration &&
                                                 (object.Name.empty() || object.Name == ConfigurationName));
            ctx.emit(Count{"directory_unreadable_total"});
            ctx.emit(Log{LogLevel::Warn, "object cannot be used", {{"name", object.Name}, {"why", it.Why}}});
            if (feed.Kind == DirectoryKind::Servers && !object.Name.empty())
              onEntryDeleted(ctx, catalog, feed, object.Name);
          },
          [](const auto &) {}, // Claims and proxies are read by their own modules.
      },
      object.Value);
}

void DirectoryModule::onEntryDeleted(Context &ctx, Catalog &catalog, Feed &feed, const std::string &name) {
  // Also of a server that is not used here: those who follow this proxy may know it.
  auto &known = feed.Sync;
  if (known.DeletedRevisions.size() >= MaxDeleted) {
    known.DeletedRevisions.clear();
    known.CompactedBefore = known.Revision;
  }
  if (known.DeletedRevisions.try_emplace(name, known.Revision).second)
    known.LastChangeRevision = known.Revision;
  const TargetId target(name);
  const auto *view = catalog.server(target);
  if (!view)
    return;
  if (view->Entry.Leaving) {
    PendingRemovals.erase(target);
    catalog.removeServer(target, ctx.Now);
    ctx.emit(Log{LogLevel::Info, "server left", {{"server", name}}});
    return;
  }
  PendingRemovals.try_emplace(target, ctx.Now + RemovalDelay);
}

void DirectoryModule::onStoreFailure(Context &ctx, DirectoryServices &services, Feed &feed,
                                     const DirectoryFailure &failure) {
  ++feed.StoreFailures;
  if (failure.Unreadable && !feed.Listing)
    startListing(ctx, feed);
  const int doublings = std::min(feed.StoreFailures - 1, MaxDoublings);
  const auto pause = std::min(MaxRetry, FirstRetry * (1 << doublings));
  feed.RetryAt = ctx.Now + pause / 2 + ctx.jitter(pause / 2);
  ctx.emit(Count{"directory_failures_total"});
  if (feed.StoreFailures == 2)
    ctx.emit(Log{LogLevel::Warn, "store lost", {{"kind", kindName(feed.Kind)}, {"why", failure.Message}}});
  requestChanges(ctx, services, feed);
}

void DirectoryModule::onTimer(Context &ctx, DirectoryServices &services) {
  logProof(ctx, services.Catalog);
  for (auto &it : Feeds) {
    Relay.answerPending(ctx, services.Catalog, it.Kind, it.Sync);
    const bool due = (it.WakeAt && ctx.Now >= *it.WakeAt) || (!it.Started && services.Fleet.listed());
    if (it.Pending && ctx.Now >= it.Pending->deadline()) {
      it.CheckDue = true;
      onPeerFailure(ctx, services, it);
    } else if (due) {
      requestChanges(ctx, services, it);
    }
  }
  for (auto it = PendingRemovals.begin(); it != PendingRemovals.end();) {
    if (ctx.Now < it->second) {
      ++it;
      continue;
    }
    services.Catalog.removeServer(it->first, ctx.Now);
    ctx.emit(Log{LogLevel::Warn, "server gone", {{"server", it->first.str()}}});
    it = PendingRemovals.erase(it);
  }
}

std::optional<TimePoint> DirectoryModule::nextTimer() const {
  std::optional<TimePoint> out;
  const auto earlier = [&out](TimePoint it) { out = out ? std::min(*out, it) : it; };
  for (const auto &it : Feeds) {
    if (const auto at = Relay.nextTimer(it.Kind, it.Sync))
      earlier(*at);
    if (it.Pending)
      earlier(it.Pending->deadline());
    if (it.WakeAt)
      earlier(*it.WakeAt);
  }
  for (const auto &[target, at] : PendingRemovals)
    earlier(at);
  return out;
}

} // namespace rosemaryhinge
