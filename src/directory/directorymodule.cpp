// Lists and watches of the platform's store, and what other proxies know of it.

#include "directory/directorymodule.h"

#include "base/overloaded.h"

#include <algorithm>
#include <set>

namespace rosemaryhinge {

namespace {

constexpr Duration FirstRetry = 100ms;
constexpr Duration MaxRetry = 800ms;
constexpr int MaxDoublings = 3;
/// Knowledge of a proxy that watches the store in the long rhythm is younger than this.
constexpr Duration FreshPeer = DirectoryModule::WatchWait + DirectoryModule::WatchGrace;
/// Key of the rendezvous order in which proxies watch the store.
constexpr std::string_view WatcherKey = "directory";
/// Deletions that are remembered for proxies that follow; older ones get the whole.
constexpr std::size_t MaxDeleted = 1'000;

const char *nameOf(DirectoryKind kind) {
  return kind == DirectoryKind::Configuration ? "configuration" : "servers";
}

/// Whether the proxies of a zone are enough that most follow others.
bool follows(const std::vector<NodeId> &zone) { return zone.size() >= DirectoryModule::FollowFrom; }

} // namespace

void DirectoryModule::onStarted(Context &ctx, DirectoryServices &services) {
  StartedAt = ctx.Now;
  for (auto &it : Feeds)
    next(ctx, services, it);
}

void DirectoryModule::next(Context &ctx, DirectoryServices &services, Feed &feed) {
  if (const auto peer = source(ctx, services.Fleet, feed))
    ask(ctx, feed, *peer);
  else
    callStore(ctx, services, feed);
}

std::optional<NodeId> DirectoryModule::firstAwake(const Context &ctx, std::span<const NodeId> nodes) const {
  for (const auto &node : nodes)
    if (const auto it = RestsUntil.find(node); it == RestsUntil.end() || ctx.Now >= it->second)
      return node;
  return std::nullopt;
}

std::optional<NodeId> DirectoryModule::source(const Context &ctx, const FleetMap &fleet,
                                              const Feed &feed) const {
  const auto &self = ctx.Self;
  if (feed.Failures > 0) {
    if (feed.StalePeers >= MaxStalePeers || ctx.Now - feed.StoreCalledAt >= StoreRetry)
      return std::nullopt;
    return firstAwake(ctx, fleet.others(self.Node, self.AvailabilityZone, WatcherKey, Watchers));
  }
  const auto zone = fleet.order(self.AvailabilityZone, WatcherKey);
  const auto at = static_cast<std::size_t>(std::find(zone.begin(), zone.end(), self.Node) - zone.begin());
  if (feed.Listing || !follows(zone) || at < Watchers)
    return std::nullopt;
  std::vector<NodeId> watchers(zone.begin(), zone.begin() + Watchers);
  std::rotate(watchers.begin(), watchers.begin() + static_cast<std::ptrdiff_t>(at % Watchers),
              watchers.end());
  return firstAwake(ctx, watchers);
}

void DirectoryModule::callStore(Context &ctx, DirectoryServices &services, Feed &feed) {
  feed.StoreCalledAt = ctx.Now;
  feed.StalePeers = 0;
  feed.Call = ctx.call(Module::Directory);
  if (feed.Listing) {
    const auto after = feed.Listed.empty() ? std::string() : feed.Listed.back().Name;
    ctx.emit(DirectoryCall{*feed.Call, ListTimeout, ListDirectory{feed.Kind, after}});
    return;
  }
  const bool followed = follows(services.Fleet.order(ctx.Self.AvailabilityZone, WatcherKey));
  const auto wait = followed ? FollowedWatchWait : WatchWait;
  ctx.emit(
      DirectoryCall{*feed.Call, wait + WatchGrace, WatchDirectory{feed.Kind, feed.Known.Revision, wait}});
}

void DirectoryModule::ask(Context &ctx, Feed &feed, const NodeId &peer) {
  feed.Followed = peer;
  feed.Asked = ctx.nextNumber();
  feed.AskedAt = ctx.Now;
  ctx.emit(Count{"directory_peer_requests_total"});
  ctx.emit(SendToPeer{peer, ChangesRequest{feed.Asked, feed.Kind, feed.Known.Revision, FollowWait}});
}

void DirectoryModule::onReply(Context &ctx, DirectoryServices &services, const NodeId &from,
                              const ChangesReply &reply) {
  const auto feed = std::find_if(Feeds.begin(), Feeds.end(), [&](const Feed &it) {
    return it.Followed == from && it.Asked == reply.Number && it.Kind == reply.Kind;
  });
  if (feed == Feeds.end())
    return;
  feed->Followed = NodeId();
  feed->SilentPeers = 0;
  auto &known = feed->Known;
  known.Revision = std::max(known.Revision, reply.Revision);
  known.ConfirmedAt = std::max(known.ConfirmedAt, ctx.Now - reply.Age);
  if (reply.Complete) {
    known.WholeBefore = known.Revision;
    applyList(ctx, services.Catalog, *feed, reply.Objects);
  } else {
    for (const auto &it : reply.Objects)
      apply(ctx, services.Catalog, *feed, it);
  }
  // A watch can go on from here, whoever told it.
  feed->Listing = feed->Listing && known.Revision == 0;
  Relay.answerDue(ctx, services.Catalog, feed->Kind, known);
  const bool large = follows(services.Fleet.order(ctx.Self.AvailabilityZone, WatcherKey));
  if (reply.Age >= (large ? detail::ChangeRelay::FollowAge : FreshPeer)) {
    RestsUntil[from] = ctx.Now + PeerRest;
    ++feed->StalePeers;
  }
  const bool storeNext = feed->Failures > 0 && feed->StalePeers >= MaxStalePeers;
  if (!storeNext || ctx.Now >= feed->RetryAt)
    next(ctx, services, *feed);
}

void DirectoryModule::unanswered(Context &ctx, DirectoryServices &services, Feed &feed) {
  RestsUntil[feed.Followed] = ctx.Now + PeerRest;
  ctx.emit(Count{"directory_peer_failures_total"});
  ctx.emit(Log{LogLevel::Info,
               "followed proxy does not answer",
               {{"peer", feed.Followed.str()}, {"kind", nameOf(feed.Kind)}}});
  feed.Followed = NodeId();
  const bool before = isolated();
  ++feed.SilentPeers;
  if (isolated() && !before)
    ctx.emit(Log{LogLevel::Warn, "cut off", {{"why", "neither the store nor other proxies answer"}}});
  next(ctx, services, feed);
}

bool DirectoryModule::isolated() const {
  return std::any_of(Feeds.begin(), Feeds.end(), [](const Feed &it) {
    return it.Failures >= IsolatedAfter && it.SilentPeers >= IsolatedAfter;
  });
}

void DirectoryModule::onRequest(Context &ctx, DirectoryServices &services, const NodeId &from,
                                const ChangesRequest &request) {
  const auto feed =
      std::find_if(Feeds.begin(), Feeds.end(), [&](const Feed &it) { return it.Kind == request.Kind; });
  if (feed != Feeds.end())
    Relay.onRequest(ctx, services.Catalog, feed->Known, from, request);
}

void DirectoryModule::onPeerLost(Context &ctx, DirectoryServices &services, const NodeId &node) {
  Relay.onPeerLost(node);
  for (auto &it : Feeds)
    if (it.Followed == node)
      unanswered(ctx, services, it);
}

void DirectoryModule::onAnswer(Context &ctx, DirectoryServices &services, const DirectoryAnswer &event) {
  const auto feed =
      std::find_if(Feeds.begin(), Feeds.end(), [&](const Feed &it) { return it.Call == event.Call; });
  if (feed == Feeds.end())
    return;
  feed->Call.reset();
  if (const auto *failure = std::get_if<DirectoryFailure>(&event.Result)) {
    failed(ctx, services, *feed, failure->Message);
    return;
  }
  feed->SilentPeers = 0;
  if (std::exchange(feed->Failures, 0) > 1)
    ctx.emit(Log{LogLevel::Info, "store regained", {{"kind", nameOf(feed->Kind)}}});
  auto &known = feed->Known;
  std::visit(Overloaded{
                 [&](const DirectoryListing &it) {
                   feed->Listed.insert(feed->Listed.end(), it.Objects.begin(), it.Objects.end());
                   if (it.More && !it.Objects.empty())
                     return;
                   known.Revision = std::max(known.Revision, it.Revision);
                   known.WholeBefore = known.Revision;
                   known.ConfirmedAt = ctx.Now;
                   feed->Listing = false;
                   applyList(ctx, services.Catalog, *feed, std::exchange(feed->Listed, {}));
                 },
                 [&](const DirectoryChanges &it) {
                   known.Revision = std::max(known.Revision, it.Revision);
                   known.ConfirmedAt = ctx.Now;
                   for (const auto &object : it.Objects)
                     apply(ctx, services.Catalog, *feed, object);
                 },
                 [&](const DirectoryHistoryCompacted &) {
                   ctx.emit(Count{"directory_relists_total"});
                   feed->Listing = true;
                   feed->Listed.clear();
                 },
                 [](const auto &) {},
             },
             event.Result);
  Relay.answerDue(ctx, services.Catalog, feed->Kind, known);
  const auto *changes = std::get_if<DirectoryChanges>(&event.Result);
  if (changes && !changes->Objects.empty() && ctx.Now - StartedAt < StartTime)
    feed->RetryAt = ctx.Now + StartPause;
  else
    next(ctx, services, *feed);
}

void DirectoryModule::applyList(Context &ctx, Catalog &catalog, Feed &feed,
                                std::span<const DirectoryObject> objects) {
  std::set<TargetId> seen;
  for (const auto &it : objects) {
    apply(ctx, catalog, feed, it);
    if (const auto *server = std::get_if<ServerEntry>(&it.Value))
      seen.insert(server->Target);
  }
  if (feed.Kind != DirectoryKind::Servers)
    return;
  catalog.setListed();
  for (const auto &service : catalog.services())
    for (const auto servers = catalog.servers(service);
         const auto &target : std::vector(servers.begin(), servers.end()))
      if (!seen.contains(target))
        vanish(ctx, catalog, feed, target.str());
}

void DirectoryModule::apply(Context &ctx, Catalog &catalog, Feed &feed, const DirectoryObject &object) {
  if (object.Deleted) {
    vanish(ctx, catalog, feed, object.Name);
    return;
  }
  std::visit(
      Overloaded{
          [&](const Configuration &it) {
            if (!catalog.accept(it))
              return;
            feed.Known.ChangedAt = feed.Known.Revision;
            ctx.emit(Count{"configurations_accepted_total"});
            ctx.emit(Log{LogLevel::Info,
                         "configuration in force",
                         {{"version", std::to_string(it.Version)},
                          {"routes", std::to_string(it.Routes.size())},
                          {"known_ms", std::to_string((ctx.Now - feed.Known.ConfirmedAt) / 1ms)}}});
          },
          [&](const ServerEntry &it) {
            Vanishing.erase(it.Target);
            feed.Known.Deleted.erase(it.Target.str());
            feed.Known.ChangedAt = std::max(feed.Known.ChangedAt, it.Revision);
            const auto before = catalog.primary(it.Service);
            catalog.updateServer(it, ctx.Now);
            ctx.emit(
                Log{LogLevel::Info,
                    "server entry",
                    {{"server", it.Target.str()},
                     {"service", it.Service.str()},
                     {"role", it.Role ? (*it.Role == TargetRole::Primary ? "primary" : "replica") : "none"},
                     {"leaving", it.Leaving ? "yes" : "no"},
                     {"revision", std::to_string(it.Revision)}}});
            if (const auto after = catalog.primary(it.Service); after && after != before)
              ctx.emit(Log{LogLevel::Info,
                           "primary changed",
                           {{"service", it.Service.str()}, {"server", after->str()}, {"source", "store"}}});
          },
          [&](const UnreadableObject &it) {
            ctx.emit(Count{"directory_unreadable_total"});
            ctx.emit(Log{LogLevel::Warn, "object cannot be used", {{"name", object.Name}, {"why", it.Why}}});
          },
          [](const auto &) {}, // Claims and proxies are read by their own modules.
      },
      object.Value);
}

void DirectoryModule::vanish(Context &ctx, Catalog &catalog, Feed &feed, const std::string &name) {
  const TargetId target(name);
  const auto *view = catalog.server(target);
  if (!view)
    return;
  auto &known = feed.Known;
  if (known.Deleted.size() >= MaxDeleted) {
    known.Deleted.clear();
    known.WholeBefore = known.Revision;
  }
  if (known.Deleted.try_emplace(name, known.Revision).second)
    known.ChangedAt = known.Revision;
  if (view->Entry.Leaving) {
    Vanishing.erase(target);
    catalog.removeServer(target, ctx.Now);
    ctx.emit(Log{LogLevel::Info, "server left", {{"server", name}}});
    return;
  }
  Vanishing.try_emplace(target, ctx.Now + GoneAfter);
}

void DirectoryModule::failed(Context &ctx, DirectoryServices &services, Feed &feed, const std::string &why) {
  ++feed.Failures;
  const int doublings = std::min(feed.Failures - 1, MaxDoublings);
  const auto pause = std::min(MaxRetry, FirstRetry * (1 << doublings));
  feed.RetryAt = ctx.Now + pause / 2 + ctx.jitter(pause / 2);
  ctx.emit(Count{"directory_failures_total"});
  if (feed.Failures == 2)
    ctx.emit(Log{LogLevel::Warn, "store lost", {{"kind", nameOf(feed.Kind)}, {"why", why}}});
  if (const auto peer = source(ctx, services.Fleet, feed))
    ask(ctx, feed, *peer);
}

void DirectoryModule::onTimer(Context &ctx, DirectoryServices &services) {
  for (auto &it : Feeds) {
    Relay.answerDue(ctx, services.Catalog, it.Kind, it.Known);
    if (!it.Followed.empty() && ctx.Now - it.AskedAt >= FollowWait + FollowGrace)
      unanswered(ctx, services, it);
    else if (!it.Call && it.Followed.empty() && ctx.Now >= it.RetryAt)
      next(ctx, services, it);
  }
  for (auto it = Vanishing.begin(); it != Vanishing.end();) {
    if (ctx.Now < it->second) {
      ++it;
      continue;
    }
    services.Catalog.removeServer(it->first, ctx.Now);
    ctx.emit(Log{LogLevel::Warn, "server gone", {{"server", it->first.str()}}});
    it = Vanishing.erase(it);
  }
}

std::optional<TimePoint> DirectoryModule::nextTimer() const {
  std::optional<TimePoint> out;
  const auto earlier = [&out](TimePoint it) { out = out ? std::min(*out, it) : it; };
  for (const auto &it : Feeds) {
    if (const auto at = Relay.nextTimer(it.Kind, it.Known))
      earlier(*at);
    if (!it.Followed.empty())
      earlier(it.AskedAt + FollowWait + FollowGrace);
    else if (!it.Call)
      earlier(it.RetryAt);
  }
  for (const auto &[target, at] : Vanishing)
    earlier(at);
  return out;
}

} // namespace rosemaryhinge
