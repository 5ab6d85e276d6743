#include "quota/internal/quotaholder.h"

#include "quota/internal/holderorder.h"
#include "quota/internal/quotashare.h"

#include <algorithm>

namespace rosemaryhinge::detail {

namespace {

/// Longest time after which a caller is told to come back.
constexpr Duration MaxRetryAfter = 5s;
constexpr Duration LogInterval = 1s;

} // namespace

void QuotaHolder::start(TimePoint emptyAt) {
  StartedAt = emptyAt;
  Accounts.clear();
  WaitingCount = 0;
}

void QuotaHolder::start(const std::vector<QuotaLevel> &levels, TimePoint stoppedAt) {
  start(stoppedAt);
  for (const auto &it : levels)
    Accounts.try_emplace(it.Workspace, TokenBucket(stoppedAt, it.Tokens));
}

std::vector<QuotaLevel> QuotaHolder::levels() const {
  std::vector<QuotaLevel> out;
  for (const auto &[workspace, it] : Accounts)
    out.push_back({workspace, it.Bucket.tokens()});
  return out;
}

QuotaAnswers QuotaHolder::stop() {
  QuotaAnswers out;
  for (auto &[workspace, it] : Accounts) {
    for (const auto &waiting : it.Queue)
      out.push_back({waiting.From, {waiting.Number, waiting.Granted, {}, true, NodeId()}});
    it.Queue.clear();
    it.Pending.reset();
  }
  WaitingCount = 0;
  StartedAt.reset();
  return out;
}

QuotaHolder::Account &QuotaHolder::account(Context &ctx, const Catalog &catalog,
                                           const WorkspaceId &workspace) {
  const auto [it, added] = Accounts.try_emplace(workspace, TokenBucket(*StartedAt));
  auto &out = it->second;
  const auto &configuration = catalog.configuration();
  if (out.ConfigurationVersion == configuration.Version)
    return out;
  out.ConfigurationVersion = configuration.Version;
  QuotaShare share;
  if (const auto &list = configuration.Workspaces) {
    const auto one =
        std::find_if(list->begin(), list->end(), [&](const Workspace &of) { return of.Name == workspace; });
    if (one != list->end())
      share = quotaShare(ctx.Self, *one, ctx.Self.AvailabilityZone);
  }
  // A bucket that is used for the first time has filled since the start.
  out.Bucket.setLimits(share.Rate, share.Capacity, added ? *StartedAt : ctx.Now);
  return out;
}

QuotaAnswers QuotaHolder::onRequest(Context &ctx, const Catalog &catalog, const FleetMap &fleet,
                                    const NodeId &from, const QuotaRequest &request) {
  QuotaAnswers out;
  auto &it = account(ctx, catalog, request.Workspace);
  if (request.FromHolder) {
    // A small bucket has to be able to give one token away.
    const double reserve = std::min(it.Bucket.capacity() * ReservedPart, it.Bucket.capacity() - 1);
    const auto granted = it.Bucket.take(request.Operations, std::max(0.0, reserve), ctx.Now);
    if (granted > 0)
      ctx.emit(Count{"quota_transferred_total", static_cast<double>(granted)});
    out.push_back({from, {request.Number, granted, EmptyBackoff, false, NodeId()}});
    return out;
  }
  it.Queue.push_back({from, request.Number, request.Operations, 0, ctx.Now + MaxWait});
  ++WaitingCount;
  serve(ctx, fleet, request.Workspace, it, out);
  if (WaitingCount > MaxWaiting)
    refuseWaiting(ctx, request.Workspace, it, true, out);
  return out;
}

void QuotaHolder::serve(Context &ctx, const FleetMap &fleet, const WorkspaceId &workspace, Account &account,
                        QuotaAnswers &out) {
  while (!account.Queue.empty()) {
    auto &first = account.Queue.front();
    const auto received = std::min(first.Missing, account.Received);
    account.Received -= received;
    const auto granted = received + account.Bucket.take(first.Missing - received, 0, ctx.Now);
    first.Missing -= granted;
    first.Granted += granted;
    if (granted > 0)
      ctx.emit(Count{"quota_granted_total", static_cast<double>(granted)});
    if (first.Missing > 0)
      break;
    out.push_back({first.From, {first.Number, first.Granted, {}, false, NodeId()}});
    account.Queue.pop_front();
    --WaitingCount;
  }
  account.Bucket.put(std::exchange(account.Received, 0), ctx.Now);
  if (!account.Queue.empty() && !account.Pending && !requestTransfer(ctx, fleet, workspace, account))
    refuseWaiting(ctx, workspace, account, true, out);
}

NodeId QuotaHolder::holderOf(const FleetMap &fleet, const AvailabilityZone &zone) const {
  if (const auto it = KnownHolders.find(zone); it != KnownHolders.end())
    return it->second;
  const auto &order = fleet.order(zone, HolderOrderKey);
  return order.empty() ? NodeId() : order.front();
}

bool QuotaHolder::requestTransfer(Context &ctx, const FleetMap &fleet, const WorkspaceId &workspace,
                                  Account &account) {
  auto zones = quotaZones(ctx.Self);
  // Another zone comes first each time, so that none is drained before the others.
  std::rotate(zones.begin(), zones.begin() + static_cast<std::ptrdiff_t>(ctx.Random() % zones.size()),
              zones.end());
  for (const auto &zone : zones) {
    if (zone == ctx.Self.AvailabilityZone)
      continue;
    if (const auto it = account.BackoffUntil.find(zone);
        it != account.BackoffUntil.end() && ctx.Now < it->second)
      continue;
    const auto holder = holderOf(fleet, zone);
    if (holder.empty())
      continue;
    std::uint32_t missing = 0;
    for (const auto &it : account.Queue)
      missing += it.Missing;
    account.Pending = Transfer{zone, holder, ctx.nextNumber(), ctx.Now};
    ctx.emit(SendToPeer{holder, QuotaRequest{account.Pending->Number, workspace, missing, true}});
    return true;
  }
  return false;
}

QuotaAnswers QuotaHolder::onReply(Context &ctx, const Catalog &catalog, const FleetMap &fleet,
                                  const NodeId &from, const QuotaReply &reply) {
  QuotaAnswers out;
  const auto it = std::find_if(Accounts.begin(), Accounts.end(), [&](const auto &one) {
    const auto &pending = one.second.Pending;
    return pending && pending->Number == reply.Number && pending->To == from;
  });
  if (it == Accounts.end())
    return out;
  const auto zone = it->second.Pending->Zone;
  auto &one = account(ctx, catalog, it->first);
  one.Pending.reset();
  one.Received += reply.Granted;
  if (reply.NotHolder && !reply.Holder.empty() && reply.Holder != from) {
    KnownHolders[zone] = reply.Holder;
  } else if (reply.NotHolder) {
    KnownHolders.erase(zone);
    one.BackoffUntil[zone] = ctx.Now + SilentBackoff;
  } else if (reply.Granted == 0) {
    one.BackoffUntil[zone] = ctx.Now + EmptyBackoff;
  }
  serve(ctx, fleet, it->first, one, out);
  return out;
}

void QuotaHolder::refuseWaiting(Context &ctx, const WorkspaceId &workspace, Account &account, bool all,
                                QuotaAnswers &out) {
  const auto zones = static_cast<std::int64_t>(quotaZones(ctx.Self).size());
  std::uint32_t ahead = 0;
  while (!account.Queue.empty() && (all || ctx.Now >= account.Queue.front().Deadline)) {
    const auto &first = account.Queue.front();
    ahead += first.Missing;
    // The other zones fill their buckets as well, and give away what they do not need.
    const auto retryAfter =
        std::max(EmptyBackoff, account.Bucket.timeUntil(ahead, MaxRetryAfter, ctx.Now) / zones);
    ctx.emit(Count{"quota_refused_total", static_cast<double>(first.Missing)});
    out.push_back({first.From, {first.Number, first.Granted, retryAfter, false, NodeId()}});
    account.Queue.pop_front();
    --WaitingCount;
  }
  if (ahead == 0 || ctx.Now - account.LoggedAt < LogInterval)
    return;
  account.LoggedAt = ctx.Now;
  ctx.emit(Log{LogLevel::Info,
               "workspace over its quota",
               {{"workspace", workspace.str()}, {"refused", std::to_string(ahead)}}});
}

QuotaAnswers QuotaHolder::onTimer(Context &ctx, const Catalog &catalog, const FleetMap &fleet) {
  QuotaAnswers out;
  for (auto &[workspace, it] : Accounts) {
    if (it.Queue.empty() && !it.Pending)
      continue;
    auto &one = account(ctx, catalog, workspace);
    if (one.Pending && ctx.Now - one.Pending->SentAt >= TransferTimeout) {
      one.BackoffUntil[one.Pending->Zone] = ctx.Now + SilentBackoff;
      KnownHolders.erase(one.Pending->Zone);
      one.Pending.reset();
    }
    serve(ctx, fleet, workspace, one, out);
    refuseWaiting(ctx, workspace, one, false, out);
  }
  return out;
}

std::optional<TimePoint> QuotaHolder::nextTimer() const {
  std::optional<TimePoint> out;
  const auto earlier = [&out](TimePoint it) { out = out ? std::min(*out, it) : it; };
  for (const auto &[workspace, it] : Accounts) {
    if (!it.Queue.empty())
      earlier(it.Queue.front().Deadline);
    if (it.Pending)
      earlier(it.Pending->SentAt + TransferTimeout);
  }
  return out;
}

} // namespace rosemaryhinge::detail
