// Pool of connections to servers.

#include "links/linkpool.h"

#include "base/overloaded.h"

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
constexpr std::size_t MaxIdleLinks = 8;
/// Idle time-out where the share of a proxy that holds links is less than one connection.
constexpr Duration NoShareIdleTimeout = 40ms;
/// Connections are lent if the server allows fewer than this number for each proxy.
constexpr std::size_t LendBelowLinksPerProxy = 3;
/// Time for which a server counts as full after it refused a connection as one too many.
constexpr Duration FullValidity = 3s;
/// Delay before opening a link to a server that was full. Random jitter of up to the same length is added.
constexpr Duration FullRetryDelay = 25ms;
constexpr Duration FailureRetryDelay = 200ms;
/// Links for queries and orders beyond the share of an availability zone.
constexpr std::size_t MaxControlLinks = 2;
/// Maximum number of links to one server being opened concurrently.
constexpr std::size_t MaxOpening = 4;
/// Number of prepared statements on one link at which the session state of the link is discarded.
constexpr std::size_t MaxPrepared = 256;
constexpr std::size_t MaxNames = 4'096;
/// When a server rejects work as busy, the concurrency limit becomes the number of links with pending replies
/// times LimitFactor, at most once per LowerInterval. MinLimit is enough to keep a server busy if this proxy
/// is the only one with work for it.
constexpr double LimitFactor = 0.8;
constexpr Duration LowerInterval = 100ms;
constexpr double MinLimit = 6;

LinkStep stepOf(const LinkCommand &command) {
  return std::visit(Overloaded{
                        [](const RunStatement &) { return LinkStep::Statement; },
                        [](const BeginTransaction &) { return LinkStep::Begin; },
                        [](const RollbackTransaction &) { return LinkStep::End; },
                        [](const SetSessionValue &) { return LinkStep::Prepare; },
                        [](const PrepareOnServer &) { return LinkStep::Prepare; },
                        [](const DiscardSession &) { return LinkStep::Prepare; },
                        [](const auto &) { return LinkStep::Order; },
                    },
                    command);
}

/// Whether the session sets every name that is set on the link, so that no value needs to be discarded.
bool setsAllNamesOf(const SessionValues &wanted, const SessionValues &carried) {
  return std::all_of(carried.begin(), carried.end(),
                     [&](const auto &it) { return wanted.contains(it.first); });
}

} // namespace

std::optional<LinkId> LinkPool::acquire(const TargetId &target, LinkUser user, const SessionValues &values,
                                        TimePoint now) {
  const auto server = Servers.find(target);
  if (server == Servers.end() || server->second.Idle == 0)
    return std::nullopt;
  if (!user.ForPrimaryChange &&
      (atConcurrencyLimit(target) || (now < server->second.ReservedUntil && server->second.Idle <= 1)))
    return std::nullopt;
  std::optional<LinkId> best;
  int bestRank = -1;
  for (const auto &id : server->second.Links) {
    const auto &link = Links.at(id);
    if (link.State != Phase::Idle || (!link.Lender.empty() && user.Session == SessionId()))
      continue;
    const int rank = link.Values == values ? 2 : setsAllNamesOf(values, link.Values) ? 1 : 0;
    // Among equal ranks, choose the most recently used, so that surplus links reach the idle time-out.
    if (rank > bestRank || (rank == bestRank && Links.at(*best).Since < link.Since)) {
      best = id;
      bestRank = rank;
    }
  }
  if (!best)
    return std::nullopt;
  if (user.ForPrimaryChange)
    server->second.ReservedUntil = TimePoint();
  auto &link = Links.at(*best);
  link.User = user;
  link.InUse = true;
  setPhase(link, Phase::Busy, now);
  return best;
}

void LinkPool::reserveForChange(const TargetId &target, TimePoint now) {
  Servers[target].ReservedUntil = now + ReservationTime;
}

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

void LinkPool::openLinks(Context &ctx, const Catalog &catalog, const TargetId &target, std::size_t waiting,
                         LinkPurpose purpose) {
  const auto *view = catalog.server(target);
  if (!view)
    return;
  auto &server = Servers[target];
  const std::size_t cap = maxOpenLinks(catalog, view->Entry.Service, purpose);
  if (server.Idle > 0 && atConcurrencyLimit(target))
    return;
  while (server.Opening < std::min(waiting, MaxOpening) && server.Links.size() < cap &&
         ctx.Now >= server.RetryAt) {
    const LinkId id{ctx.nextNumber()};
    Link link;
    link.Target = target;
    link.Service = view->Entry.Service;
    link.Since = ctx.Now;
    Links.emplace(id, std::move(link));
    server.Links.insert(id);
    ++server.Opening;
    ++server.PendingReplies;
    server.Health.sent(ctx.Now);
    ctx.emit(OpenLink{id, target, view->Entry.Service, view->Entry.Address});
    ctx.emit(Count{"links_opened_total"});
  }
  scheduleSweep(ctx.Now);
}

void LinkPool::scheduleSweep(TimePoint now) { NextSweep = NextSweep.value_or(now + SweepInterval); }

