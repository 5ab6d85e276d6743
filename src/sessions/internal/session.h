// State of a caller's session and of its current statement.

#pragma once

#include "links/linkpool.h"
#include "protocol/directory.h"
#include "protocol/session.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace rosemaryhinge::detail {

/// Why a statement is answered without a reply of a server.
enum class NoAnswer : std::uint8_t {
  LinkLost,
  DeadlineExceeded,
  ShuttingDown, ///< The shutdown grace ends before the server has replied.
};

/// One attempt to run a statement at a server, from the choice of a link to the answer or the loss of the
/// link. What holds only for that link ends with it.
struct SendAttempt {
  LinkId Link;
  bool StatementSent = false; ///< The statement itself was sent, not only BEGIN.
  /// Set while the statement waits for the lease of the primary of this term.
  std::optional<Term> LeaseTerm;
  TimePoint LeaseRetryAt;
  bool WrappedRead = false; ///< A single read that the proxy wraps in a transaction to get a position.
};

/// A statement in progress, from its arrival to its answer.
struct PendingStatement {
  SessionStatement Statement;
  AccessMode Mode = AccessMode::Read;
  bool Commit = false;
  DatabaseRoute Route; ///< As of the start of the statement or its transaction.
  /// Whose links it runs on; empty if the route needs no key.
  WorkspaceId Workspace;
  bool AwaitingToken = false; ///< Waits for a token of the workspace's quota.
  TimePoint ArrivedAt;
  TimePoint Deadline;
  TimePoint LatestStart; ///< While it waits for a link: not sent after this time, since it could not finish.
  TimePoint RetryAt;     ///< Not sent before this time.
  bool RetryPending = false; ///< Has a timer of its own at RetryAt.
  int SendCount = 0;         ///< Number of times it was sent to a server.
  std::set<TargetId> Avoid;
  std::optional<Rejection> RetriedAfter; ///< Why it was last sent again.
  bool ExchangeTried = false; ///< No other proxy supplied a log position, so the primary is used instead.
  bool PrimaryOnly = false;   ///< Replicas are no longer considered.

  std::optional<SendAttempt> Attempt; ///< Set while a server processes it.

  // Of the present attempt, or of the last one.
  TargetId Target;
  TimePoint SentAt;
  std::optional<Position> After;
};

/// A transaction, from BEGIN to the answer to the statement that ends it. It holds a server connection from
/// its first read, write or commit on.
struct Transaction {
  DatabaseRoute Route;
  WorkspaceId Workspace; ///< Of the key at BEGIN; empty if the route needs no key.
  bool Admitted = false; ///< It has its token of the workspace's quota.
  bool ReadOnly = false;
  TimePoint BeganAt;
  TimePoint IdleSince; ///< When its last statement was answered.
  std::optional<LinkId> Link;
  bool Begun = false;             ///< The server answered BEGIN with success.
  bool StatementAnswered = false; ///< At least one of its statements was answered.
  bool Wrote = false;
  bool Failed = false;                                ///< Rolled back: only COMMIT or ROLLBACK is accepted.
  std::optional<StatementRejection> PendingRejection; ///< Reported to the caller with the next statement.
};

struct Session {
  std::string Database;
  KeyDigest Key;
  SessionValues Values;
  std::map<std::string, PreparedShape> Prepared;
  std::size_t StateBytes = 0; ///< Of its values and prepared statements.
  /// Log position of the session's last acknowledged commit at each service.
  std::map<DatabaseId, Position> WrittenUpTo;
  std::set<DatabaseId> WrittenAtUnknownPosition; ///< Services that acknowledged a commit without a position.
  std::optional<detail::Transaction> Transaction;
  std::optional<PendingStatement> Current;
  std::deque<SessionStatement> Queued; ///< Received while an earlier statement was in progress.
  std::optional<TimePoint> TimerAt;
  bool ReceivedStatement = false; ///< Whether a statement was received.
  TimePoint IdleSince;            ///< Idle since: when it was opened or last answered.
  /// Whether an answer to the last statement ends an operation: it is not one that only prepares the session
  /// for the next statement.
  bool LastEndsOperation = false;
};

/// Refusal of a statement that a leaving proxy has not sent to a server.
[[nodiscard]] inline StatementRejection shuttingDown() {
  return {Rejection::Busy, "the proxy is shutting down; retry at another one"};
}
/// Refusal of a caller whose key belongs to no workspace.
[[nodiscard]] inline StatementRejection unknownKey() {
  return {Rejection::Unauthorized, "the key is not known"};
}
/// Whether the statement, or the transaction that it belongs to, only reads.
[[nodiscard]] inline bool isRead(const Session &session, const PendingStatement &work) {
  return session.Transaction ? session.Transaction->ReadOnly : work.Mode == AccessMode::Read;
}
/// The time to which the consistency of a read refers: its arrival, or the start of its transaction.
[[nodiscard]] inline TimePoint readTime(const Session &session, const PendingStatement &work) {
  return session.Transaction ? session.Transaction->BeganAt : work.ArrivedAt;
}
/// When the statement is given up: earlier while it waits for a link than when a server works on it.
[[nodiscard]] inline TimePoint giveUpTime(const Session &session, const PendingStatement &work) {
  const bool waits = !work.Attempt && !(session.Transaction && session.Transaction->Link);
  return waits ? work.LatestStart : work.Deadline;
}

} // namespace rosemaryhinge::detail
