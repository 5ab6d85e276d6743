// Objects with versions, conditional updates and watches.

#include "spread/objectstore.h"

#include "base/overloaded.h"

namespace rosemaryhinge::spread {

void ObjectStore::call(const PlatformCall &call, const Answer &answer) {
  ++Calls;
  LastWatch = 0;
  std::visit(Overloaded{
                 [&](const GetObject &it) {
                   const auto &object = Objects[it.Key];
                   answer(ObjectValue{it.Key, object.Version, object.Value});
                 },
                 [&](const PutObject &it) { answer(put(it)); },
                 [&](const WatchObject &it) {
                   const auto &object = Objects[it.Key];
                   if (object.Version > it.Above) {
                     answer(ObjectValue{it.Key, object.Version, object.Value});
                     return;
                   }
                   LastWatch = ++NextWatch;
                   Watches[LastWatch] = {it.Key, answer};
                 },
                 [&](const ListVms &) { answer(VmList{Vms}); },
             },
             call.Request);
}

void ObjectStore::endWatch(std::uint64_t watch) {
  auto it = Watches.find(watch);
  if (it == Watches.end())
    return;
  auto entry = std::move(it->second);
  Watches.erase(it);
  const auto &object = Objects[entry.Key];
  entry.Reply(ObjectValue{entry.Key, object.Version, object.Value});
}

void ObjectStore::overwrite(const std::string &key, std::string value) {
  auto &object = Objects[key];
  object.Value = std::move(value);
  ++object.Version;
  notify(key);
}

const StoredObject &ObjectStore::object(const std::string &key) { return Objects[key]; }

ObjectStore::Result ObjectStore::put(const PutObject &request) {
  auto &object = Objects[request.Key];
  if (object.Version != request.Expected)
    return PutConflict{object.Version};
  object.Value = request.Value;
  auto version = ++object.Version;
  notify(request.Key);
  return PutDone{version};
}

void ObjectStore::notify(const std::string &key) {
  std::vector<std::uint64_t> due;
  for (const auto &[number, watch] : Watches)
    if (watch.Key == key)
      due.push_back(number);
  for (auto it : due)
    endWatch(it);
}

} // namespace rosemaryhinge::spread
