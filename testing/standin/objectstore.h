// Versioned objects of the platform, with watches.

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace rosemaryhinge::standin {

struct StoredObject {
  std::uint64_t Version = 0; ///< 0: the object does not exist.
  std::string Value;
};

struct StoreCounters {
  std::uint64_t Gets = 0;
  std::uint64_t Watches = 0;
  std::uint64_t Puts = 0;
  std::uint64_t Conflicts = 0;
  std::uint64_t Lists = 0;
};

class ObjectStore {
public:
  using Watcher = std::function<void(const StoredObject &)>;

  /// Limit of the platform for one value.
  static constexpr std::size_t MaxValueBytes = 1'000'000;

  [[nodiscard]] StoredObject get(const std::string &key) const;
  /// Returns the new version, or none if the object does not have the expected version.
  std::optional<std::uint64_t> put(const std::string &key, std::uint64_t expected, std::string value);
  /// Calls back once, on the first change that raises the version above the given one. Returns a number for
  /// cancel().
  std::uint64_t watch(const std::string &key, std::uint64_t above, Watcher watcher);
  void cancel(std::uint64_t watch);

  [[nodiscard]] const std::map<std::string, StoredObject> &all() const { return Objects; }
  [[nodiscard]] std::size_t pendingWatches() const { return Watches.size(); }

  StoreCounters Counters;

private:
  struct Watch {
    std::string Key;
    std::uint64_t Above = 0;
    Watcher Notify;
  };

  std::map<std::string, StoredObject> Objects;
  std::map<std::uint64_t, Watch> Watches;
  std::uint64_t NextWatch = 0;
};

} // namespace rosemaryhinge::standin
