// Simulated store of the platform.

#include "sessionworld/directorystore.h"

#include "base/overloaded.h"

namespace rosemaryhinge::sessionworld {

namespace {

const DatabaseId Yard("yard");

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

DirectoryStore::DirectoryStore(fakes::EventQueue &queue, DbCluster &cluster)
    : Queue(queue), Cluster(cluster) {
  Current.Version = 1;
  Current.Routes = {route("settle", Consistency::Primary), route("look", Consistency::BoundedStaleness)};
  Current.Services = {{Yard, 1'000, 1}};
}

void DirectoryStore::publishServers() {
  for (const auto &it : Cluster.servers()) {
    if (!it.Up)
      continue;
    ServerEntry entry{it.Id, Yard, it.Address, AvailabilityZone("z1"), it.Role, it.Leaving, 0};
    const auto known = Entries.find(it.Id);
    const auto *before = known == Entries.end() ? nullptr : std::get_if<ServerEntry>(&known->second.Value);
    if (before && before->Role == entry.Role && before->Leaving == entry.Leaving && !known->second.Deleted)
      continue;
    entry.Revision = ++Revision;
    Entries[it.Id] = {it.Id.str(), false, entry};
    EntryRevisions[it.Id] = entry.Revision;
  }
  for (const auto &[target, object] : Entries)
    Queue.after(EntryLifetime, [this, target = target] {
      const auto *server = Cluster.find(target);
      auto &object = Entries.at(target);
      if (object.Deleted || (server && server->Up))
        return;
      object.Deleted = true;
      EntryRevisions[target] = ++Revision;
      answerWatches();
    });
  answerWatches();
}

std::vector<DirectoryObject> DirectoryStore::objects(DirectoryKind kind, std::uint64_t after) const {
  std::vector<DirectoryObject> out;
  if (kind == DirectoryKind::Configuration && after == 0)
    out.push_back({"main", false, Current});
  if (kind == DirectoryKind::Servers)
    for (const auto &[target, object] : Entries)
      if (EntryRevisions.at(target) > after && (after > 0 || !object.Deleted))
        out.push_back(object);
  if (kind == DirectoryKind::Claims)
    for (const auto &[service, claim] : Claims)
      out.push_back({service.str(), false, claim});
  return out;
}

void DirectoryStore::answerWatches() {
  for (auto &it : std::exchange(Watches, {})) {
    const auto &watch = std::get<WatchDirectory>(it.Call.Request);
    auto found = objects(watch.Kind, watch.Revision);
    if (found.empty() || Down) {
      Watches.push_back(std::move(it));
      continue;
    }
    Queue.after(Delay, [it, found, revision = Revision] {
      it.Answer({it.Call.Call, DirectoryChanges{found, revision}});
    });
  }
}

DirectoryAnswer DirectoryStore::apply(const DirectoryCall &call) {
  DirectoryAnswer out{call.Call, DirectoryFailure{"unknown call", true}};
  if (const auto *list = std::get_if<ListDirectory>(&call.Request)) {
    out.Result = DirectoryListing{objects(list->Kind, 0), false, Revision};
  } else if (const auto *put = std::get_if<PutClaim>(&call.Request)) {
    auto &current = Claims[put->Next.Service];
    if (current.Revision != put->Next.Revision) {
      out.Result = ClaimConflict{current};
    } else {
      current = put->Next;
      current.Revision = ++Revision;
      out.Result = ClaimStored{current};
    }
  }
  return out;
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
    Watches.push_back({call, handler});
    answerWatches();
    Queue.after(watch->Wait, [this, call] {
      for (auto it = Watches.begin(); it != Watches.end(); ++it)
        if (it->Call.Call == call.Call && !Down) {
          const auto answer = std::move(it->Answer);
          Watches.erase(it);
          answer({call.Call, DirectoryChanges{{}, Revision}});
          return;
        }
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
