// Caller requests and their answers.

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

/// Role of a request within an interactive transaction.
enum class TransactionStep : std::uint8_t {
  None,      ///< The request is a complete transaction.
  Begin,     ///< Opens a transaction; the answer contains its id.
  Statement, ///< Runs statements in the open transaction.
  Commit,
  Rollback,
};

struct CallerRequest {
  RequestId Id;
  CallerId Caller; ///< Unit of fair queueing: the caller's session or address.
  DatabaseId Database;
  ClassName Class;
  std::vector<std::string> Statements; ///< Run in a single transaction.
  bool ReadOnly = false;
  std::optional<Position> Session; ///< From a verified session token.
  /// Accepted age of the data; without it, only read-your-writes is required.
  std::optional<Duration> MaxStaleness;
  std::string IdempotencyKey; ///< Empty if the caller gave none.
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
  std::optional<Position> Session; ///< Position for the caller's next session token.
  TargetId ServedBy;
  bool ServedByReplica = false;
  bool Replayed = false; ///< Recorded answer of an earlier execution with the same idempotency key.
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
