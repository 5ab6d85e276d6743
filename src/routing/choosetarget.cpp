// Implementation of request routing.

#include "routing/choosetarget.h"

#include "session/coverage.h"

#include <algorithm>
#include <tuple>

namespace rosemaryhinge {

namespace {

struct Candidate {
  TargetId Target;
  ReplicaVerdict Verdict = ReplicaVerdict::No;
  int Distance = 0; ///< 0: own availability zone, 1: own region, 2: elsewhere.
  double Load = 0;  ///< Running and queued requests per connection of this proxy to the server.
};

int distanceTo(const NodeConfig &self, const AvailabilityZone &zone, const Region &region) {
  if (zone == self.AvailabilityZone)
    return 0;
  return region == self.Region ? 1 : 2;
}

double loadOf(const RouteServices &services, const TargetId &target) {
  const auto capacity = services.Slots.capacity(target);
  const auto queued = services.Queued ? services.Queued(target) : 0;
  return capacity == 0 ? 1.0 : static_cast<double>(services.Slots.busy(target) + queued) / capacity;
}

/// Prefers near servers, but ranks servers with no free connection after those with one.
bool isPreferred(const Candidate &left, const Candidate &right) {
  const bool leftFull = left.Load >= 1;
  const bool rightFull = right.Load >= 1;
  if (leftFull != rightFull)
    return rightFull;
  if (leftFull)
    return std::tie(left.Load, left.Distance, left.Target) <
           std::tie(right.Load, right.Distance, right.Target);
  return std::tie(left.Distance, left.Load, left.Target) < std::tie(right.Distance, right.Load, right.Target);
}

std::vector<Candidate> replicaCandidates(Context &ctx, const RouteServices &services, LagTable &lags,
                                         const RouteQuery &query) {
  std::vector<Candidate> out;
  const auto &view = query.View;
  for (const auto &server : view.Group.Servers) {
    auto it = view.Targets.find(server.Target);
    const bool primary = server.Target == view.Group.Primary && view.Group.State == Group::Phase::Done;
    if (it == view.Targets.end() || primary || !acceptsNewWork(view, server.Target, ctx.Rules))
      continue;
    lags.update(services.Groups, view, server.Target, it->second);
    auto verdict = mayReadFromReplica(services.Groups, view, it->second, query.Requirement,
                                      lags.find(server.Target), ctx.Now, ctx.Rules, query.Policy);
    if (verdict != ReplicaVerdict::No)
      out.push_back({server.Target, verdict, distanceTo(ctx.Self, server.AvailabilityZone, server.Region),
                     loadOf(services, server.Target)});
  }
  std::sort(out.begin(), out.end(), isPreferred);
  return out;
}

std::optional<Route> routeToReplica(Context &ctx, const RouteServices &services, const RouteQuery &query,
                                    const std::vector<Candidate> &candidates, ReplicaVerdict verdict) {
  for (const auto &it : candidates)
    if (it.Verdict == verdict && services.Slots.holds(it.Target)) {
      if (verdict == ReplicaVerdict::Yes)
        return RunLocally{it.Target};
      if (verdict == ReplicaVerdict::Unknown)
        continue;
      if (auto token = toLatestTerm(*query.Requirement.Token, query.View.Group.History))
        return WaitForReplica{it.Target, *token};
    }
  if (query.Hops >= MaxHops)
    return std::nullopt;
  for (const auto &it : candidates)
    if (it.Verdict == verdict)
      if (auto holders = holdersOf(ctx, services, query.View.Group.Database, it.Target, query.Excluded);
          !holders.empty())
        return Forward{holders.front()};
  return std::nullopt;
}

bool isLeaving(const GroupView &view, const TargetId &target, const Rules &rules) {
  auto it = view.Targets.find(target);
  return it == view.Targets.end() || (it->second.leaving() && rules.LeavingTargetIdle);
}

bool isUnresponsive(const GroupView &view, const TargetId &target) {
  auto it = view.Targets.find(target);
  return it != view.Targets.end() && it->second.Unresponsive;
}

Route routeToPrimary(Context &ctx, const RouteServices &services, const RouteQuery &query) {
  const auto &group = query.View.Group;
  if (group.State != Group::Phase::Done || isLeaving(query.View, group.Primary, ctx.Rules))
    return AwaitPrimary{};
  if (isUnresponsive(query.View, group.Primary)) {
    // Another slot holder may still reach the primary. Only one other holder is tried.
    if (query.Hops > 0)
      return PrimaryUnresponsive{};
    auto holders = holdersOf(ctx, services, group.Database, group.Primary, query.Excluded);
    return holders.empty() ? Route(AwaitPrimary{}) : Route(Forward{holders.front()});
  }
  if (services.Slots.holds(group.Primary))
    return RunLocally{group.Primary};
  if (query.Hops >= MaxHops)
    return NoKnownHolder{};
  auto holders = holdersOf(ctx, services, group.Database, group.Primary, query.Excluded);
  return holders.empty() ? Route(NoKnownHolder{}) : Route(Forward{holders.front()});
}

} // namespace

bool acceptsNewWork(const GroupView &view, const TargetId &target, const Rules &rules) {
  return !isLeaving(view, target, rules) && !isUnresponsive(view, target);
}

std::vector<NodeId> holdersOf(Context &ctx, const RouteServices &services, const DatabaseId &database,
                              const TargetId &target, std::span<const NodeId> excluded) {
  std::vector<std::tuple<int, std::uint64_t, NodeId>> found;
  for (const auto &node : services.Slots.otherHolders(database, target)) {
    const auto *it = services.Members.find(node);
    if (it == nullptr || services.Members.isLeaving(node) || node == ctx.Self.Node)
      continue;
    if (std::find(excluded.begin(), excluded.end(), node) != excluded.end())
      continue;
    // The random key spreads load over holders at the same distance.
    found.emplace_back(distanceTo(ctx.Self, it->AvailabilityZone, it->Region), ctx.Random(), node);
  }
  std::sort(found.begin(), found.end());
  std::vector<NodeId> out;
  out.reserve(found.size());
  for (auto &it : found)
    out.push_back(std::move(std::get<NodeId>(it)));
  return out;
}

Route chooseTarget(Context &ctx, const RouteServices &services, LagTable &lags, const RouteQuery &query) {
  if (query.ReadOnly && !query.PrimaryOnly) {
    const auto candidates = replicaCandidates(ctx, services, lags, query);
    for (auto verdict : {ReplicaVerdict::Yes, ReplicaVerdict::Soon})
      if (auto route = routeToReplica(ctx, services, query, candidates, verdict))
        return *route;
    // The holder decides again from its own samples, and may forward the read to the primary.
    if (query.Hops == 0)
      if (auto route = routeToReplica(ctx, services, query, candidates, ReplicaVerdict::Unknown))
        return *route;
  }
  return routeToPrimary(ctx, services, query);
}

} // namespace rosemaryhinge