std::string LinkPool::preparedName(const PreparedShape &shape) {
  if (const auto it = PreparedNames.find(shape); it != PreparedNames.end())
    return it->second;
  // Numbering continues after the table is cleared, because links still have statements under earlier names.
  if (PreparedNames.size() >= MaxNames)
    PreparedNames.clear();
  return PreparedNames.emplace(shape, "p" + std::to_string(++LastNameNumber)).first->second;
}

std::vector<LinkCommand> LinkPool::prepare(LinkId id, const SessionValues &values,
                                           const PreparedShape *shape) {
  std::vector<LinkCommand> out;
  auto &link = Links.at(id);
  if (!link.Lender.empty()) {
    // The lender tracks the session state of its connection and sends the preparation commands.
    link.NextValues = values;
    link.NextShape = shape ? std::optional(*shape) : std::nullopt;
    return out;
  }
  const bool tooMany = shape && link.Prepared.size() >= MaxPrepared;
  if (!setsAllNamesOf(values, link.Values) || tooMany) {
    out.emplace_back(DiscardSession{});
    link.Values.clear();
    link.Prepared.clear();
  }
  for (const auto &[name, value] : values) {
    const auto it = link.Values.find(name);
    if (it != link.Values.end() && it->second == value)
      continue;
    out.emplace_back(SetSessionValue{name, value});
    link.Values[name] = value;
  }
  if (shape)
    if (auto name = preparedName(*shape); link.Prepared.insert(name).second)
      out.emplace_back(PrepareOnServer{std::move(name), shape->Mode, shape->Shape});
  return out;
}

void LinkPool::send(Context &ctx, LinkId id, std::vector<LinkCommand> commands) {
  auto &link = Links.at(id);
  auto &server = Servers[link.Target];
  if (link.PendingReplies.empty() && link.Lender.empty())
    ++server.LinksAwaitingReply;
  for (const auto &it : commands)
    link.PendingReplies.push_back({stepOf(it), ctx.Now});
  if (!link.Lender.empty()) {
    ctx.emit(SendToPeer{link.Lender, LoanCommands{{ctx.Incarnation, id.Value},
                                                  std::exchange(link.NextValues, {}),
                                                  std::exchange(link.NextShape, std::nullopt),
                                                  std::move(commands)}});
    return;
  }
  server.PendingReplies += commands.size();
  server.Health.sent(ctx.Now);
  ctx.emit(SendOnLink{id, std::move(commands)});
}

