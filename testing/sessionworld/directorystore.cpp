// Simulated store of the platform.

#include "sessionworld/directorystore.h"

#include <algorithm>

#include "base/overloaded.h"

namespace rosemaryhinge::sessionworld {

namespace {

const DatabaseId Yard("yard");
constexpr std::uint32_t AmpleConnections = 1'000;

DatabaseRoute route(std::string database, Consistency reads) {
  DatabaseRoute out;
  out.Database = std::move(database);
  out.Service = Yard;
  out.Reads = reads;
  out.StatementTimeout = 1s;
  out.MaxStaleness = 1500ms;
  return out;
}

} // namespace

DirectoryStore::DirectoryStore(fakes::EventQueue &queue, DbCluster &cluster, std::uint32_t maxConnections)
    : Queue(queue), Cluster(cluster) {
  Published.Version = 1;
  Published.Routes = {route("settle", Consistency::Primary), route("look", Consistency::BoundedStaleness)};
  Published.Services = {{Yard, maxConnections == 0 ? AmpleConnections : maxConnections, 1}};
  writeConfiguration();
  takeCopy();
}

void DirectoryStore::publishServers(bool unchanged) {
  for (const auto &it : Cluster.servers()) {
    if (!it.Up || !it.Listed)
      continue;
    ServerEntry entry{it.Id, Yard, it.Address, AvailabilityZone("z1"), it.Role, it.Leaving, 0};
    entry.Sequence = ++Sequence[it.Id];
    const auto known = Now.Entries.find(it.Id);
    const auto *before =
        known == Now.Entries.end() ? nullptr : std::get_if<ServerEntry>(&known->second.Value);
    if (!unchanged && before && before->Role == entry.Role && before->Leaving == entry.Leaving &&
        !known->second.Deleted)
      continue;
    entry.Revision = nextRevision();
    Now.Entries[it.Id] = {it.Id.str(), false, entry};
    Now.EntryRevisions[it.Id] = entry.Revision;
  }
  for (const auto &[target, object] : Now.Entries)
    Queue.after(EntryLifetime, [this, target = target] {
      const auto *server = Cluster.find(target);
      const auto it = Now.Entries.find(target);
      if (it == Now.Entries.end() || it->second.Deleted || (server && server->Up))
        return;
      it->second.Deleted = true;
      Now.EntryRevisions[target] = nextRevision();
      answerWatches();
    });
  answerWatches();
}

void DirectoryStore::withdraw(const TargetId &target) {
  const auto it = Now.Entries.find(target);
  if (it == Now.Entries.end() || it->second.Deleted)
    return;
  it->second.Deleted = true;
  Now.EntryRevisions[target] = nextRevision();
  answerWatches();
}

void DirectoryStore::addEndedProxy(const NodeId &node) {
  ProxyEntry entry;
  entry.Node = node;
  entry.Final.emplace();
  storeProxy({entry, 0});
}

void DirectoryStore::deleteProxy(const NodeId &node) {
  if (Now.ProxyRevisions.erase(node) == 0)
    return;
  Now.Proxies.erase(node);
  ++Now.Number;
}

void DirectoryStore::publishConfiguration() {
  ++Published.Version;
  Published.Routes.push_back(route("route" + std::to_string(Published.Version), Consistency::Primary));
  writeConfiguration();
}

void DirectoryStore::writeConfiguration() {
  Now.Current = Published;
  Now.ConfigurationRevision = nextRevision();
  answerWatches();
}

void DirectoryStore::takeCopy() {
  if (!Down)
    Copies.push_back({Queue.now(), Now});
  while (Copies.size() > 1 && Queue.now() - Copies.front().TakenAt > MaxCopyAge)
    Copies.pop_front();
  Queue.after(CopyInterval, [this] { takeCopy(); });
}

void DirectoryStore::restore(Duration age) {
  while (Copies.size() > 1 && Queue.now() - Copies.back().TakenAt < age)
    Copies.pop_back();
  Now = Copies.back().Of;
  ++Era;
  // Objects keep their numbers.
  const auto inThisEra = [this](std::uint64_t it) { return storeRevision(Era, storeNumber(it)); };
  Now.ConfigurationRevision = inThisEra(Now.ConfigurationRevision);
  for (auto &[target, object] : Now.Entries) {
    Now.EntryRevisions[target] = inThisEra(Now.EntryRevisions[target]);
    if (auto *entry = std::get_if<ServerEntry>(&object.Value))
      entry->Revision = inThisEra(entry->Revision);
  }
  for (auto &[service, claim] : Now.Claims)
    claim.Revision = inThisEra(claim.Revision);
  for (auto &[node, revision] : Now.ProxyRevisions)
    revision = inThisEra(revision);
  for (auto &[service, revision] : Now.NoticeRevisions)
    revision = inThisEra(revision);
  for (const auto &it : std::exchange(Watches, {}))
    it.Answer({it.Call.Call, DirectoryFailure{"connection reset", false}});
  Queue.after(RewriteTime, [this] {
    publishServers(true);
    if (Now.Current.Version < Published.Version)
      writeConfiguration();
  });
}

std::vector<DirectoryObject> DirectoryStore::objects(DirectoryKind kind, std::uint64_t after) const {
  std::vector<DirectoryObject> out;
  if (kind == DirectoryKind::Configuration && Now.ConfigurationRevision > after)
    out.push_back({"main", false, Now.Current});
  if (kind == DirectoryKind::Servers)
    for (const auto &[target, object] : Now.Entries)
      if (Now.EntryRevisions.at(target) > after && (after > 0 || !object.Deleted))
        out.push_back(object);
  if (kind == DirectoryKind::Claims)
    for (const auto &[service, claim] : Now.Claims)
      out.push_back({service.str(), false, claim});
  if (kind == DirectoryKind::Proxies)
    for (const auto &[node, entry] : Now.Proxies)
      out.push_back({node.str(), false, entry});
  if (kind == DirectoryKind::FenceNotices)
    for (const auto &[service, notice] : Now.Notices)
      if (Now.NoticeRevisions.at(service) > after)
        out.push_back({service.str(), false, notice});
  return out;
}

void DirectoryStore::answerWatches() {
  for (auto &it : std::exchange(Watches, {})) {
    const auto &watch = std::get<WatchDirectory>(it.Call.Request);
    // The store knows the number only, of whichever era it is.
    const auto after = storeRevision(Era, storeNumber(watch.Revision));
    auto found = objects(watch.Kind, after);
    if (found.empty() || Down) {
      Watches.push_back(std::move(it));
      continue;
    }
    Queue.after(Delay, [it, found, revision = revision(), era = Era] {
      it.Answer({it.Call.Call, DirectoryChanges{found, revision}, era});
    });
  }
}

DirectoryAnswer DirectoryStore::apply(const DirectoryCall &call) {
  DirectoryAnswer out{call.Call, DirectoryFailure{"unknown call", true}, Era};
  if (const auto *list = std::get_if<ListDirectory>(&call.Request)) {
    out.Result = DirectoryListing{objects(list->Kind, 0), false, revision()};
  } else if (const auto *put = std::get_if<PutClaim>(&call.Request)) {
    out.Result = storeClaim(put->Next);
  } else if (const auto *entry = std::get_if<PutProxy>(&call.Request)) {
    out.Result = storeProxy(*entry);
  } else if (const auto *notice = std::get_if<PutFenceNotice>(&call.Request)) {
    out.Result = storeNotice(*notice);
    answerWatches();
  } else if (const auto *read = std::get_if<ReadProxy>(&call.Request)) {
    if (const auto it = Now.ProxyRevisions.find(read->Node); it != Now.ProxyRevisions.end())
      out.Result = ProxyStored{it->second};
    else
      out.Result = ProxyMissing{};
  } else if (const auto *proxy = std::get_if<DeleteProxy>(&call.Request)) {
    if (const auto it = Now.ProxyRevisions.find(proxy->Node);
        it != Now.ProxyRevisions.end() && storeNumber(it->second) == storeNumber(proxy->Revision))
      deleteProxy(proxy->Node);
    out.Result = ProxyStored{};
  }
  return out;
}

decltype(DirectoryAnswer::Result) DirectoryStore::storeClaim(const Claim &next) {
  auto &current = Now.Claims[next.Service];
  if (storeNumber(current.Revision) != storeNumber(next.Revision))
    return ClaimConflict{current};
  current = next;
  current.Revision = nextRevision();
  return ClaimStored{current};
}

decltype(DirectoryAnswer::Result) DirectoryStore::storeProxy(const PutProxy &put) {
  const auto current = Now.Proxies.find(put.Entry.Node);
  if (current == Now.Proxies.end() && put.Revision != 0)
    return ProxyMissing{};
  auto &revision = Now.ProxyRevisions[put.Entry.Node];
  if (storeNumber(revision) != storeNumber(put.Revision))
    return ProxyConflict{revision, current->second};
  revision = nextRevision();
  auto &entry = Now.Proxies[put.Entry.Node] = put.Entry;
  entry.Revision = revision;
  return ProxyStored{revision};
}

decltype(DirectoryAnswer::Result) DirectoryStore::storeNotice(const PutFenceNotice &put) {
  if (Now.Notices.contains(put.Next.Service) == put.Create)
    return FenceNoticeConflict{};
  Now.Notices[put.Next.Service] = put.Next;
  Now.NoticeRevisions[put.Next.Service] = nextRevision();
  return FenceNoticeStored{};
}

void DirectoryStore::call(const DirectoryCall &call, const Handler &handler) {
  const auto fail = [this, call, handler] {
    Queue.after(call.Timeout, [call, handler] {
      handler({call.Call, DirectoryFailure{"timed out", false}});
    });
  };
  if (Down) {
    fail();
    return;
  }
  if (const auto *watch = std::get_if<WatchDirectory>(&call.Request)) {
    if (storeNumber(watch->Revision) > Now.Number) {
      Queue.after(Delay, [call, handler, era = Era] {
        handler({call.Call, DirectoryHistoryCompacted{}, era});
      });
      return;
    }
    Watches.push_back({call, handler});
    answerWatches();
    Queue.after(watch->Wait, [this, call] {
      const auto it = std::find_if(Watches.begin(), Watches.end(),
                                   [&](const Watch &one) { return one.Call.Call == call.Call; });
      if (it == Watches.end())
        return;
      const auto answer = std::move(it->Answer);
      Watches.erase(it);
      if (Down)
        answer({call.Call, DirectoryFailure{"timed out", false}});
      else
        answer({call.Call, DirectoryChanges{{}, revision()}, Era});
    });
    return;
  }
  Queue.after(Delay, [this, call, handler, fail] {
    const auto answer = apply(call);
    if (LoseAnswers && std::holds_alternative<PutClaim>(call.Request))
      fail();
    else
      Queue.after(Delay, [answer, handler] { handler(answer); });
  });
}

} // namespace rosemaryhinge::sessionworld
