// Messages between proxies for loans: one proxy lends a server connection to another for one transaction.

#pragma once

#include "base/id.h"
#include "base/time.h"
#include "protocol/link.h"
#include "protocol/session.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace rosemaryhinge {

/// Identifies a loan of one borrower. The incarnation changes when the borrower restarts, so that messages
/// for loans of its previous process are not mistaken for its own.
struct LoanId {
  std::uint64_t Incarnation = 0;
  std::uint64_t Number = 0;
  auto operator<=>(const LoanId &) const = default;
};

/// Asks the receiver to lend a connection to a server.
struct LoanRequest {
  LoanId Loan;
  TargetId Target;
  std::uint32_t Priority = 0; ///< Of the waiting work; 0 is the highest.
  WorkspaceId Workspace{};    ///< Whose statements the connection is to run; empty if none.
};
/// The lender has no free connection and has queued the request. A LoanGrant or LoanEnd follows.
struct LoanQueued {
  LoanId Loan;
};
/// Grants the connection to the borrower until either side ends the loan.
struct LoanGrant {
  LoanId Loan;
};
/// Commands to run on a lent connection, on which the lender first sets up the session values and the
/// prepared statement. Only statements and the start and end of transactions are allowed. Each command is
/// answered with one LoanReply, in order.
struct LoanCommands {
  LoanId Loan;
  SessionValues Values;
  std::optional<PreparedShape> Shape; ///< Shape of the prepared statement that the commands execute, if any.
  std::vector<LinkCommand> Commands;
};
struct LoanReply {
  LoanId Loan;
  StatementOutcome Outcome;
  TransactionState State = TransactionState::Idle;
  std::optional<Position> At;
};

enum class LoanEndReason : std::uint8_t {
  Returned, ///< By the borrower: the lender rolls back any open transaction.
  Doubtful, ///< By the borrower: a command was not answered; the lender closes the connection.
  Lost,     ///< By the lender: the server connection was closed.
  Silent,   ///< By the lender, before a grant: the server does not answer.
  Refused,  ///< By the lender, before a grant: it is leaving, does not know the server, or has too many
            ///< requests.
};
inline constexpr std::size_t LoanEndReasonCount = 5;
[[nodiscard]] std::string_view toString(LoanEndReason why);

struct LoanEnd {
  LoanId Loan;
  LoanEndReason Why = LoanEndReason::Returned;
};

} // namespace rosemaryhinge
