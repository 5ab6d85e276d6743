// Simulated store of the platform: the configuration and the proxies, with watches and troubles.

#pragma once

#include "directoryworld/network.h"
#include "protocol/directory.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace rosemaryhinge::directoryworld {

/// How the store treats a VM that it does not serve.
enum class StoreRefusal : std::uint8_t { None, Busy, Silent };

using StoreResult = decltype(DirectoryAnswer::Result);

class Store {
public:
  using Handler = std::function<void(DirectoryAnswer)>;

  Store(fakes::EventQueue &queue, Network &network);

  /// The handler is called also after the process that made the call has ended.
  void call(VmIndex from, const DirectoryCall &call, Handler handler);
  /// Forgets the watches of a process that has ended.
  void drop(VmIndex from);
  /// Writes the next version with one more route than before, and more of them as asked.
  /// Returns the name of the added route.
  std::string changeConfiguration(std::size_t moreRoutes);
  void refuse(VmIndex vm, StoreRefusal how);
  /// From now on watches tell nothing of what changes.
  void muteWatches() { Muted = true; }
  /// Drops the history, and cuts the watches.
  void compact();

  static constexpr Duration AnswerDelay = 4ms;
  /// Time between writes of others, which raise the revision.
  static constexpr Duration OtherWrites = 150ms;
  static constexpr std::size_t RouteBytes = 170; ///< Of one route in an answer of the store.

private:
  struct Watch {
    VmIndex From = 0;
    DirectoryCall Call;
    Handler Answer;
    std::uint64_t Number = 0;
  };
  void writeOthers();
  void answerWatches();
  void expire(std::uint64_t watch, VmIndex from);
  void fail(const DirectoryCall &call, const Handler &handler, Duration after);
  void answer(VmIndex to, const DirectoryCall &call, const Handler &handler, StoreResult result);
  [[nodiscard]] bool reachable(VmIndex vm) const;
  [[nodiscard]] std::vector<DirectoryObject> objects(DirectoryKind kind, std::uint64_t after) const;
  StoreResult apply(const DirectoryCall &call);

  fakes::EventQueue &Queue;
  Network &Net;
  std::uint64_t Revision = 100;
  std::uint64_t OldestHistory = 0; ///< Watches from before this revision cannot be answered.
  Configuration Current;
  std::uint64_t ConfigurationRevision = 0;
  std::map<std::string, DirectoryObject> Proxies;
  std::map<VmIndex, StoreRefusal> Refused;
  std::vector<Watch> Watches;
  std::uint64_t WatchNumber = 0;
  bool Muted = false;
};

} // namespace rosemaryhinge::directoryworld
