// What passes between the decision logic and the database servers.

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

/// State of a server as it reports it.
struct TargetStatus {
  TargetRole Role = TargetRole::Replica;
  Term RaisedTerm = 0; ///< The server refuses log and promotions of lower terms.
  Position Log;        ///< End of the log: term of its last entry and position.
  /// For a replica: how long it has received nothing from the primary. Zero on a primary.
  Duration SincePrimary{};
  bool Leaving = false;
  std::vector<TermStart> History; ///< Recent terms, oldest first.
};

/// Identifies one attempt to run a write. Recorded in the same transaction as the write.
struct Marker {
  std::string Key;
  std::uint64_t Attempt = 0;

  bool operator==(const Marker &) const = default;
};

/// What the marker table says about a key.
struct MarkerRecord {
  bool Done = false; ///< True: the write with this key took effect. False: it is aborted for good.
  std::uint64_t Attempt = 0;
  std::optional<std::vector<StatementResult>> Results; ///< None if the recorded answer was too large to keep.
  Position At;                                         ///< End of the log when the record was read.
};

// Requests on a connection of a slot.

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
  std::optional<rosemaryhinge::Marker> Marker; ///< For writes: on whole transactions and on Commit.
};

struct ConnectionOpened {
  ConnectionId Connection;
};

/// The connection could not be opened, or ended. Executions on it that have not finished have an unknown
/// outcome.
struct ConnectionClosed {
  ConnectionId Connection;
  std::string Why;
};

struct ExecutionDone {
  std::vector<StatementResult> Results;
  /// For a read: the position of its snapshot. For a write: the end of its commit.
  Position At;
  TargetRole Role = TargetRole::Replica;
};

/// The statement failed in the database and its transaction had no effect.
struct ExecutionFailed {
  std::string SqlState;
  std::string Message;
};

/// Nothing ran because the key is already in the marker table.
struct MarkerConflict {
  MarkerRecord Record;
};

/// Nothing ran because the server is not a primary, or a later term was raised on it.
struct NotPrimary {
  Term RaisedTerm = 0;
};

struct ExecutionFinished {
  ConnectionId Connection;
  ExecutionId Execution;
  std::variant<ExecutionDone, ExecutionFailed, MarkerConflict, NotPrimary> Result;
};

// Control calls, on connections that the adapter keeps for itself and that do not count towards slots.

/// Reads the status. With WaitFor, answers once the log has reached it in its term, or at the timeout.
struct QueryStatus {
  std::optional<Position> WaitFor;
};
/// Raises the term. The server then takes no log, write or promotion of a lower term.
struct RaiseTerm {
  rosemaryhinge::Term Term = 0;
};
/// Makes the server primary of Term. Refused if a higher term was raised on it.
struct Promote {
  rosemaryhinge::Term Term = 0;
};
/// Ends all connections of lower generations of the slot and refuses them from now on.
struct ClaimSlot {
  std::uint32_t Slot = 0;
  std::uint64_t Generation = 0;
};
/// Records that the attempt is aborted, unless the key is done. Answered with what the table then says.
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
