// Simulated store of the platform: configuration, server entries and claims, with watches, faults and
// restorations from an older copy.

#pragma once

#include "fakes/eventqueue.h"
#include "protocol/directory.h"
#include "protocol/storerevision.h"
#include "sessionworld/dbcluster.h"

#include <deque>
#include <functional>
#include <map>
#include <vector>

namespace rosemaryhinge::sessionworld {

class DirectoryStore {
public:
  using Handler = std::function<void(DirectoryAnswer)>;

  /// \param maxConnections Of each server, as told to the proxies. Zero: more than they use.
  DirectoryStore(fakes::EventQueue &queue, DbCluster &cluster, std::uint32_t maxConnections);

  void call(const DirectoryCall &call, const Handler &handler);
  /// Writes the entries of all servers that are up, and removes those of the others after EntryLifetime.
  /// \param unchanged Whether entries that say the same as before are written, too.
  void publishServers(bool unchanged = false);
  /// Removes the entry of a server that has ended as announced.
  void withdraw(const TargetId &target);
  /// Adds the final entry of a node whose record goes back to its first start.
  void addEndedProxy(const NodeId &node);
  /// Deletes the entry of a proxy, whoever wrote it.
  void deleteProxy(const NodeId &node);
  /// Writes a configuration of the next version, as the operator does.
  void publishConfiguration();
  [[nodiscard]] std::uint64_t configurationVersion() const { return Published.Version; }
  /// Comes back from the newest copy that has at least this age. The operator and the servers write again
  /// what they wrote since.
  void restore(Duration age);

  bool Down = false;        ///< Calls are dropped without effect.
  bool LoseAnswers = false; ///< Writes take effect, and their answers are lost.

  static constexpr Duration Delay = 4ms;
  static constexpr Duration EntryLifetime = 3600ms;
  static constexpr Duration CopyInterval = 500ms;
  /// Copies that are older than this are dropped.
  static constexpr Duration MaxCopyAge = 12s;
  /// After a restoration, the operator and the servers have written again by then.
  static constexpr Duration RewriteTime = 1500ms;

private:
  struct Watch {
    DirectoryCall Call;
    Handler Answer;
  };
  /// All that a restoration goes back to.
  struct Contents {
    std::uint64_t Number = 10; ///< Of the last change.
    Configuration Current;
    std::uint64_t ConfigurationRevision = 0;
    std::map<TargetId, DirectoryObject> Entries;
    std::map<TargetId, std::uint64_t> EntryRevisions; ///< Of the last change, deletions included.
    std::map<DatabaseId, Claim> Claims;
    std::map<NodeId, ProxyEntry> Proxies;
    std::map<NodeId, std::uint64_t> ProxyRevisions;
    std::map<DatabaseId, FenceNotice> Notices;
    std::map<DatabaseId, std::uint64_t> NoticeRevisions;
  };
  struct Copy {
    TimePoint TakenAt;
    Contents Of;
  };
  [[nodiscard]] std::uint64_t revision() const { return storeRevision(Era, Now.Number); }
  [[nodiscard]] std::uint64_t nextRevision() { return storeRevision(Era, ++Now.Number); }
  void writeConfiguration();
  void takeCopy();
  [[nodiscard]] std::vector<DirectoryObject> objects(DirectoryKind kind, std::uint64_t after) const;
  void answerWatches();
  DirectoryAnswer apply(const DirectoryCall &call);
  [[nodiscard]] decltype(DirectoryAnswer::Result) storeClaim(const Claim &next);
  decltype(DirectoryAnswer::Result) storeProxy(const PutProxy &put);
  [[nodiscard]] decltype(DirectoryAnswer::Result) storeNotice(const PutFenceNotice &put);

  fakes::EventQueue &Queue;
  DbCluster &Cluster;
  std::uint64_t Era = 1;
  Contents Now;
  Configuration Published;                    ///< What the operator wrote last.
  std::map<TargetId, std::uint64_t> Sequence; ///< Number of each server's last report.
  std::deque<Copy> Copies;                    ///< From the oldest to the newest.
  std::vector<Watch> Watches;
};

} // namespace rosemaryhinge::sessionworld
