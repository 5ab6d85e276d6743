// Simulated store of the platform: configuration, server entries and claims, with watches and faults.

#pragma once

#include "fakes/eventqueue.h"
#include "protocol/directory.h"
#include "sessionworld/dbcluster.h"

#include <functional>
#include <map>
#include <vector>

namespace rosemaryhinge::sessionworld {

class DirectoryStore {
public:
  using Handler = std::function<void(DirectoryAnswer)>;

  DirectoryStore(fakes::EventQueue &queue, DbCluster &cluster);

  void call(const DirectoryCall &call, const Handler &handler);
  /// Writes the entries of all servers that are up, and removes those of the others after EntryLifetime.
  void publishServers();

  bool Down = false;        ///< Calls are dropped without effect.
  bool LoseAnswers = false; ///< Writes take effect, and their answers are lost.

  static constexpr Duration Delay = 4ms;
  static constexpr Duration EntryLifetime = 3600ms;

private:
  struct Watch {
    DirectoryCall Call;
    Handler Answer;
  };
  [[nodiscard]] std::vector<DirectoryObject> objects(DirectoryKind kind, std::uint64_t after) const;
  void answerWatches();
  DirectoryAnswer apply(const DirectoryCall &call);

  fakes::EventQueue &Queue;
  DbCluster &Cluster;
  std::uint64_t Revision = 10;
  Configuration Current;
  std::map<TargetId, DirectoryObject> Entries;
  std::map<TargetId, std::uint64_t> EntryRevisions; ///< Of the last change, deletions included.
  std::map<DatabaseId, Claim> Claims;
  std::vector<Watch> Watches;
};

} // namespace rosemaryhinge::sessionworld
