// Commands, effects and events for links: connections to database servers that keep session state.

#pragma once

#include "base/id.h"
#include "base/position.h"
#include "protocol/session.h"
#include "protocol/target.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace rosemaryhinge {

/// A prepared statement that a session expects on its server connection.
struct PreparedShape {
  AccessMode Mode = AccessMode::Read;
  std::string Shape;
  auto operator<=>(const PreparedShape &) const = default;
};
using SessionValues = std::map<std::string, std::string>;

/// Identifies a server connection within one proxy. Never reused.
using LinkId = NumberId<struct LinkTag>;

/// Runs a caller's statement with the id and text that the caller sent. A prepared statement is executed
/// under its name on this link.
struct RunStatement {
  std::string StatementId;
  std::variant<std::string, ExecuteStatement> Body;
  std::optional<Position> After; ///< Run only if the server's log has reached this position.
};
struct BeginTransaction {
  bool ReadOnly = false;
  std::optional<Position> After;
};
struct RollbackTransaction {};
struct SetSessionValue {
  std::string Name;
  std::string Value;
};
struct PrepareOnServer {
  std::string Name;
  AccessMode Mode = AccessMode::Read;
  std::string Shape;
};
/// Clears the session values and prepared statements of the connection.
struct DiscardSession {};
struct ReadServerStatus {};
/// Stops a replica from receiving the primary's log. The term must be higher than all earlier ones.
struct PauseReplica {
  rosemaryhinge::Term Term = 0;
};
struct ResumeReplica {};
/// Demotes a primary of a lower term to a replica.
struct StepDownPrimary {
  rosemaryhinge::Term Term = 0;
};

using LinkCommand =
    std::variant<RunStatement, BeginTransaction, RollbackTransaction, SetSessionValue, PrepareOnServer,
                 DiscardSession, ReadServerStatus, PauseReplica, ResumeReplica, StepDownPrimary>;

// Effects.

struct OpenLink {
  LinkId Link;
  TargetId Target; ///< A different server at the address refuses the connection.
  DatabaseId Service;
  std::string Address;
  WorkspaceId Workspace{}; ///< Named to the server; empty for links that belong to no workspace.
};
/// Commands that are sent in a single write. Each is answered with one LinkReplied, in order.
struct SendOnLink {
  LinkId Link;
  std::vector<LinkCommand> Commands;
};
struct CloseLink {
  LinkId Link;
};

// Events.

struct LinkOpened {
  LinkId Link;
};

enum class LinkFailure : std::uint8_t {
  Refused,   ///< No process listens at the address.
  Timeout,   ///< The connection attempt timed out.
  TooMany,   ///< The server has reached its connection limit.
  Misrouted, ///< A different server answers at the address.
  Lost,      ///< The connection was closed or received invalid data.
};
[[nodiscard]] std::string_view toString(LinkFailure why);

/// The link could not be opened or was closed. The outcome of unanswered commands is unknown.
struct LinkClosed {
  LinkId Link;
  LinkFailure Why = LinkFailure::Lost;
};

struct LinkReplied {
  LinkId Link;
  StatementOutcome Outcome;
  TransactionState State = TransactionState::Idle;
  std::optional<Position> At;         ///< Log position up to which reads on this link see commits.
  std::optional<TargetStatus> Status; ///< Only for commands that return the server's status.
};

} // namespace rosemaryhinge
