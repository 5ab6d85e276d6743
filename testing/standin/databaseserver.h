// One database server of a group: its log, its databases, its term and its slots. Knows no sockets.

#pragma once

#include "base/id.h"
#include "base/position.h"
#include "standin/replicationlog.h"
#include "standin/slottable.h"
#include "standin/sqlerror.h"
#include "standin/sqlitedatabase.h"
#include "standin/writerlock.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace rosemaryhinge::standin {

struct ServerCounters {
  std::uint64_t Commits = 0;
  std::uint64_t Rollbacks = 0;
  std::uint64_t Reads = 0;
  std::uint64_t Marked = 0;
  std::uint64_t MarkConflicts = 0;
  std::uint64_t Aborts = 0;
  std::uint64_t RefusedWrites = 0;
  std::uint64_t Promotions = 0;
  std::uint64_t Rebuilds = 0;
  std::uint64_t DroppedEntries = 0; ///< Of this server's own log, dropped to follow a new primary.
  std::uint64_t ApplyErrors = 0;    ///< Statements of the log that failed here.
};

class DatabaseServer {
public:
  using Clock = std::chrono::steady_clock;

  DatabaseServer(TargetId target, std::uint32_t slotLimit);

  /// Row of rosemaryhinge_status.
  [[nodiscard]] StatementResult status(Clock::time_point now) const;
  /// Row of rosemaryhinge_marker; no row if the key is not in the table.
  StatementResult marker(const std::string &key);

  /// False if a higher term is known.
  bool raise(Term term);
  bool promote(Term term);
  /// Why the server takes no write of a transaction that began at the epoch; none if it does.
  [[nodiscard]] std::optional<SqlError> refusal(std::uint64_t epoch) const;

  /// Opens, commits or ends the one write transaction. The caller holds Writer.
  void beginWork();
  std::optional<SqlError> commitWork(std::vector<std::string> statements);
  void rollbackWork();

  /// Takes in the primary's log up to `count` entries. False if it is of a lower term.
  bool receive(const DatabaseServer &primary, std::size_t count, Clock::time_point now);

  /// Calls back once the log has reached the position in its term.
  std::uint64_t waitFor(Position position, std::function<void()> reached);
  void cancelWait(std::uint64_t wait) { Waits.erase(wait); }

  const TargetId Target;
  ReplicationLog Log;
  SqliteDatabase Committed; ///< Serves reads.
  SqliteDatabase Work;      ///< Holds the open write transaction; valid on a primary only.
  WriterLock Writer;
  SlotTable Slots;
  ServerCounters Counters;

  bool Primary = false;
  Term Office = 0; ///< Term that this server is or was last primary of.
  Term Raised = 0;
  std::uint64_t Epoch = 0; ///< Changes when Work is replaced, which ends transactions on it.
  Clock::time_point LastHeard = Clock::now();

  // Switched by faults.
  bool Running = true;
  bool Leaving = false;
  bool CutFromProxies = false;
  bool CutFromServers = false;
  std::chrono::milliseconds Lag{};
  std::chrono::milliseconds ConnectDelay{};

  std::function<void()> OnCommit; ///< Sends the log on.

private:
  void replaceWork();
  void rebuild();
  void apply(std::size_t first);
  void notifyWaits();

  struct Wait {
    Position At;
    std::function<void()> Reached;
  };
  std::map<std::uint64_t, Wait> Waits;
  std::uint64_t NextWait = 0;
};

} // namespace rosemaryhinge::standin
