// Simulated database servers of one service: logs, replication, pauses and promotions.
//
// Follows the platform's description of its servers. A commit is acknowledged once a replica has received it.
// A promoted server leads with what it has received. Without fencing the former primary goes on leading until
// it steps down or has reached the new one for DemotionDelay.

#pragma once

#include "fakes/dice.h"
#include "fakes/eventqueue.h"
#include "protocol/link.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

namespace rosemaryhinge::sessionworld {

struct LogEntry {
  Position At;
  std::string Write; ///< Id of the statement.
  TimePoint AppendedAt;
};

struct DbServer {
  TargetId Id;
  std::string Address;
  bool Up = true;
  bool Leaving = false;
  bool Listed = true;    ///< Its entry is in the store, or is written at the next change.
  bool Draining = false; ///< It reports that it is leaving, also after a crash, until it ends.
  bool Replaced = false; ///< It is draining, or is about to.
  TargetRole Role = TargetRole::Replica;
  Term CurrentTerm = 1;          ///< The term that it leads or follows.
  std::optional<Term> FirstTerm; ///< Of its position while its log is empty, if not CurrentTerm.
  std::size_t Starts = 1;
  Term PausedFor = 0; ///< Zero unless it is paused.
  std::vector<LogEntry> Log;
  std::unordered_set<std::string> Writes; ///< Of Log.
  Duration ReplicationLag = 20ms;
  bool Stalled = false; ///< A replica that receives nothing, although it can be reached.
  std::optional<TimePoint> ReachesLeaderSince; ///< Of a former primary.

  [[nodiscard]] Position end() const {
    return Log.empty() ? Position{FirstTerm.value_or(CurrentTerm), 0} : Log.back().At;
  }
  [[nodiscard]] bool holds(const std::string &write) const { return Writes.contains(write); }
  void append(LogEntry entry);
  /// Replaces the log by that of its source.
  void follow(std::span<const LogEntry> source);
};

class DbCluster {
public:
  using Reply = std::function<void(LinkReplied)>;

  DbCluster(fakes::EventQueue &queue, bool fencing);

  /// Runs a command that arrived on a link. A commit is answered later.
  void execute(const TargetId &target, LinkId link, const LinkCommand &command, const Reply &reply);
  void closeLink(LinkId link) { OpenTransactions.erase(link); }
  /// Links of commits that wait for a replica. The server keeps their connections, also of links that the
  /// proxy has closed.
  [[nodiscard]] std::set<LinkId> waitingLinks(const TargetId &target) const;
  /// \returns false if the order is refused.
  bool promote(const TargetId &target, std::uint64_t token);

  void crash(std::size_t index);
  /// Starts a server again, with its log. \param id A new id, or the former one.
  void start(std::size_t index, TargetId id);
  /// Ends a server for good; its log is lost with it.
  void terminate(std::size_t index);
  /// Adds a replica that receives the log of the primary from now on, and is not listed yet.
  /// \returns its index. Those of the other servers stay as they are.
  std::size_t join(TargetId id, Duration replicationLag);
  /// Whether each acknowledged write that the server holds is in the log of another one, too.
  [[nodiscard]] bool replaceable(std::size_t index) const;
  void cut(std::size_t a, std::size_t b, bool on);
  [[nodiscard]] std::size_t leader() const;
  [[nodiscard]] std::vector<DbServer> &servers() { return Servers; }
  [[nodiscard]] DbServer *find(const TargetId &target);
  /// State of the servers that are up or keep a log.
  [[nodiscard]] std::string describe() const;

  /// A caller got a success for a write.
  void onAcknowledged(const std::string &write) { Acknowledged.insert(write); }
  [[nodiscard]] const std::set<std::string> &acknowledged() const { return Acknowledged; }

  /// Reports the acknowledged writes that the server which leads, or takes the lead, lacks, by both measures.
  /// \returns their positions.
  std::vector<Position> checkAcknowledged(const DbServer &server);
  /// Acknowledged writes that a promoted server lacked.
  [[nodiscard]] const std::set<std::string> &lost() const { return Lost; }
  /// Writes that a server acknowledged, whatever their callers were told, and that a promoted server lacked
  /// while a server that ran and was listed held them.
  [[nodiscard]] const std::set<std::string> &lostAtServers() const { return LostAtServers; }

  std::function<void()> OnEntryChanged;
  /// Told of each promotion that takes effect, before it does.
  std::function<void(const std::string &)> OnTrace = [](const std::string &) {};
  std::vector<std::string> Violations;

  static constexpr Duration PromoteTime = 300ms;
  static constexpr Duration DemotionDelay = 1s;

private:
  struct PendingCommit {
    TargetId Primary;
    Position At;
    std::string Write;
    LinkId Link;
    Reply Answer;
  };

  void tick();
  void replicate(DbServer &replica);
  void acknowledge();
  void demote(DbServer &server);
  void takeLead(DbServer &server);
  void commit(DbServer &server, LinkId link, const std::string &write, const Reply &reply);
  [[nodiscard]] bool heldByRunning(const std::string &write) const;
  [[nodiscard]] bool reachable(const DbServer &a, const DbServer &b) const;
  [[nodiscard]] std::size_t indexOf(const DbServer &server) const {
    return static_cast<std::size_t>(&server - Servers.data());
  }

  fakes::EventQueue &Queue;
  bool Fencing;
  std::vector<DbServer> Servers;
  std::map<LinkId, bool> OpenTransactions; ///< Whether the transaction of a link is read-write.
  std::vector<PendingCommit> Pending;
  std::set<std::pair<std::size_t, std::size_t>> Cuts;
  std::set<std::string> Acknowledged;
  std::map<std::string, Position> Positions; ///< Of all writes.
  std::set<std::string> Lost;
  std::set<std::string> AcknowledgedByServers;
  std::set<std::string> LostAtServers;
  std::uint64_t HighestToken = 0;
};

} // namespace rosemaryhinge::sessionworld
