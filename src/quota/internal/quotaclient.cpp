#include "quota/internal/quotaclient.h"

#include "quota/internal/holderorder.h"
#include "quota/internal/quotashare.h"

#include <algorithm>

namespace rosemaryhinge::detail {

namespace {

/// After which a caller is asked to return if no holder answered.
constexpr Duration UnavailableRetry = 300ms;

} // namespace

void QuotaClient::request(const WorkspaceId &workspace, SessionId session, TimePoint now) {
  Queues[workspace].Waiters.push_back({session, now});
  WorkspaceOf[session] = workspace;
}

void QuotaClient::cancel(SessionId session) {
  const auto it = WorkspaceOf.find(session);
  if (it == WorkspaceOf.end())
    return;
  auto &queue = Queues[it->second];
  std::erase_if(queue.Waiters, [&](const Waiter &one) { return one.Session == session; });
  WorkspaceOf.erase(it);
}

void QuotaClient::decide(Queue &queue, std::size_t count, QuotaDecision::Result outcome,
                         Duration retryAfter) {
  for (; count > 0 && !queue.Waiters.empty(); --count) {
    const auto session = queue.Waiters.front().Session;
    queue.Waiters.pop_front();
    WorkspaceOf.erase(session);
    Decisions.push_back({session, outcome, retryAfter});
  }
}

std::optional<NodeId> QuotaClient::candidate(const Context &ctx, const FleetMap &fleet,
                                             const Queue &queue) const {
  const auto usable = [&](const NodeId &node) {
    const auto it = BackoffUntil.find(node);
    return !node.empty() && !queue.Tried.contains(node) &&
           (it == BackoffUntil.end() || ctx.Now >= it->second);
  };
  for (const auto &it : {KnownHolder, queue.Named})
    if (usable(it))
      return it;
  const auto &near = fleet.order(ctx.Self.AvailabilityZone, HolderOrderKey);
  for (std::size_t n = 0; n < std::min(near.size(), NearCandidates); ++n)
    if (usable(near[n]))
      return near[n];
  const auto regionOf = [&](const AvailabilityZone &zone) {
    const auto it = ctx.Self.RegionByZone.find(zone);
    return it == ctx.Self.RegionByZone.end() ? Region() : it->second;
  };
  auto zones = quotaZones(ctx.Self);
  std::stable_partition(zones.begin(), zones.end(),
                        [&](const AvailabilityZone &it) { return regionOf(it) == ctx.Self.Region; });
  for (const auto &zone : zones)
    if (const auto &order = fleet.order(zone, HolderOrderKey); !order.empty() && usable(order.front()))
      return order.front();
  return std::nullopt;
}

bool QuotaClient::isNear(const Context &ctx, const FleetMap &fleet, const NodeId &node) {
  const auto &near = fleet.order(ctx.Self.AvailabilityZone, HolderOrderKey);
  return std::find(near.begin(), near.end(), node) != near.end();
}

std::vector<QuotaClient::Request> QuotaClient::takeRequests(Context &ctx, const FleetMap &fleet) {
  std::vector<Request> out;
  for (auto &[workspace, queue] : Queues) {
    if (queue.Pending || queue.Waiters.empty() || ctx.Now < queue.AskAt)
      continue;
    const auto to = candidate(ctx, fleet, queue);
    if (!to) {
      ctx.emit(Count{"quota_unavailable_total", static_cast<double>(queue.Waiters.size())});
      decide(queue, queue.Waiters.size(), QuotaDecision::Result::Unavailable, UnavailableRetry);
      queue.Tried.clear();
      continue;
    }
    const auto count = static_cast<std::uint32_t>(queue.Waiters.size());
    queue.Pending =
        Asked{*to, ctx.nextNumber(), count, ctx.Now + (isNear(ctx, fleet, *to) ? NearTimeout : FarTimeout)};
    out.emplace_back(*to, QuotaRequest{queue.Pending->Number, workspace, count, false});
  }
  return out;
}

void QuotaClient::onReply(Context &ctx, const FleetMap &fleet, const NodeId &from, const QuotaReply &reply) {
  const auto it = std::find_if(Queues.begin(), Queues.end(), [&](const auto &one) {
    const auto &pending = one.second.Pending;
    return pending && pending->Number == reply.Number && pending->To == from;
  });
  if (it == Queues.end())
    return;
  auto &queue = it->second;
  const auto asked = queue.Pending->Operations;
  queue.Pending.reset();
  decide(queue, reply.Granted, QuotaDecision::Result::Granted, {});
  if (reply.NotHolder) {
    queue.Tried.insert(from);
    queue.Named = reply.Holder;
    if (isNear(ctx, fleet, from) && (KnownHolder == from || KnownHolder.empty()))
      KnownHolder = reply.Holder;
    return;
  }
  queue.Tried.clear();
  if (isNear(ctx, fleet, from))
    KnownHolder = from;
  if (reply.Granted >= asked)
    return;
  const auto missing = asked - reply.Granted;
  queue.AskAt = ctx.Now + std::clamp(reply.RetryAfter, MinRefusalPause, MaxRefusalPause);
  const bool fitsSoon = missing == 1 && !queue.Waiters.empty() &&
                        ctx.Now + reply.RetryAfter <= queue.Waiters.front().Since + MaxHold;
  if (!fitsSoon)
    decide(queue, missing, QuotaDecision::Result::OverLimit, reply.RetryAfter);
}

void QuotaClient::onNoAnswer(Queue &queue, TimePoint now) {
  const auto node = queue.Pending->To;
  queue.Pending.reset();
  BackoffUntil[node] = now + SilentBackoff;
  if (KnownHolder == node)
    KnownHolder = NodeId();
}

void QuotaClient::onPeerLost(Context &ctx, const NodeId &node) {
  for (auto &[workspace, queue] : Queues)
    if (queue.Pending && queue.Pending->To == node)
      onNoAnswer(queue, ctx.Now);
}

void QuotaClient::onTimer(Context &ctx) {
  for (auto &[workspace, queue] : Queues) {
    if (queue.Pending && ctx.Now >= queue.Pending->Until)
      onNoAnswer(queue, ctx.Now);
    std::size_t late = 0;
    while (late < queue.Waiters.size() && ctx.Now - queue.Waiters[late].Since >= MaxWait)
      ++late;
    if (late == 0)
      continue;
    ctx.emit(Count{"quota_unavailable_total", static_cast<double>(late)});
    decide(queue, late, QuotaDecision::Result::Unavailable, UnavailableRetry);
  }
}

std::optional<TimePoint> QuotaClient::nextTimer() const {
  std::optional<TimePoint> out;
  const auto earlier = [&out](TimePoint it) { out = out ? std::min(*out, it) : it; };
  for (const auto &[workspace, queue] : Queues) {
    if (queue.Pending)
      earlier(queue.Pending->Until);
    if (queue.Waiters.empty())
      continue;
    earlier(queue.Waiters.front().Since + MaxWait);
    if (!queue.Pending)
      earlier(queue.AskAt);
  }
  return out;
}

} // namespace rosemaryhinge::detail
