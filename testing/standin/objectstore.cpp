// Versioned objects of the platform, with watches.

#include "standin/objectstore.h"

#include <utility>
#include <vector>

namespace rosemaryhinge::standin {

StoredObject ObjectStore::get(const std::string &key) const {
  auto it = Objects.find(key);
  return it == Objects.end() ? StoredObject{} : it->second;
}

std::optional<std::uint64_t> ObjectStore::put(const std::string &key, std::uint64_t expected,
                                              std::string value) {
  if (get(key).Version != expected) {
    ++Counters.Conflicts;
    return std::nullopt;
  }
  auto &object = Objects[key];
  ++object.Version;
  object.Value = std::move(value);
  // Watchers may watch again from their callback, so they are taken out first.
  std::vector<Watcher> due;
  for (auto it = Watches.begin(); it != Watches.end();) {
    if (it->second.Key == key && it->second.Above < object.Version) {
      due.push_back(std::move(it->second.Notify));
      it = Watches.erase(it);
    } else {
      ++it;
    }
  }
  auto copy = object;
  for (const auto &notify : due)
    notify(copy);
  return copy.Version;
}

std::uint64_t ObjectStore::watch(const std::string &key, std::uint64_t above, Watcher watcher) {
  auto number = ++NextWatch;
  Watches.emplace(number, Watch{key, above, std::move(watcher)});
  return number;
}

void ObjectStore::cancel(std::uint64_t watch) { Watches.erase(watch); }

} // namespace rosemaryhinge::standin
