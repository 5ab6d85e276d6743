// Conditions for a promotion.

#include "failover/internal/suspicion.h"

#include <algorithm>

namespace rosemaryhinge::detail {

namespace {

/// Older votes of peers are ignored.
constexpr Duration VoteLifetime = 1s;

bool replicasLostPrimary(const GroupView &view, Duration suspectAfter, TimePoint now) {
  std::size_t n = 0;
  for (const auto &[target, it] : view.Targets)
    if (target != view.Group.Primary && it.LastContact && now - *it.LastContact < suspectAfter &&
        it.Status.Role == TargetRole::Replica && it.Status.SincePrimary >= suspectAfter)
      ++n;
  return n >= view.Group.majority();
}

bool slotHoldersLostPrimary(const Context &ctx, const FailoverServices &services, const GroupView &view,
                            const DatabaseState &db, Duration suspectAfter) {
  auto others = otherSlotHolders(services, view.Group);
  std::size_t voters = others.size() + 1;
  std::size_t n = 1; // This proxy: the caller has checked that it has lost the primary.
  for (const auto &it : others)
    if (auto vote = db.Votes.find(it); vote != db.Votes.end() && ctx.Now - vote->second.At < VoteLifetime &&
                                       vote->second.SinceContact >= suspectAfter)
      ++n;
  return voters > 1 && n > voters / 2;
}

} // namespace

Duration unresponsiveTime(const DatabaseState &db, const TargetId &target, TimePoint now) {
  auto it = db.Polls.find(target);
  if (it == db.Polls.end() || !it->second.SilentSince)
    return Duration::zero();
  return now - *it->second.SilentSince;
}

std::size_t countReachable(const GroupView &view, const TargetId &except, Duration within, TimePoint now) {
  return static_cast<std::size_t>(
      std::count_if(view.Targets.begin(), view.Targets.end(), [&](const auto &it) {
        return it.first != except && it.second.LastContact && now - *it.second.LastContact < within;
      }));
}

std::vector<NodeId> otherSlotHolders(const FailoverServices &services, const Group &group) {
  std::vector<NodeId> out;
  for (const auto &server : group.Servers)
    for (auto &it : services.Slots.otherHolders(group.Database, server.Target))
      if (std::find(out.begin(), out.end(), it) == out.end() && !services.Members.isDead(it))
        out.push_back(std::move(it));
  return out;
}

std::optional<std::string> promotionReason(const Context &ctx, const FailoverServices &services,
                                           const GroupView &view, const DatabaseState &db) {
  const auto &policy = services.Policies.databasePolicy(view.Group.Database);
  const auto &group = view.Group;
  auto sinceChange = ctx.Now - view.ChangedAt;
  if (group.State == Group::Phase::Ordered) {
    if (sinceChange < policy.TakeoverAfter ||
        countReachable(view, TargetId(), policy.SuspectAfter, ctx.Now) < group.majority())
      return std::nullopt;
    return "term " + std::to_string(group.Term) + " was ordered and not completed in time";
  }
  if (countReachable(view, group.Primary, policy.SuspectAfter, ctx.Now) < group.majority() ||
      sinceChange < policy.MinChangeInterval)
    return std::nullopt;
  if (auto it = view.Targets.find(group.Primary); it != view.Targets.end() && it->second.leaving())
    return "primary is leaving";
  if (unresponsiveTime(db, group.Primary, ctx.Now) < policy.SuspectAfter)
    return std::nullopt;
  if (replicasLostPrimary(view, policy.SuspectAfter, ctx.Now))
    return "a majority of the servers miss the primary";
  if (slotHoldersLostPrimary(ctx, services, view, db, policy.SuspectAfter))
    return "a majority of the slot holders miss the primary";
  return std::nullopt;
}

} // namespace rosemaryhinge::detail
