// Lists and watches of the platform's store.

#include "directory/directorymodule.h"

#include "base/overloaded.h"

#include <algorithm>
#include <set>

namespace rosemaryhinge {

namespace {

constexpr Duration FirstRetry = 100ms;
constexpr Duration MaxRetry = 800ms;
constexpr int MaxDoublings = 3;

const char *nameOf(DirectoryKind kind) {
  return kind == DirectoryKind::Configuration ? "configuration" : "servers";
}

} // namespace

void DirectoryModule::onStarted(Context &ctx) {
  StartedAt = ctx.Now;
  for (auto &it : Feeds)
    call(ctx, it);
}

void DirectoryModule::call(Context &ctx, Feed &feed) {
  feed.Call = ctx.call(Module::Directory);
  if (feed.Listing) {
    const auto after = feed.Listed.empty() ? std::string() : feed.Listed.back().Name;
    ctx.emit(DirectoryCall{*feed.Call, ListTimeout, ListDirectory{feed.Kind, after}});
  } else {
    ctx.emit(DirectoryCall{*feed.Call, WatchWait + WatchGrace,
                           WatchDirectory{feed.Kind, feed.Revision, WatchWait}});
  }
}

void DirectoryModule::onAnswer(Context &ctx, Catalog &catalog, const DirectoryAnswer &event) {
  const auto feed =
      std::find_if(Feeds.begin(), Feeds.end(), [&](const Feed &it) { return it.Call == event.Call; });
  if (feed == Feeds.end())
    return;
  feed->Call.reset();
  if (const auto *failure = std::get_if<DirectoryFailure>(&event.Result)) {
    failed(ctx, *feed, failure->Message);
    return;
  }
  if (std::exchange(feed->Failures, 0) > 1)
    ctx.emit(Log{LogLevel::Info, "store regained", {{"kind", nameOf(feed->Kind)}}});
  std::visit(Overloaded{
                 [&](const DirectoryListing &it) {
                   feed->Listed.insert(feed->Listed.end(), it.Objects.begin(), it.Objects.end());
                   if (it.More && !it.Objects.empty())
                     return;
                   feed->Revision = it.Revision;
                   feed->Listing = false;
                   applyList(ctx, catalog, *feed);
                 },
                 [&](const DirectoryChanges &it) {
                   for (const auto &object : it.Objects)
                     apply(ctx, catalog, object);
                   feed->Revision = std::max(feed->Revision, it.Revision);
                 },
                 [&](const DirectoryHistoryGone &) {
                   ctx.emit(Count{"directory_relists_total"});
                   feed->Listing = true;
                   feed->Listed.clear();
                 },
                 [](const auto &) {},
             },
             event.Result);
  const auto *changes = std::get_if<DirectoryChanges>(&event.Result);
  if (changes && !changes->Objects.empty() && ctx.Now - StartedAt < StartTime)
    feed->RetryAt = ctx.Now + StartPause;
  else
    call(ctx, *feed);
}

void DirectoryModule::applyList(Context &ctx, Catalog &catalog, Feed &feed) {
  const auto objects = std::exchange(feed.Listed, {});
  std::set<TargetId> seen;
  for (const auto &it : objects) {
    apply(ctx, catalog, it);
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
        vanish(ctx, catalog, target);
}

void DirectoryModule::apply(Context &ctx, Catalog &catalog, const DirectoryObject &object) {
  if (object.Deleted) {
    vanish(ctx, catalog, TargetId(object.Name));
    return;
  }
  std::visit(
      Overloaded{
          [&](const Configuration &it) {
            if (!catalog.accept(it))
              return;
            ctx.emit(Count{"configurations_accepted_total"});
            ctx.emit(
                Log{LogLevel::Info,
                    "configuration in force",
                    {{"version", std::to_string(it.Version)}, {"routes", std::to_string(it.Routes.size())}}});
          },
          [&](const ServerEntry &it) {
            Vanishing.erase(it.Target);
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

void DirectoryModule::vanish(Context &ctx, Catalog &catalog, const TargetId &target) {
  const auto *view = catalog.server(target);
  if (!view)
    return;
  if (view->Entry.Leaving) {
    Vanishing.erase(target);
    catalog.removeServer(target, ctx.Now);
    ctx.emit(Log{LogLevel::Info, "server left", {{"server", target.str()}}});
    return;
  }
  Vanishing.try_emplace(target, ctx.Now + GoneAfter);
}

void DirectoryModule::failed(Context &ctx, Feed &feed, const std::string &why) {
  ++feed.Failures;
  const int doublings = std::min(feed.Failures - 1, MaxDoublings);
  const auto pause = std::min(MaxRetry, FirstRetry * (1 << doublings));
  feed.RetryAt = ctx.Now + pause / 2 + ctx.spread(pause / 2);
  ctx.emit(Count{"directory_failures_total"});
  if (feed.Failures == 2)
    ctx.emit(Log{LogLevel::Warn, "store lost", {{"kind", nameOf(feed.Kind)}, {"why", why}}});
}

void DirectoryModule::onTimer(Context &ctx, Catalog &catalog) {
  for (auto &it : Feeds)
    if (!it.Call && ctx.Now >= it.RetryAt)
      call(ctx, it);
  for (auto it = Vanishing.begin(); it != Vanishing.end();) {
    if (ctx.Now < it->second) {
      ++it;
      continue;
    }
    catalog.removeServer(it->first, ctx.Now);
    ctx.emit(Log{LogLevel::Warn, "server gone", {{"server", it->first.str()}}});
    it = Vanishing.erase(it);
  }
}

std::optional<TimePoint> DirectoryModule::nextTimer() const {
  std::optional<TimePoint> out;
  const auto earlier = [&out](TimePoint it) { out = out ? std::min(*out, it) : it; };
  for (const auto &it : Feeds)
    if (!it.Call)
      earlier(it.RetryAt);
  for (const auto &[target, at] : Vanishing)
    earlier(at);
  return out;
}

} // namespace rosemaryhinge
