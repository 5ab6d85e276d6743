// Reasons for refusals and retries. Each has a counter and a line in docs/OPERATIONS.md.

#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace rosemaryhinge {

/// Whether a refused request was executed.
enum class Ran : std::uint8_t { NotRun, Ran, Unknown };

enum class RefusalReason : std::uint8_t {
  BadRequest,
  BadSessionToken,
  UnknownDatabase,
  UnknownTransaction,
  Overloaded,
  DeadlineExceeded,
  NoPrimary,
  NoTarget,
  SessionWriteLost,
  SessionAhead,
  OutcomeUnknown,
  LostAnswer,
  DuplicateInProgress,
  TransactionLost,
  SqlError,
  ShuttingDown,
  NotReady,
  StoreUnavailable,
  PeerUnreachable,
  InvariantBroken,
};
inline constexpr std::size_t RefusalReasonCount = 20;

enum class RetryReason : std::uint8_t {
  ConnectionLost,
  StaleReplica,
  TargetChanged,
  TermChanged,
  PeerLost,
  StoreConflict,
  StoreFailure,
  MarkerAborted,
};
inline constexpr std::size_t RetryReasonCount = 8;

/// Names used in answers, metrics and logs.
[[nodiscard]] std::string_view toString(Ran ran);
[[nodiscard]] std::string_view toString(RefusalReason reason);
[[nodiscard]] std::string_view toString(RetryReason reason);

} // namespace rosemaryhinge
