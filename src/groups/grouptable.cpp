// Updates and lookups of the group table.

#include "groups/grouptable.h"

#include <algorithm>

namespace rosemaryhinge {

namespace {

/// Samples kept per group. At one status query per 100 ms they cover about 50 s.
constexpr std::size_t MaxSamples = 512;

bool isNewer(const Group &next, const Group &known) {
  if (next.Term != known.Term)
    return next.Term > known.Term;
  if (next.State != known.State)
    return next.State == Group::Phase::Done;
  return next.Version > known.Version;
}

} // namespace

bool GroupTable::update(Context &ctx, Group group) {
  auto [it, added] = Groups.try_emplace(group.Database);
  auto &view = it->second;
  if (!added && !isNewer(group, view.Group)) {
    // A group pushed by a peer has no store version. A later read of the same state from the store sets it.
    if (group.Term == view.Group.Term && group.State == view.Group.State)
      view.Group.Version = std::max(view.Group.Version, group.Version);
    return false;
  }
  if (added || group.Term != view.Group.Term || group.State != view.Group.State) {
    view.ChangedAt = ctx.Now;
    view.Samples.clear();
  }
  group.Version = std::max(group.Version, view.Group.Version);
  view.Group = std::move(group);
  std::erase_if(view.Targets, [&](const auto &it) { return view.Group.find(it.first) == nullptr; });
  for (const auto &server : view.Group.Servers) {
    view.Targets.try_emplace(server.Target);
    DatabaseOf[server.Target] = view.Group.Database;
    ctx.emit(TargetAddress{server.Target, view.Group.Database, server.Address});
  }
  return true;
}

void GroupTable::recordStatus(const TargetId &target, const TargetStatus &status, TimePoint sampledAt,
                              TimePoint now, bool direct) {
  auto *view = mutableByTarget(target);
  if (view == nullptr)
    return;
  auto &known = view->Targets[target];
  if (direct)
    known.LastContact = now;
  if (known.SampledAt && *known.SampledAt > sampledAt)
    return;
  known.Status = status;
  known.SampledAt = sampledAt;
  if (status.Role == TargetRole::Primary && status.RaisedTerm == view->Group.Term)
    addSample(*view, status.Log, sampledAt);
}

void GroupTable::recordAnswer(const TargetId &target, Position at, TargetRole role, TimePoint sentAt,
                              TimePoint now) {
  auto *view = mutableByTarget(target);
  if (view == nullptr)
    return;
  auto &known = view->Targets[target];
  known.LastContact = now;
  if (known.Status.Log < at)
    known.Status.Log = at;
  if (role == TargetRole::Primary && at.Term == view->Group.Term)
    addSample(*view, at, sentAt);
}

void GroupTable::setListedLeaving(const TargetId &target, bool leaving) {
  if (auto *view = mutableByTarget(target))
    view->Targets[target].ListedLeaving = leaving;
}

void GroupTable::setUnresponsive(const TargetId &target, bool unresponsive) {
  if (auto *view = mutableByTarget(target))
    view->Targets[target].Unresponsive = unresponsive;
}

const GroupView *GroupTable::find(const DatabaseId &database) const {
  auto it = Groups.find(database);
  return it == Groups.end() ? nullptr : &it->second;
}

const GroupView *GroupTable::findByTarget(const TargetId &target) const {
  auto it = DatabaseOf.find(target);
  return it == DatabaseOf.end() ? nullptr : find(it->second);
}

const TargetView *GroupTable::target(const TargetId &target) const {
  const auto *view = findByTarget(target);
  if (view == nullptr)
    return nullptr;
  auto it = view->Targets.find(target);
  return it == view->Targets.end() ? nullptr : &it->second;
}

std::optional<TimePoint> GroupTable::lastProvenCurrentAt(const GroupView &view, Position position) const {
  // The primary's log ended at it->End no earlier than it->At, so a log that covers this end holds
  // everything that was written before it->At.
  for (auto it = view.Samples.rbegin(); it != view.Samples.rend(); ++it)
    if (it->End <= position)
      return it->At;
  return std::nullopt;
}

GroupView *GroupTable::mutableByTarget(const TargetId &target) {
  auto it = DatabaseOf.find(target);
  return it == DatabaseOf.end() ? nullptr : &Groups.at(it->second);
}

void GroupTable::addSample(GroupView &view, Position end, TimePoint at) {
  if (!view.Samples.empty() && at <= view.Samples.back().At)
    return;
  view.Samples.push_back({at, end});
  if (view.Samples.size() > MaxSamples)
    view.Samples.pop_front();
}

} // namespace rosemaryhinge
