// The pace of each server: what the replies on this proxy's own links, also on those that it lends, mean for
// the limit on concurrent work.

#include "links/linkpool.h"

#include "links/roundtrip.h"

#include <algorithm>

namespace rosemaryhinge {

namespace {

/// Whether a rejection is the server's failure. Rejections that tell the caller or the proxy to act otherwise
/// are none. Only a read that failed can be compared with reads at other servers, and no caller's statement
/// is to blame for a BEGIN that failed.
bool isServerFailure(const StatementRejection &why, LinkStep step, bool comparable) {
  switch (why.Code) {
  case Rejection::Failed:
    return comparable || step == LinkStep::Begin;
  case Rejection::Timeout:
  case Rejection::InDoubt:
  case Rejection::Unknown:
    return step == LinkStep::Begin || step == LinkStep::Statement;
  default:
    return false;
  }
}

} // namespace

void LinkPool::reportPace(Context &ctx, const TargetId &target, const Server &server, PaceChange change) {
  const auto log = [&](LogLevel level, std::string message) {
    ctx.emit(
        Log{level,
            std::move(message),
            {{"server", target.str()}, {"limit", std::to_string(static_cast<int>(server.Pace.limit()))}}});
  };
  switch (change) {
  case PaceChange::None:
    break;
  case PaceChange::Started:
    ctx.emit(Count{"pace_starts_total"});
    log(LogLevel::Info, "server starts with a small limit");
    break;
  case PaceChange::Decreased:
    ctx.emit(Count{"pace_decreases_total"});
    break;
  case PaceChange::Ended:
    ctx.emit(Count{"pace_ends_total"});
    log(LogLevel::Info, "server's start phase ended");
    break;
  case PaceChange::Isolated:
    ctx.emit(Count{"pace_isolations_total"});
    log(LogLevel::Warn, "server's answers fail; it gets one statement at a time");
    break;
  case PaceChange::Readmitted:
    ctx.emit(Count{"pace_starts_total"});
    log(LogLevel::Info, "server's answers are good again; it starts with a small limit");
    break;
  }
}

void LinkPool::recordAnswer(Context &ctx, const TargetId &target, Server &server) {
  const bool recovered = server.RestartPaceOnNextAnswer || server.Health.suspect(ctx.Now);
  server.RestartPaceOnNextAnswer = false;
  server.Health.received(ctx.Now, server.PendingReplies > 0);
  if (recovered && ctx.Self.TargetPace)
    reportPace(ctx, target, server, server.Pace.start(ctx.Now));
}

void LinkPool::markStartedServers(const Catalog &catalog) {
  if (!catalog.serversLoaded() || (ListedServers && ListedAtChange == catalog.changeCount()))
    return;
  ListedAtChange = catalog.changeCount();
  std::map<TargetId, std::uint64_t> listed;
  for (const auto &service : catalog.services())
    for (const auto &target : catalog.servers(service)) {
      const auto startedAt = catalog.server(target)->Entry.StartedAt;
      listed[target] = startedAt;
      // Servers that this proxy finds at its own start may have run for long.
      if (!ListedServers)
        continue;
      const auto before = ListedServers->find(target);
      const bool joined = before == ListedServers->end();
      const bool restarted = !joined && before->second != 0 && startedAt > before->second;
      // A server whose entry was only missing for a while has kept its links.
      const auto known = Servers.find(target);
      if (restarted || (joined && (known == Servers.end() || known->second.Links.empty())))
        Servers[target].RestartPaceOnNextAnswer = true;
    }
  ListedServers = std::move(listed);
}

PeerMeasure LinkPool::peersOf(const TargetId &target, const Server &server, TimePoint now) const {
  std::vector<const ServerPace *> peers;
  for (const auto &[other, it] : Servers)
    if (other != target && it.Service == server.Service)
      peers.push_back(&it.Pace);
  return measurePeers(peers, now);
}

void LinkPool::adjustPace(Context &ctx, const TargetId &target, Server &server, const PendingReply &awaited,
                          const StatementOutcome &outcome) {
  auto change = PaceChange::None;
  const auto *why = std::get_if<StatementRejection>(&outcome);
  if (!why && awaited.Step == LinkStep::Statement) {
    const auto duration =
        awaited.Comparable ? std::optional(std::max(Duration{}, ctx.Now - awaited.SentAt - server.RoundTrip))
                           : std::nullopt;
    const auto typical = server.Pace.restrained() ? peersOf(target, server, ctx.Now).Typical : std::nullopt;
    change = server.Pace.onSuccess(awaited.SentAt, duration, typical, ctx.Now);
  } else if (why && why->Code == Rejection::Busy) {
    change = server.Pace.onBusy(server.LinksAwaitingReply, ctx.Now);
  } else if (why && ctx.Self.TargetPace && isServerFailure(*why, awaited.Step, awaited.Comparable)) {
    change = server.Pace.onFailure(peersOf(target, server, ctx.Now), ctx.Now);
  }
  reportPace(ctx, target, server, change);
}

void LinkPool::recordSilence(Context &ctx, const Link &link) {
  if (!ctx.Self.TargetPace || !link.Lender.empty() || link.PendingReplies.empty())
    return;
  const auto &awaited = link.PendingReplies.front();
  if (awaited.Step != LinkStep::Begin && awaited.Step != LinkStep::Statement)
    return;
  auto &server = Servers[link.Target];
  const auto peers = peersOf(link.Target, server, ctx.Now);
  if (server.Pace.countsAsSilence(ctx.Now - awaited.SentAt - server.RoundTrip, peers.Typical, ctx.Now))
    reportPace(ctx, link.Target, server, server.Pace.onFailure(peers, ctx.Now));
}

void LinkPool::endUnusedGrant(Server &server, Link &link) {
  if (std::exchange(link.GrantUnused, false))
    --server.UnusedGrants;
}

std::size_t LinkPool::inProgress(const Server &server) {
  // Without lent links that are not used yet, one pass over the waiting requests would grant every idle link
  // of a server that has just started.
  return server.LinksAwaitingReply + (server.Pace.restrained() ? server.UnusedGrants : 0);
}

bool LinkPool::atConcurrencyLimit(const TargetId &target) const {
  const auto it = Servers.find(target);
  return it != Servers.end() && static_cast<double>(inProgress(it->second) + 1) > it->second.Pace.limit();
}

int LinkPool::maxConcurrency(const TargetId &target) const {
  const auto it = Servers.find(target);
  // On borrowed links, the lender limits the work.
  const bool limited = it != Servers.end() && it->second.Pace.restrained() &&
                       std::any_of(it->second.Links.begin(), it->second.Links.end(),
                                   [&](const LinkId &link) { return Links.at(link).Lender.empty(); });
  return static_cast<int>(limited ? it->second.Pace.limit() : ServerPace::MaxLimit);
}

} // namespace rosemaryhinge