void LinkPool::release(Context &ctx, LinkId id) {
  const auto it = Links.find(id);
  if (it == Links.end())
    return;
  auto &link = it->second;
  link.InUse = false;
  link.User = {};
  if (!link.Lender.empty()) {
    endLoan(ctx, id, link, LoanEndReason::Returned);
    removeLink(ctx, id, std::nullopt, false);
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
  server.Health.received(ctx.Now, server.PendingReplies > 0);
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

std::optional<LinkPool::Reply> LinkPool::onReply(Context &ctx, const LinkReplied &event) {
  const auto it = Links.find(event.Link);
  if (it == Links.end() || it->second.PendingReplies.empty())
    return std::nullopt;
  auto &link = it->second;
  const auto awaited = link.PendingReplies.front();
  link.PendingReplies.pop_front();
  link.ServerState = event.State;
  if (link.Lender.empty()) {
    auto &server = Servers[link.Target];
    --server.PendingReplies;
    server.Health.received(ctx.Now, server.PendingReplies > 0);
    adjustConcurrencyLimit(server, event.Outcome, awaited.Step, ctx.Now);
    if (link.PendingReplies.empty())
      --server.LinksAwaitingReply;
  }
  Reply out{awaited.Step, link.User, link.Target, link.Service, awaited.SentAt, link.PendingReplies.empty()};
  if (link.InUse || !link.PendingReplies.empty())
    return out;
  // If the transaction is still open after the rollback, the link is unusable.
  if (awaited.Step == LinkStep::End && event.State != TransactionState::Idle)
    close(ctx, event.Link, false);
  else
    release(ctx, event.Link);
  return out;
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
    server.FullAt = ctx.Now;
    server.RetryAt = ctx.Now + FullRetryDelay + ctx.jitter(FullRetryDelay);
  } else if (!out.Opened) {
    server.RetryAt = ctx.Now + FailureRetryDelay;
  }
  if (!out.Opened)
    onOpenFailed(ctx, link.Target, server, event.Why);
  // Servers close idle connections routinely, so only the loss of a busy or opening link counts as a failure.
  const bool telling = !out.Opened || link.State == Phase::Busy;
  ctx.emit(Count{"links_failed_total{why=\"" + std::string(toString(event.Why)) + "\"}"});
  removeLink(ctx, event.Link, telling ? std::optional(event.Why) : std::nullopt, false);
  return out;
}

bool LinkPool::needsLending(const Catalog &catalog, const DatabaseId &service) const {
  const auto *limits = catalog.limits(service);
  return limits && limits->MaxConnections < LendBelowLinksPerProxy * Proxies;
}

std::size_t LinkPool::maxIdleLinks(const Catalog &catalog, const TargetId &target) const {
  const auto *view = catalog.server(target);
  const auto *limits = view ? catalog.limits(view->Entry.Service) : nullptr;
  if (!limits)
    return MaxIdleLinks;
  const bool few = needsLending(catalog, view->Entry.Service);
  const auto share = static_cast<double>(limits->MaxConnections) / static_cast<double>(few ? Zones : Proxies);
  if (share < 1)
    return 0;
  const auto part = few ? LentIdlePolicy.KeptFraction : DedicatedIdlePolicy.KeptFraction;
  return std::clamp(static_cast<std::size_t>(share * part), std::size_t{1}, MaxIdleLinks);
}

Duration LinkPool::idleTimeout(const Catalog &catalog, const TargetId &target, const Server &server) const {
  const auto keep = maxIdleLinks(catalog, target);
  if (keep == 0)
    return NoShareIdleTimeout;
  const auto *view = catalog.server(target);
  const auto &policy =
      view && needsLending(catalog, view->Entry.Service) ? LentIdlePolicy : DedicatedIdlePolicy;
  return server.Idle <= keep ? policy.KeptTimeout : policy.ExcessTimeout;
}

void LinkPool::onTimer(Context &ctx, const Catalog &catalog) {
  if (!NextSweep || ctx.Now < *NextSweep)
    return;
  std::vector<std::pair<LinkId, bool>> closing;
  for (const auto &[id, link] : Links) {
    const auto age = ctx.Now - link.Since;
    if (link.State == Phase::Opening) {
      if (age >= OpenTimeout)
        closing.emplace_back(id, true);
    } else if (link.State == Phase::Idle) {
      if (!catalog.server(link.Target) || age >= idleTimeout(catalog, link.Target, Servers.at(link.Target)))
        closing.emplace_back(id, false);
    } else if (!link.InUse && !link.PendingReplies.empty() &&
               ctx.Now - link.PendingReplies.front().SentAt >= AnswerTimeout) {
      closing.emplace_back(id, true);
    }
  }
  for (const auto &[id, silent] : closing) {
    const auto it = Links.find(id);
    if (it == Links.end())
      continue;
    auto &server = Servers.at(it->second.Target);
    // Check again: closing surplus links may have reduced the idle links to the number that is kept.
    if (it->second.State == Phase::Idle && catalog.server(it->second.Target) &&
        ctx.Now - it->second.Since < idleTimeout(catalog, it->second.Target, server))
      continue;
    if (!it->second.Lender.empty()) {
      close(ctx, id, false);
      continue;
    }
    if (it->second.State == Phase::Opening)
      server.RetryAt = ctx.Now + FailureRetryDelay;
    const bool opening = it->second.State == Phase::Opening;
    if (opening) {
      onOpenFailed(ctx, it->second.Target, server, LinkFailure::Timeout);
      ctx.emit(Count{"links_failed_total{why=\"" + std::string(toString(LinkFailure::Timeout)) + "\"}"});
    }
    removeLink(ctx, id, opening ? std::optional(LinkFailure::Timeout) : std::nullopt, silent);
    ctx.emit(CloseLink{id});
  }
  std::erase_if(Servers,
                [&](const auto &it) { return it.second.Links.empty() && !catalog.server(it.first); });
  NextSweep = Links.empty() ? std::nullopt : std::optional(ctx.Now + SweepInterval);
}

std::optional<TimePoint> LinkPool::nextTimer() const { return NextSweep; }

const ServerHealth &LinkPool::health(const TargetId &target) const {
  static const ServerHealth Unknown;
  const auto it = Servers.find(target);
  return it == Servers.end() ? Unknown : it->second.Health;
}

void LinkPool::adjustConcurrencyLimit(Server &server, const StatementOutcome &outcome, LinkStep step,
                                      TimePoint now) {
  const auto *why = std::get_if<StatementRejection>(&outcome);
  if (!why && step == LinkStep::Statement) {
    server.ConcurrencyLimit =
        std::min(InitialConcurrencyLimit, server.ConcurrencyLimit + 1 / server.ConcurrencyLimit);
  } else if (why && why->Code == Rejection::Busy &&
             (!server.LimitLoweredAt || now - *server.LimitLoweredAt >= LowerInterval)) {
    server.LimitLoweredAt = now;
    server.ConcurrencyLimit =
        std::max(MinLimit, static_cast<double>(server.LinksAwaitingReply) * LimitFactor);
  }
}

bool LinkPool::atConcurrencyLimit(const TargetId &target) const {
  const auto it = Servers.find(target);
  return it != Servers.end() &&
         static_cast<double>(it->second.LinksAwaitingReply + 1) > it->second.ConcurrencyLimit;
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

bool LinkPool::full(const TargetId &target, TimePoint now) const {
  const auto it = Servers.find(target);
  return it != Servers.end() && it->second.FullAt && now - *it->second.FullAt < FullValidity;
}

std::optional<TargetId> LinkPool::targetOf(LinkId link) const {
  const auto it = Links.find(link);
  return it == Links.end() ? std::nullopt : std::optional(it->second.Target);
}

} // namespace rosemaryhinge
