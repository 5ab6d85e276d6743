// What passes between the decision logic and callers that keep a session on a connection of their own.

#pragma once

#include "base/id.h"
#include "base/position.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace rosemaryhinge {

/// Names one caller connection within one proxy. Never reused.
using SessionId = NumberId<struct SessionTag>;

enum class AccessMode : std::uint8_t { Read, Write };

struct BeginStatement {
  bool ReadOnly = false;
};
struct CommitStatement {};
struct RollbackStatement {};
/// A read or write whose text goes to a server unchanged.
struct DataStatement {
  AccessMode Mode = AccessMode::Read;
};
/// Sets a value of the session.
struct SetStatement {
  std::string Name;
  std::string Value;
};
struct PrepareStatement {
  std::string Name; ///< Chosen by the caller; other sessions may use the same name for another shape.
  AccessMode Mode = AccessMode::Read;
  std::string Shape;
};
struct ExecuteStatement {
  std::string Name;
  std::string Arguments; ///< Everything after the name.
};
struct DeallocateStatement {
  std::string Name;
};
/// Text that is none of the above.
struct MalformedStatement {};

using ParsedStatement =
    std::variant<BeginStatement, CommitStatement, RollbackStatement, DataStatement, SetStatement,
                 PrepareStatement, ExecuteStatement, DeallocateStatement, MalformedStatement>;

struct SessionStatement {
  std::string Id; ///< The caller's name for this statement; unique for each try.
  std::string Text;
  ParsedStatement Parsed;
};

/// State of a session or of a server connection after an answer.
enum class TransactionState : std::uint8_t { Idle, Open, Failed };

/// Why a statement was not answered with success.
enum class Rejection : std::uint8_t {
  Busy,        ///< Not run.
  Aborted,     ///< Nothing of the transaction is kept.
  Lagging,     ///< Not run: the log lacks the position that was asked for.
  ReadOnly,    ///< Not run: the server is no primary.
  Misrouted,   ///< Not run: another server answers at this address.
  TooMany,     ///< Not run: the server has all the connections that it takes.
  NoStatement, ///< Not run: no such prepared statement.
  Failed,      ///< Ran and failed.
  Timeout,
  InDoubt, ///< May have taken effect.
  NoDatabase,
  TooLarge,
  Malformed,
  Unknown, ///< A code that this release does not know.
};
inline constexpr std::size_t RejectionCount = 14;

/// Names as they stand in metrics and logs.
[[nodiscard]] std::string_view toString(Rejection code);

struct StatementResultRows {
  std::vector<std::string> Rows;
  std::string Signature; ///< Proof of the server that ran the statement; "-" if no server did.
};
struct StatementRejection {
  Rejection Code = Rejection::Unknown;
  std::string Message;
};
using StatementOutcome = std::variant<StatementResultRows, StatementRejection>;

// Events.

struct SessionOpened {
  SessionId Session;
  std::string Database;
  std::string Caller;
};
struct StatementArrived {
  SessionId Session;
  SessionStatement Statement;
};
/// The caller closed its connection or took its leave.
struct SessionClosed {
  SessionId Session;
};

// Effects.

/// Accepts the session.
struct AcceptSession {
  SessionId Session;
};
/// Refuses the session and closes its connection.
struct RefuseSession {
  SessionId Session;
  StatementRejection Why;
};
struct AnswerStatement {
  SessionId Session;
  std::string StatementId;
  StatementOutcome Outcome;
  TransactionState State = TransactionState::Idle;
  std::optional<Position> At; ///< Log position that the server gave with its answer.
};
/// Ends a session to which no answer is owed.
struct CloseSession {
  SessionId Session;
};

} // namespace rosemaryhinge
