// Simulated store of the platform.

#include "directoryworld/store.h"

#include "base/overloaded.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace rosemaryhinge::directoryworld {

namespace {

constexpr std::size_t EmptyAnswerBytes = 300;
const DatabaseId Service("yard");

DatabaseRoute makeRoute(std::string database) {
  DatabaseRoute out;
  out.Database = std::move(database);
  out.Service = Service;
  return out;
}

std::size_t sizeOf(const StoreResult &result) {
  std::size_t routes = 0;
  const auto add = [&routes](const std::vector<DirectoryObject> &objects) {
    for (const auto &it : objects)
      if (const auto *one = std::get_if<Configuration>(&it.Value))
        routes += one->Routes.size();
  };
  if (const auto *listing = std::get_if<DirectoryListing>(&result))
    add(listing->Objects);
  if (const auto *changes = std::get_if<DirectoryChanges>(&result))
    add(changes->Objects);
  return EmptyAnswerBytes + routes * Store::RouteBytes;
}

} // namespace

Store::Store(fakes::EventQueue &queue, Network &network) : Queue(queue), Net(network) {
  Current.Services = {{Service, 100, 1}};
  changeConfiguration(0);
  writeOthers();
}

void Store::writeOthers() {
  ++Revision;
  Queue.after(OtherWrites, [this] { writeOthers(); });
}

std::string Store::changeConfiguration(std::size_t moreRoutes) {
  ++Current.Version;
  auto added = "route" + std::to_string(Current.Version);
  Current.Routes.push_back(makeRoute(added));
  for (std::size_t n = 0; n < moreRoutes; ++n)
    Current.Routes.push_back(makeRoute(added + "-" + std::to_string(n)));
  ConfigurationRevision = ++Revision;
  answerWatches();
  return added;
}

void Store::refuse(VmIndex vm, StoreRefusal how) {
  Refused[vm] = how;
  if (how != StoreRefusal::Busy)
    return;
  for (auto &it : std::exchange(Watches, {}))
    if (it.From == vm)
      fail(it.Call, it.Answer, {});
    else
      Watches.push_back(std::move(it));
}

void Store::compact() {
  Muted = false;
  OldestHistory = Revision;
  for (const auto &it : std::exchange(Watches, {}))
    fail(it.Call, it.Answer, {});
}

void Store::drop(VmIndex from) {
  std::erase_if(Watches, [&](const Watch &it) { return it.From == from; });
}

bool Store::reachable(VmIndex vm) const {
  const auto it = Refused.find(vm);
  return !Net.isCut(vm) && (it == Refused.end() || it->second != StoreRefusal::Silent);
}

void Store::fail(const DirectoryCall &call, const Handler &handler, Duration after) {
  Queue.after(after, [call, handler] { handler({call.Call, DirectoryFailure{"no answer", false}}); });
}

void Store::answer(VmIndex to, const DirectoryCall &call, const Handler &handler, StoreResult result) {
  const auto bytes = sizeOf(result);
  Net.receive(to, bytes, [call, handler, result = std::move(result)] { handler({call.Call, result}); });
}

std::vector<DirectoryObject> Store::objects(DirectoryKind kind, std::uint64_t after) const {
  std::vector<DirectoryObject> out;
  if (kind == DirectoryKind::Configuration && ConfigurationRevision > after)
    out.push_back({"main", false, Current});
  if (kind == DirectoryKind::Proxies)
    for (const auto &[name, entry] : Proxies)
      out.push_back(entry);
  return out;
}

StoreResult Store::apply(const DirectoryCall &call) {
  if (const auto *list = std::get_if<ListDirectory>(&call.Request))
    return DirectoryListing{objects(list->Kind, 0), false, Revision};
  if (const auto *put = std::get_if<PutProxy>(&call.Request)) {
    ++Revision;
    Proxies[put->Entry.Node.str()] = {put->Entry.Node.str(), false, put->Entry};
    return ProxyStored{Revision};
  }
  if (const auto *read = std::get_if<ReadProxy>(&call.Request)) {
    if (Proxies.contains(read->Node.str()))
      return ProxyStored{Revision};
    return ProxyMissing{};
  }
  if (const auto *end = std::get_if<DeleteProxy>(&call.Request)) {
    ++Revision;
    Proxies.erase(end->Node.str());
    return ProxyStored{};
  }
  return DirectoryFailure{"unknown call", true};
}

void Store::answerWatches() {
  if (Muted)
    return;
  for (auto &it : std::exchange(Watches, {})) {
    const auto &watch = std::get<WatchDirectory>(it.Call.Request);
    auto found = objects(watch.Kind, watch.Revision);
    if (found.empty() || !reachable(it.From))
      Watches.push_back(std::move(it));
    else
      answer(it.From, it.Call, it.Answer, DirectoryChanges{std::move(found), Revision});
  }
}

void Store::expire(std::uint64_t number, VmIndex from) {
  const auto it =
      std::find_if(Watches.begin(), Watches.end(), [&](const Watch &one) { return one.Number == number; });
  if (it == Watches.end())
    return;
  const auto watch = std::move(*it);
  Watches.erase(it);
  const auto &request = std::get<WatchDirectory>(watch.Call.Request);
  // A store that tells nothing of a change does not claim to have told of it either.
  DirectoryChanges changes{{}, request.Revision};
  if (!Muted)
    changes = {objects(request.Kind, request.Revision), Revision};
  if (reachable(from))
    answer(from, watch.Call, watch.Answer, std::move(changes));
}

void Store::call(VmIndex from, const DirectoryCall &call, Handler handler) {
  // An answer ends the call, and so does its timeout.
  const auto answered = std::make_shared<bool>(false);
  const Handler once = [answered, handler = std::move(handler)](DirectoryAnswer it) {
    if (!std::exchange(*answered, true))
      handler(std::move(it));
  };
  fail(call, once, call.Timeout);
  if (!reachable(from))
    return;
  if (Refused[from] == StoreRefusal::Busy) {
    fail(call, once, AnswerDelay);
    return;
  }
  const auto *watch = std::get_if<WatchDirectory>(&call.Request);
  if (!watch) {
    Queue.after(AnswerDelay, [this, from, call, once] {
      if (reachable(from))
        answer(from, call, once, apply(call));
    });
    return;
  }
  Queue.after(AnswerDelay, [this, from, call, once, watch = *watch] {
    if (!reachable(from))
      return;
    if (watch.Revision < OldestHistory) {
      answer(from, call, once, DirectoryHistoryCompacted{});
      return;
    }
    const auto number = ++WatchNumber;
    Watches.push_back({from, call, once, number});
    answerWatches();
    Queue.after(watch.Wait, [this, number, from] { expire(number, from); });
  });
}

} // namespace rosemaryhinge::directoryworld
