// Assignment of links to sessions, their return to the pool, and counts of the links of each server.

#include "links/linkpool.h"

#include "links/internal/sessionvalues.h"

namespace rosemaryhinge {

namespace {

/// Time for which a server counts as full after it refused a connection as one too many.
constexpr Duration FullValidity = 3s;

} // namespace

std::optional<LinkId> LinkPool::bestIdleLink(const Server &server, const LinkUser &user,
                                             const SessionValues &values) const {
  std::optional<LinkId> best;
  int bestRank = -1;
  for (const auto &id : server.Links) {
    const auto &link = Links.at(id);
    if (link.State != Phase::Idle || (!link.Lender.empty() && user.Session == SessionId()))
      continue;
    if (!user.own() && link.Workspace != user.Workspace)
      continue;
    const int rank = link.Uncertain                                ? 0
                     : link.Values == values                       ? 2
                     : detail::setsAllNamesOf(values, link.Values) ? 1
                                                                   : 0;
    // Among equal ranks, choose the most recently used, so that surplus links reach the idle time-out.
    if (rank > bestRank || (rank == bestRank && Links.at(*best).Since < link.Since)) {
      best = id;
      bestRank = rank;
    }
  }
  return best;
}

std::optional<LinkId> LinkPool::acquire(const TargetId &target, const LinkUser &user,
                                        const SessionValues &values, TimePoint now) {
  const auto server = Servers.find(target);
  if (server == Servers.end())
    return std::nullopt;
  // Callers' work waits for the answers to this proxy's own queries, so a small limit does not delay these.
  const bool exempt = user.own() && server->second.Pace.restrained();
  const bool held =
      !user.ForPrimaryChange && ((atConcurrencyLimit(target) && !exempt) ||
                                 (now < server->second.ReservedUntil && server->second.Idle <= 1));
  const auto best =
      held || server->second.Idle == 0 ? std::nullopt : bestIdleLink(server->second, user, values);
  if (!best) {
    server->second.Pace.onLimitReached(now);
    return std::nullopt;
  }
  if (user.ForPrimaryChange)
    server->second.ReservedUntil = TimePoint();
  auto &link = Links.at(*best);
  link.User = user;
  link.InUse = true;
  if (user.Loan != 0) {
    link.GrantUnused = true;
    ++server->second.UnusedGrants;
  }
  setPhase(link, Phase::Busy, now);
  return best;
}

void LinkPool::reserveForChange(const TargetId &target, TimePoint now, Duration time) {
  auto &until = Servers[target].ReservedUntil;
  until = std::max(until, now + time);
}

void LinkPool::release(Context &ctx, LinkId id) {
  const auto it = Links.find(id);
  if (it == Links.end())
    return;
  auto &link = it->second;
  endUnusedGrant(Servers[link.Target], link);
  link.InUse = false;
  link.User = {};
  if (!link.Lender.empty()) {
    endLoan(ctx, id, link, LoanEndReason::Returned);
    removeLink(ctx, id, std::nullopt, false);
    return;
  }
  if (link.Unusable) {
    ctx.emit(Log{LogLevel::Warn,
                 "server rejected session values or a prepared statement; link closed",
                 {{"server", link.Target.str()}}});
    close(ctx, id, false);
    return;
  }
  if (!link.PendingReplies.empty())
    return;
  if (link.ServerState != TransactionState::Idle)
    send(ctx, id, {RollbackTransaction{}});
  else
    setPhase(link, Phase::Idle, ctx.Now);
}

void LinkPool::close(Context &ctx, LinkId id, bool silent) {
  const auto it = Links.find(id);
  if (it == Links.end())
    return;
  const bool borrowed = !it->second.Lender.empty();
  if (borrowed)
    endLoan(ctx, id, it->second, LoanEndReason::Doubtful);
  removeLink(ctx, id, std::nullopt, silent);
  if (!borrowed)
    ctx.emit(CloseLink{id});
}

void LinkPool::setPhase(Link &link, Phase next, TimePoint now) {
  auto &server = Servers[link.Target];
  if (link.State == Phase::Idle)
    --server.Idle;
  if (next == Phase::Idle)
    ++server.Idle;
  link.State = next;
  link.Since = now;
}

void LinkPool::removeLink(Context &ctx, LinkId id, std::optional<LinkFailure> why, bool silent) {
  const auto it = Links.find(id);
  auto &link = it->second;
  auto &server = Servers[link.Target];
  if (link.State == Phase::Idle)
    --server.Idle;
  const bool borrowed = !link.Lender.empty();
  if (link.State == Phase::Opening && borrowed) {
    --server.PendingLoanRequests;
  } else if (link.State == Phase::Opening) {
    --server.Opening;
    --server.PendingReplies;
  }
  server.Links.erase(id);
  endUnusedGrant(server, link);
  if (silent)
    recordSilence(ctx, link);
  if (borrowed) {
    // The end of a loan is no evidence about the health of the server.
    Links.erase(it);
    return;
  }
  server.PendingReplies -= link.PendingReplies.size();
  if (!link.PendingReplies.empty())
    --server.LinksAwaitingReply;
  const bool outstanding = server.PendingReplies > 0;
  if (why)
    server.Health.failed(*why, ctx.Now, outstanding);
  else if (silent && !outstanding)
    server.Health.abandoned(ctx.Now);
  Links.erase(it);
}

const ServerHealth &LinkPool::health(const TargetId &target) const {
  static const ServerHealth Unknown;
  const auto it = Servers.find(target);
  return it == Servers.end() ? Unknown : it->second.Health;
}

std::size_t LinkPool::open(const TargetId &target) const {
  const auto it = Servers.find(target);
  return it == Servers.end() ? 0
                             : it->second.Links.size() - it->second.Opening - it->second.PendingLoanRequests;
}

std::size_t LinkPool::idle(const TargetId &target) const {
  const auto it = Servers.find(target);
  return it == Servers.end() ? 0 : it->second.Idle;
}

std::size_t LinkPool::busy(const TargetId &target) const { return open(target) - idle(target); }

std::size_t LinkPool::idle(const TargetId &target, const WorkspaceId &workspace) const {
  return countLinks(target, workspace, Phase::Idle);
}

std::size_t LinkPool::opening(const TargetId &target, const WorkspaceId &workspace) const {
  return countLinks(target, workspace, Phase::Opening);
}

std::size_t LinkPool::busy(const TargetId &target, const WorkspaceId &workspace) const {
  return countLinks(target, workspace, Phase::Busy);
}

std::size_t LinkPool::countLinks(const TargetId &target, const WorkspaceId &workspace, Phase state) const {
  const auto server = Servers.find(target);
  if (server == Servers.end())
    return 0;
  const auto &links = server->second.Links;
  return static_cast<std::size_t>(std::count_if(links.begin(), links.end(), [&](const LinkId &it) {
    const auto &link = Links.at(it);
    return link.State == state && link.Workspace == workspace;
  }));
}

bool LinkPool::full(const TargetId &target, TimePoint now) const {
  const auto it = Servers.find(target);
  return it != Servers.end() && it->second.FullAt && now - *it->second.FullAt < FullValidity;
}

std::optional<TargetId> LinkPool::targetOf(LinkId link) const {
  const auto it = Links.find(link);
  return it == Links.end() ? std::nullopt : std::optional(it->second.Target);
}

} // namespace rosemaryhinge
