// Opening of links, within the connections that a server allows, and the end of links that the server closes.

#include "links/linkpool.h"

#include "links/roundtrip.h"

#include <algorithm>

namespace rosemaryhinge {

namespace {

/// Connections are lent if the server allows fewer than this number for each proxy.
constexpr std::size_t LendBelowLinksPerProxy = 3;
/// Delay before opening a link to a server that was full. Random jitter of up to the same length is added.
constexpr Duration FullRetryDelay = 25ms;
constexpr Duration FailureRetryDelay = 200ms;
/// Links for queries and orders beyond the share of an availability zone.
constexpr std::size_t MaxControlLinks = 2;
/// Maximum number of links to one server being opened concurrently.
constexpr std::size_t MaxOpening = 4;

void countFailure(Context &ctx, LinkFailure why) {
  ctx.emit(Count{"links_failed_total{why=\"" + std::string(toString(why)) + "\"}"});
}

} // namespace

std::size_t LinkPool::maxOpenLinks(const Catalog &catalog, const DatabaseId &service,
                                   LinkPurpose purpose) const {
  const auto *limits = catalog.limits(service);
  const std::size_t all = limits && limits->MaxConnections > 0 ? limits->MaxConnections : 1;
  if (!needsLending(catalog, service))
    return all;
  // The zones' lenders divide the connections. Without a division, a zone that comes late, as after a
  // restart, gets none: those in use never become idle for long.
  const std::size_t share = (all + Zones - 1) / Zones;
  return share + (purpose == LinkPurpose::Control ? MaxControlLinks : 0);
}

LinkId LinkPool::addLink(Context &ctx, Server &server, const TargetId &target, const DatabaseId &service,
                         const NodeId &lender, const WorkspaceId &workspace) {
  const LinkId id{ctx.nextNumber()};
  Link link;
  link.Target = target;
  link.Service = service;
  link.Workspace = workspace;
  link.Since = ctx.Now;
  link.Lender = lender;
  server.Service = service;
  Links.emplace(id, std::move(link));
  server.Links.insert(id);
  return id;
}

std::size_t LinkPool::pending(const Server &server, const WorkspaceId &workspace, bool borrowed) const {
  return static_cast<std::size_t>(
      std::count_if(server.Links.begin(), server.Links.end(), [&](const LinkId &it) {
        const auto &link = Links.at(it);
        return link.State == Phase::Opening && link.Workspace == workspace && link.Lender.empty() != borrowed;
      }));
}

bool LinkPool::mayOpen(const TargetId &target, TimePoint now) const {
  const auto it = Servers.find(target);
  return it == Servers.end() || (now >= it->second.RetryAt && it->second.Opening < MaxOpening);
}

bool LinkPool::evictIdleLink(Context &ctx, Server &server, const WorkspaceId &workspace) {
  // The last idle link may be reserved for a change of primary.
  if (ctx.Now < server.ReservedUntil && server.Idle <= 1)
    return false;
  std::optional<LinkId> oldest;
  for (const auto &id : server.Links) {
    const auto &link = Links.at(id);
    const bool evictable = link.State == Phase::Idle && link.Lender.empty() && link.Workspace != workspace;
    if (evictable && (!oldest || link.Since < Links.at(*oldest).Since))
      oldest = id;
  }
  if (!oldest)
    return false;
  ctx.emit(Count{"links_evicted_total"});
  close(ctx, *oldest, false);
  return true;
}

void LinkPool::openLinks(Context &ctx, const Catalog &catalog, const TargetId &target, std::size_t waiting,
                         LinkPurpose purpose, const WorkspaceId &workspace) {
  const auto *view = catalog.server(target);
  if (!view)
    return;
  if (ctx.Self.TargetPace)
    markStartedServers(catalog);
  auto &server = Servers[target];
  server.RoundTrip = detail::roundTrip(ctx.Self, view->Entry.AvailabilityZone);
  const std::size_t cap = maxOpenLinks(catalog, view->Entry.Service, purpose);
  if (server.Idle > 0 && atConcurrencyLimit(target))
    return;
  const auto wanted = std::min(waiting, MaxOpening);
  auto opening = catalog.configuration().Workspaces ? pending(server, workspace, false) : server.Opening;
  for (; opening < wanted && server.Opening < MaxOpening && ctx.Now >= server.RetryAt; ++opening) {
    if (server.Links.size() >= cap && !evictIdleLink(ctx, server, workspace))
      break;
    const auto id = addLink(ctx, server, target, view->Entry.Service, NodeId(), workspace);
    ++server.Opening;
    ++server.PendingReplies;
    server.Health.sent(ctx.Now);
    ctx.emit(OpenLink{id, target, view->Entry.Service, view->Entry.Address, workspace});
    ctx.emit(Count{"links_opened_total"});
  }
  scheduleSweep(ctx.Now);
}

void LinkPool::onOpened(Context &ctx, LinkId id) {
  const auto it = Links.find(id);
  if (it == Links.end())
    return;
  auto &server = Servers[it->second.Target];
  if (!it->second.Lender.empty()) {
    --server.PendingLoanRequests;
    ctx.emit(Observe{"loan_wait_seconds", ctx.Now - it->second.Since});
    setPhase(it->second, Phase::Idle, ctx.Now);
    return;
  }
  --server.Opening;
  --server.PendingReplies;
  // Links that failed to open do not show that the server was lost if it answered on others meanwhile.
  if (server.LostAt && server.Health.lastReplyAt().value_or(TimePoint()) < *server.LostAt)
    server.RestartPaceOnNextAnswer = true;
  recordAnswer(ctx, it->second.Target, server);
  if (const auto since = std::exchange(server.LostAt, std::nullopt))
    ctx.emit(
        Log{LogLevel::Info,
            "server regained",
            {{"server", it->second.Target.str()}, {"after_ms", std::to_string((ctx.Now - *since) / 1ms)}}});
  setPhase(it->second, Phase::Idle, ctx.Now);
}

void LinkPool::onOpenFailed(Context &ctx, const TargetId &target, Server &server, LinkFailure why) {
  if (server.LostAt || why == LinkFailure::TooMany)
    return;
  server.LostAt = ctx.Now;
  ctx.emit(Log{LogLevel::Warn,
               "server accepts no connection",
               {{"server", target.str()}, {"why", std::string(toString(why))}}});
}

void LinkPool::onOpenTimedOut(Context &ctx, const TargetId &target, Server &server) {
  server.RetryAt = ctx.Now + FailureRetryDelay;
  onOpenFailed(ctx, target, server, LinkFailure::Timeout);
  countFailure(ctx, LinkFailure::Timeout);
}

std::optional<LinkPool::Closed> LinkPool::onClosed(Context &ctx, const LinkClosed &event) {
  const auto it = Links.find(event.Link);
  if (it == Links.end())
    return std::nullopt;
  auto &link = it->second;
  Closed out{link.User, link.Target, link.Service, link.State != Phase::Opening};
  auto &server = Servers[link.Target];
  if (!link.Lender.empty()) {
    const bool silent = event.Why == LinkFailure::Timeout;
    if (silent)
      server.Health.onReportedSilent(ctx.Now);
    if (!out.Opened)
      server.RetryAt = ctx.Now + (silent ? FailureRetryDelay : FullRetryDelay);
    ctx.emit(Count{"loans_failed_total{why=\"" + std::string(toString(event.Why)) + "\"}"});
    removeLink(ctx, event.Link, std::nullopt, false);
    return out;
  }
  if (event.Why == LinkFailure::TooMany) {
    static_cast<void>(evictIdleLink(ctx, server, link.Workspace));
    server.FullAt = ctx.Now;
    server.RetryAt = ctx.Now + FullRetryDelay + ctx.jitter(FullRetryDelay);
  } else if (!out.Opened) {
    server.RetryAt = ctx.Now + FailureRetryDelay;
  }
  if (!out.Opened)
    onOpenFailed(ctx, link.Target, server, event.Why);
  // Servers close idle connections routinely, so only the loss of a busy or opening link counts as a failure.
  const bool telling = !out.Opened || link.State == Phase::Busy;
  countFailure(ctx, event.Why);
  removeLink(ctx, event.Link, telling ? std::optional(event.Why) : std::nullopt, false);
  return out;
}

bool LinkPool::needsLending(const Catalog &catalog, const DatabaseId &service) const {
  const auto *limits = catalog.limits(service);
  return limits && limits->MaxConnections < LendBelowLinksPerProxy * Proxies;
}

} // namespace rosemaryhinge
