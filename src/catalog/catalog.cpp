#include "catalog/catalog.h"

#include "protocol/storerevision.h"

#include <algorithm>

namespace rosemaryhinge {

namespace {

/// Bound on the missing servers recorded for a service; higher than the number of its servers that can fail
/// at once.
constexpr std::size_t MaxMissing = 16;
constexpr std::size_t MaxMisrouted = 1'000;

constexpr std::size_t MaxRemoved = 1'000;
/// Time for which a removed server is remembered. Longer than a copy from which the store comes back is old.
constexpr Duration RemovedMemory = 60s;

using Report = detail::Report;

/// An entry of a later era of the store may come from an older copy, so its revision does not tell whether it
/// is newer.
Report compareAcrossEras(const ServerEntry &entry, const ServerEntry &known) {
  if (storeEra(entry.Revision) <= storeEra(known.Revision))
    return Report::Newer;
  if (entry.StartedAt != known.StartedAt)
    return entry.StartedAt > 0 && entry.StartedAt < known.StartedAt ? Report::Older : Report::Newer;
  if (entry.Sequence < known.Sequence)
    return Report::Older;
  return entry.Sequence > 0 && entry.Sequence == known.Sequence ? Report::Repeated : Report::Newer;
}

} // namespace

bool Catalog::accept(Configuration next) {
  if (next.Version <= Current.Version)
    return false;
  ++ChangeCount;
  Current = std::move(next);
  RouteByDatabase.clear();
  for (std::size_t n = 0; n < Current.Routes.size(); ++n)
    RouteByDatabase.emplace(Current.Routes[n].Database, n);
  WorkspaceByKey.clear();
  if (const auto &list = Current.Workspaces)
    for (std::size_t n = 0; n < list->size(); ++n)
      for (const auto &key : (*list)[n].Keys)
        WorkspaceByKey.emplace(key, n);
  return true;
}

const DatabaseRoute *Catalog::route(std::string_view database) const {
  const auto it = RouteByDatabase.find(database);
  return it == RouteByDatabase.end() ? nullptr : &Current.Routes[it->second];
}

const Workspace *Catalog::workspaceOf(const KeyDigest &key) const {
  const auto it = WorkspaceByKey.find(key);
  return it == WorkspaceByKey.end() ? nullptr : &(*Current.Workspaces)[it->second];
}

const ServiceLimits *Catalog::limits(const DatabaseId &service) const {
  const auto it = std::find_if(Current.Services.begin(), Current.Services.end(),
                               [&](const ServiceLimits &one) { return one.Service == service; });
  return it == Current.Services.end() ? nullptr : &*it;
}

void Catalog::updateServer(ServerEntry entry, TimePoint now) {
  if (const auto it = MisroutedAtRevision.find(entry.Target); it != MisroutedAtRevision.end()) {
    if (it->second >= entry.Revision)
      return;
    MisroutedAtRevision.erase(it);
  }
  const auto known = Servers.find(entry.Target);
  if (known != Servers.end() && (known->second.Entry.Revision >= entry.Revision ||
                                 compareAcrossEras(entry, known->second.Entry) != Report::Newer))
    return;
  const auto report = compareWithRemoved(entry, now);
  if (report == Report::Older)
    return;
  ++ChangeCount;
  if (known != Servers.end() && known->second.Entry.Service != entry.Service)
    removeServer(entry.Target, now);
  auto &group = Groups[entry.Service];
  const auto at = std::lower_bound(group.Servers.begin(), group.Servers.end(), entry.Target);
  if (at == group.Servers.end() || *at != entry.Target)
    group.Servers.insert(at, entry.Target);
  std::erase_if(group.Missing, [&](const MissingServer &it) { return it.Target == entry.Target; });
  if (group.ConfirmedPrimary && entry.Role == TargetRole::Primary && report == Report::Newer &&
      *group.ConfirmedPrimary != entry.Target && now >= group.ConfirmedUntil)
    group.ConfirmedPrimary.reset();
  auto &view = Servers[entry.Target];
  if (!entry.Leaving)
    view.LeavingSince.reset();
  else if (!view.LeavingSince)
    view.LeavingSince = now;
  view.Entry = std::move(entry);
}

detail::Report Catalog::compareWithRemoved(const ServerEntry &entry, TimePoint now) {
  const auto it = Removed.find(entry.Target);
  if (it == Removed.end())
    return Report::Newer;
  const auto out =
      now - it->second.At < RemovedMemory ? compareAcrossEras(entry, it->second.Entry) : Report::Newer;
  if (out != Report::Older)
    Removed.erase(it);
  return out;
}

void Catalog::removeServer(const TargetId &target, TimePoint now) {
  const auto it = Servers.find(target);
  if (it == Servers.end())
    return;
  ++ChangeCount;
  auto &group = Groups[it->second.Entry.Service];
  std::erase(group.Servers, target);
  group.DeniedAtRevision.erase(target);
  if (group.ConfirmedPrimary == target)
    group.ConfirmedPrimary.reset();
  const auto &entry = it->second.Entry;
  group.Missing.push_back({target, now, entry.Role == TargetRole::Primary, entry.Leaving});
  if (group.Missing.size() > MaxMissing)
    group.Missing.erase(group.Missing.begin());
  if (Removed.size() >= MaxRemoved)
    Removed.clear();
  Removed[target] = {it->second.Entry, now};
  Servers.erase(it);
}

void Catalog::onMisrouted(const TargetId &target, TimePoint now) {
  const auto it = Servers.find(target);
  if (it == Servers.end())
    return;
  const auto entry = it->second.Entry;
  if (MisroutedAtRevision.size() >= MaxMisrouted)
    MisroutedAtRevision.clear();
  MisroutedAtRevision[target] = entry.Revision;
  removeServer(target, now);
  // A server that started again under another id has the log of the one before.
  const bool startedAgain = std::any_of(Servers.begin(), Servers.end(), [&](const auto &one) {
    return one.second.Entry.Address == entry.Address && one.second.Entry.Service == entry.Service;
  });
  if (startedAgain)
    std::erase_if(Groups[entry.Service].Missing, [&](const auto &one) { return one.Target == target; });
}

const ServerView *Catalog::server(const TargetId &target) const {
  const auto it = Servers.find(target);
  return it == Servers.end() ? nullptr : &it->second;
}

std::span<const TargetId> Catalog::servers(const DatabaseId &service) const {
  const auto it = Groups.find(service);
  return it == Groups.end() ? std::span<const TargetId>() : it->second.Servers;
}

std::vector<DatabaseId> Catalog::services() const {
  std::vector<DatabaseId> out;
  for (const auto &[service, group] : Groups)
    if (!group.Servers.empty())
      out.push_back(service);
  return out;
}

std::span<const MissingServer> Catalog::missingServers(const DatabaseId &service) const {
  const auto it = Groups.find(service);
  return it == Groups.end() ? std::span<const MissingServer>() : it->second.Missing;
}

std::optional<TargetId> Catalog::primary(const DatabaseId &service) const {
  const auto it = Groups.find(service);
  if (it == Groups.end())
    return std::nullopt;
  const auto &group = it->second;
  if (group.ConfirmedPrimary)
    return group.ConfirmedPrimary;
  const ServerEntry *best = nullptr;
  for (const auto &target : group.Servers) {
    const auto &entry = Servers.at(target).Entry;
    const auto denied = group.DeniedAtRevision.find(target);
    if (entry.Role != TargetRole::Primary ||
        (denied != group.DeniedAtRevision.end() && denied->second >= entry.Revision))
      continue;
    if (!best || entry.Revision > best->Revision)
      best = &entry;
  }
  return best ? std::optional(best->Target) : std::nullopt;
}

void Catalog::confirmPrimary(const TargetId &target, Term term, TimePoint validUntil) {
  const auto it = Servers.find(target);
  if (it == Servers.end())
    return;
  auto &group = Groups[it->second.Entry.Service];
  if (term < group.ConfirmedTerm)
    return;
  group.ConfirmedTerm = term;
  group.ConfirmedUntil = validUntil;
  if (group.ConfirmedPrimary == target)
    return;
  group.ConfirmedPrimary = target;
  group.DeniedAtRevision.erase(target);
  ++ChangeCount;
}

void Catalog::denyPrimary(const TargetId &target) {
  const auto it = Servers.find(target);
  if (it == Servers.end())
    return;
  auto &group = Groups[it->second.Entry.Service];
  if (group.ConfirmedPrimary == target)
    group.ConfirmedPrimary.reset();
  const auto [denied, added] = group.DeniedAtRevision.try_emplace(target, it->second.Entry.Revision);
  if (added || denied->second != it->second.Entry.Revision)
    ++ChangeCount;
  denied->second = it->second.Entry.Revision;
}

} // namespace rosemaryhinge
