// Names of refusal and retry reasons.

#include "base/reason.h"

namespace rosemaryhinge {

namespace {

constexpr std::array<std::string_view, RefusalReasonCount> RefusalNames = {
    "bad_request",
    "bad_session_token",
    "unknown_database",
    "unknown_transaction",
    "overloaded",
    "deadline_exceeded",
    "no_primary",
    "no_target",
    "session_write_lost",
    "session_ahead",
    "outcome_unknown",
    "lost_answer",
    "duplicate_in_progress",
    "transaction_lost",
    "sql_error",
    "shutting_down",
    "not_ready",
    "store_unavailable",
    "peer_unreachable",
    "invariant_broken",
};

constexpr std::array<std::string_view, RetryReasonCount> RetryNames = {
    "connection_lost", "stale_replica",  "target_changed", "term_changed",
    "peer_lost",       "store_conflict", "store_failure",  "marker_aborted",
};

} // namespace

std::string_view toString(Ran ran) {
  switch (ran) {
  case Ran::NotRun:
    return "not_run";
  case Ran::Ran:
    return "ran";
  case Ran::Unknown:
    break;
  }
  return "unknown";
}

std::string_view toString(RefusalReason reason) { return RefusalNames.at(static_cast<std::size_t>(reason)); }

std::string_view toString(RetryReason reason) { return RetryNames.at(static_cast<std::size_t>(reason)); }

} // namespace rosemaryhinge
