// Calls to the database servers and their answers.

#pragma once

#include "base/id.h"
#include "base/position.h"
#include "base/time.h"
#include "protocol/callid.h"
#include "protocol/request.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace rosemaryhinge {

enum class TargetRole : std::uint8_t { Primary, Replica };

/// Server status as reported by the server itself.
struct TargetStatus {
  TargetRole Role = TargetRole::Replica;
  Term RaisedTerm = 0; ///< The server rejects log entries and promotions of lower terms.
  Position Log;        ///< End of the log: term and position of the last entry.
  /// On a replica: time since it last received anything from the primary. Zero on a primary.
  Duration SincePrimary{};
  bool Leaving = false;
  std::vector<TermStart> History; ///< Recent terms, oldest first.
  bool Paused = false; ///< A replica that receives nothing until it is resumed or a server promoted.
};

/// Identifies one attempt to execute a write. Stored in the same transaction as the write.
struct Marker {
  std::string Key;
  std::uint64_t Attempt = 0;

  bool operator==(const Marker &) const = default;
};

/// Entry of the marker table for a key.
struct MarkerRecord {
  bool Done = false; ///< True if the write with this key was committed; false if it is permanently aborted.
  std::uint64_t Attempt = 0;
  std::optional<std::vector<StatementResult>> Results; ///< Empty if the answer was too large to store.
  Position At;                                         ///< End of the log when the record was read.
};

// Requests on a slot connection.

struct OpenConnection {
  ConnectionId Connection;
  TargetId Target;
  std::uint32_t Slot = 0;
  std::uint64_t Generation = 0;
};

struct CloseConnection {
  ConnectionId Connection;
};

struct Execute {
  ConnectionId Connection;
  ExecutionId Execution;
  std::vector<std::string> Statements;
  bool ReadOnly = false;
  TransactionStep Step = TransactionStep::None;
  std::optional<rosemaryhinge::Marker> Marker; ///< For writes: set for complete transactions and for Commit.
};

struct ConnectionOpened {
  ConnectionId Connection;
};

/// The connection could not be opened or was closed. The outcome of unfinished executions on it is unknown.
struct ConnectionClosed {
  ConnectionId Connection;
  std::string Why;
};

struct ExecutionDone {
  std::vector<StatementResult> Results;
  /// For a read: the log position of its snapshot. For a write: the log position at the end of its commit.
  Position At;
  TargetRole Role = TargetRole::Replica;
};

/// The statement failed in the database and its transaction had no effect.
struct ExecutionFailed {
  std::string SqlState;
  std::string Message;
};

/// Nothing was executed because the marker table already contains the key.
struct MarkerConflict {
  MarkerRecord Record;
};

/// Nothing was executed because the server is not a primary or has been raised to a later term.
struct NotPrimary {
  Term RaisedTerm = 0;
};

struct ExecutionFinished {
  ConnectionId Connection;
  ExecutionId Execution;
  std::variant<ExecutionDone, ExecutionFailed, MarkerConflict, NotPrimary> Result;
};

// Control calls. They use separate connections of the adapter, which do not count towards slots.

/// Queries the status. With WaitFor, the answer is sent once the log has reached that position in its term,
/// or at the timeout.
struct QueryStatus {
  std::optional<Position> WaitFor;
};
/// Raises the server's term. The server then rejects log entries, writes and promotions of lower terms.
struct RaiseTerm {
  rosemaryhinge::Term Term = 0;
};
/// Makes the server primary of Term. Refused if the server has been raised to a higher term.
struct Promote {
  rosemaryhinge::Term Term = 0;
};
/// Closes the slot's connections of lower generations and refuses new ones from then on.
struct ClaimSlot {
  std::uint32_t Slot = 0;
  std::uint64_t Generation = 0;
};
/// Records the attempt as aborted, unless the write with this key is done. Answered with the resulting
/// MarkerRecord.
struct AbortMarker {
  rosemaryhinge::Marker Marker;
};

using ControlRequest = std::variant<QueryStatus, RaiseTerm, Promote, ClaimSlot, AbortMarker>;

struct ControlCall {
  CallId Call;
  TargetId Target;
  Duration Timeout{};
  ControlRequest Request;
};

enum class ControlError : std::uint8_t { Unreachable, Timeout, Refused };

struct ControlFailure {
  ControlError Error = ControlError::Unreachable;
  std::string Message;
};

struct ControlAnswer {
  CallId Call;
  TargetId Target;
  std::variant<TargetStatus, MarkerRecord, ControlFailure> Result;
};

} // namespace rosemaryhinge
