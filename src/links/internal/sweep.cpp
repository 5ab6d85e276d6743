// Periodic check of all links: closes those that do not open, do not reply, or have been idle for long.
// Closed idle links leave the connections of a server to the proxies that have work for it.

#include "links/linkpool.h"

#include <algorithm>

namespace rosemaryhinge {

namespace {

constexpr Duration OpenTimeout = 700ms;
/// Time limit for the oldest pending reply on a link that no session uses, such as the reply to the proxy's
/// own rollback. After this time the link counts as stuck and is closed.
constexpr Duration AnswerTimeout = 1500ms;
constexpr Duration SweepInterval = 50ms;

/// A proxy keeps idle links up to a fraction of its share of the server's connections, and closes idle links
/// above that after a shorter time-out. A proxy that already has links is not refused, so it cannot tell from
/// refusals that other proxies are waiting for connections.
struct IdlePolicy {
  double KeptFraction;
  Duration KeptTimeout;
  Duration ExcessTimeout;
};

/// Keeps links for long, since opening a connection takes a busy server longer than executing a statement.
constexpr IdlePolicy DedicatedIdlePolicy{0.6, 8s, 600ms};
/// Keeps fewer links: servers hold the connections of VMs that lost power for 3 s, and restarted proxies have
/// only the remaining connections until then.
constexpr IdlePolicy LentIdlePolicy{0.3, 2s, 250ms};
/// Where links belong to workspaces, a link that is closed is more often missed: the next one that is idle
/// may belong to another workspace.
constexpr IdlePolicy WorkspaceIdlePolicy{0.4, 8s, 500ms};
constexpr std::size_t MaxIdleLinks = 8;
/// Idle time-out where the share of a proxy that holds links is less than one connection.
constexpr Duration NoShareIdleTimeout = 40ms;

/// \param lent Whether connections are lent.
const IdlePolicy &idlePolicy(const Catalog &catalog, bool lent) {
  if (catalog.configuration().Workspaces)
    return WorkspaceIdlePolicy;
  return lent ? LentIdlePolicy : DedicatedIdlePolicy;
}

} // namespace

void LinkPool::scheduleSweep(TimePoint now) { NextSweep = NextSweep.value_or(now + SweepInterval); }

std::size_t LinkPool::maxIdleLinks(const Catalog &catalog, const TargetId &target) const {
  const auto *view = catalog.server(target);
  const auto *limits = view ? catalog.limits(view->Entry.Service) : nullptr;
  if (!limits)
    return MaxIdleLinks;
  const bool few = needsLending(catalog, view->Entry.Service);
  const auto share = static_cast<double>(limits->MaxConnections) / static_cast<double>(few ? Zones : Proxies);
  if (share < 1)
    return 0;
  const auto kept = static_cast<std::size_t>(share * idlePolicy(catalog, few).KeptFraction);
  const auto most = catalog.configuration().Workspaces ? kept : MaxIdleLinks;
  return std::clamp(kept, std::size_t{1}, std::max(most, std::size_t{1}));
}

Duration LinkPool::idleTimeout(const Catalog &catalog, const TargetId &target, const Server &server) const {
  const auto keep = maxIdleLinks(catalog, target);
  if (keep == 0)
    return NoShareIdleTimeout;
  const auto *view = catalog.server(target);
  const auto &policy = idlePolicy(catalog, view && needsLending(catalog, view->Entry.Service));
  return server.Idle <= keep ? policy.KeptTimeout : policy.ExcessTimeout;
}

std::vector<std::pair<LinkId, bool>> LinkPool::overdueLinks(TimePoint now, const Catalog &catalog) const {
  std::vector<std::pair<LinkId, bool>> out;
  for (const auto &[id, link] : Links) {
    const auto age = now - link.Since;
    if (link.State == Phase::Opening) {
      if (age >= OpenTimeout)
        out.emplace_back(id, true);
    } else if (link.State == Phase::Idle) {
      if (!catalog.server(link.Target) || age >= idleTimeout(catalog, link.Target, Servers.at(link.Target)))
        out.emplace_back(id, false);
    } else if (!link.InUse && !link.PendingReplies.empty() &&
               now - link.PendingReplies.front().SentAt >= AnswerTimeout) {
      out.emplace_back(id, true);
    }
  }
  return out;
}

void LinkPool::closeOverdue(Context &ctx, const Catalog &catalog, LinkId id, bool silent) {
  const auto it = Links.find(id);
  if (it == Links.end())
    return;
  auto &server = Servers.at(it->second.Target);
  // Check again: closing surplus links may have reduced the idle links to the number that is kept.
  if (it->second.State == Phase::Idle && catalog.server(it->second.Target) &&
      ctx.Now - it->second.Since < idleTimeout(catalog, it->second.Target, server))
    return;
  if (!it->second.Lender.empty()) {
    close(ctx, id, false);
    return;
  }
  const bool opening = it->second.State == Phase::Opening;
  if (opening)
    onOpenTimedOut(ctx, it->second.Target, server);
  removeLink(ctx, id, opening ? std::optional(LinkFailure::Timeout) : std::nullopt, silent);
  ctx.emit(CloseLink{id});
}

void LinkPool::onTimer(Context &ctx, const Catalog &catalog) {
  if (ctx.Self.TargetPace)
    markStartedServers(catalog);
  if (!NextSweep || ctx.Now < *NextSweep)
    return;
  for (const auto &[id, silent] : overdueLinks(ctx.Now, catalog))
    closeOverdue(ctx, catalog, id, silent);
  // A report from a lender is no evidence about this proxy's own links.
  for (auto &[target, server] : Servers)
    if (server.Health.refusedSince(ctx.Now) || server.Health.silence(ctx.Now) >= ServerHealth::SuspectAfter)
      server.RestartPaceOnNextAnswer = true;
  std::erase_if(Servers,
                [&](const auto &it) { return it.second.Links.empty() && !catalog.server(it.first); });
  NextSweep = Links.empty() ? std::nullopt : std::optional(ctx.Now + SweepInterval);
}

std::optional<TimePoint> LinkPool::nextTimer() const { return NextSweep; }

} // namespace rosemaryhinge
