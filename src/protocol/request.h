// Requests of callers and the answers to them.

#pragma once

#include "base/id.h"
#include "base/position.h"
#include "base/reason.h"
#include "base/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace rosemaryhinge {

/// What a request does to an interactive transaction.
enum class TransactionStep : std::uint8_t {
  None,      ///< The request is a whole transaction by itself.
  Begin,     ///< Opens a transaction; the answer carries its id.
  Statement, ///< Runs statements inside it.
  Commit,
  Rollback,
};

struct CallerRequest {
  RequestId Id;
  CallerId Caller; ///< Unit of fair sharing: the caller's session or address.
  DatabaseId Database;
  ClassName Class;
  std::vector<std::string> Statements; ///< All in one transaction.
  bool ReadOnly = false;
  std::optional<Position> Session;      ///< From a verified session token.
  std::optional<Duration> MaxStaleness; ///< Accepted age of the data; none asks for read-your-writes only.
  std::string IdempotencyKey;           ///< Empty if the caller gave none.
  TimePoint Deadline;
  TransactionStep Step = TransactionStep::None;
  TransactionId Transaction;
};

struct StatementResult {
  std::vector<std::string> Columns;
  std::vector<std::vector<std::optional<std::string>>> Rows;
  std::uint64_t Affected = 0;

  bool operator==(const StatementResult &) const = default;
};

struct Success {
  std::vector<StatementResult> Results;
  std::optional<Position> Session; ///< What the caller's next token holds.
  TargetId ServedBy;
  bool ServedByReplica = false;
  bool Replayed = false; ///< The recorded answer of an earlier execution with the same idempotency key.
  TransactionId Transaction;
};

struct Refusal {
  RefusalReason Reason = RefusalReason::BadRequest;
  rosemaryhinge::Ran Ran = rosemaryhinge::Ran::NotRun;
  std::optional<Duration> RetryAfter;
  std::string Message;
};

using Answer = std::variant<Success, Refusal>;

} // namespace rosemaryhinge
