// Objects and watches of the fake platform.

#include "fakes/store.h"

#include "base/overloaded.h"

#include <algorithm>

namespace rosemaryhinge::fakes {

void FakeStore::handle(const PlatformCall &call, Reply reply) {
  if (Down) {
    ++Refused;
    return;
  }
  auto delay = Random.between(1ms, 3ms) + Slow;
  Queue.after(delay, [this, call, reply = std::move(reply)] {
    if (Down)
      ++Refused;
    else
      act(call, reply);
  });
}

void FakeStore::act(const PlatformCall &call, const Reply &reply) {
  std::visit(Overloaded{[&](const GetObject &it) {
                          ++Reads;
                          reply(read(it.Key));
                        },
                        [&](const PutObject &it) {
                          ++Writes;
                          auto result = write(it);
                          if (LoseAnswer > 0 && Random.chance(LoseAnswer))
                            ++AnswersLost;
                          else
                            reply(std::move(result));
                        },
                        [&](const WatchObject &it) { watch(it, call.Timeout, reply); },
                        [&](const ListVms &) {
                          ++Lists;
                          VmList out;
                          for (const auto &[vm, leaving] : Vms)
                            out.Vms.push_back({vm, leaving});
                          reply(std::move(out));
                        }},
             call.Request);
}

ObjectValue FakeStore::read(const std::string &key) const {
  auto it = Objects.find(key);
  return it == Objects.end() ? ObjectValue{key, 0, ""} : it->second;
}

PlatformResult FakeStore::write(const PutObject &put) {
  auto &object = Objects[put.Key];
  if (object.Version != put.Expected)
    return PutConflict{object.Version};
  object = {put.Key, object.Version + 1, put.Value};
  auto version = object.Version;
  if (OnChange)
    OnChange(put.Key, object);
  notify(put.Key);
  return PutDone{version};
}

void FakeStore::watch(const WatchObject &request, Duration timeout, const Reply &reply) {
  ++Watches;
  auto object = read(request.Key);
  if (object.Version > request.Above) {
    reply(std::move(object));
    return;
  }
  auto id = NextWatch++;
  Pending.push_back({id, request.Key, request.Above, reply});
  // A tenth of the caller's patience is left for the way back.
  Queue.after(timeout * 9 / 10, [this, id] {
    auto it = std::find_if(Pending.begin(), Pending.end(), [&](const auto &watch) { return watch.Id == id; });
    if (it == Pending.end())
      return;
    auto answer = std::move(it->Answer);
    auto value = read(it->Key);
    Pending.erase(it);
    if (!Down)
      answer(std::move(value));
  });
}

void FakeStore::notify(const std::string &key) {
  auto value = read(key);
  std::list<Watch> ready;
  for (auto it = Pending.begin(); it != Pending.end();) {
    auto next = std::next(it);
    if (it->Key == key && value.Version > it->Above)
      ready.splice(ready.end(), Pending, it);
    it = next;
  }
  if (!Down)
    for (const auto &it : ready)
      it.Answer(value);
}

void FakeStore::setVm(const NodeId &vm, bool leaving) {
  Queue.after(ListLag, [this, vm, leaving] { Vms[vm] = leaving; });
}

void FakeStore::removeVm(const NodeId &vm) {
  Queue.after(ListLag, [this, vm] { Vms.erase(vm); });
}

bool FakeStore::listedLeaving(const NodeId &vm) const {
  auto it = Vms.find(vm);
  return it != Vms.end() && it->second;
}

} // namespace rosemaryhinge::fakes
