// State of the request module between events.

#pragma once

#include "acknowledge/termconfirmations.h"
#include "admission/admission.h"
#include "groups/group.h"
#include "request/internal/flight.h"
#include "request/internal/transaction.h"
#include "request/requestoptions.h"
#include "routing/lagtable.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

namespace rosemaryhinge::detail {

/// A control call to a server that has not been answered yet.
struct PendingCall {
  std::uint64_t Flight = 0;
  TargetId Target;
  TimePoint SentAt;
};

/// State of a group when its flights were last checked against it.
struct GroupSnapshot {
  rosemaryhinge::Term Term = 0;
  Group::Phase State = Group::Phase::Done;
  TargetId Primary;
  bool AcceptsNewWork = true; ///< The primary is not leaving.

  bool operator==(const GroupSnapshot &) const = default;
};

/// A database with flights or transactions.
struct DatabaseUse {
  std::size_t Count = 0;           ///< Flights and transactions.
  std::size_t AwaitingPrimary = 0; ///< Flights in phase AwaitingPrimary; limited to QueueLimit.
  GroupSnapshot Snapshot;
};

/// User of a connection: a flight, or an open transaction, which keeps it between statements too.
struct ConnectionUse {
  std::uint64_t Flight = 0;
  TransactionId Transaction;
};

struct RequestState {
  explicit RequestState(RequestOptions options) : Options(options), Queue(options.Queue) {}

  RequestOptions Options;
  TimePoint NextLogTime; ///< Earliest time of the next log line about a single request; limits their rate.
  std::unordered_map<std::uint64_t, Flight> Flights;
  std::unordered_map<RequestId, std::uint64_t> OwnRequests; ///< Flights by the request id of their caller.
  /// Flights by the sending proxy and its request id.
  std::map<std::pair<NodeId, RequestId>, std::uint64_t> RequestsFromPeers;
  /// Answered requests of other proxies and their expiry. A duplicate that arrives before then is dropped.
  std::map<std::pair<NodeId, RequestId>, TimePoint> Answered;
  std::deque<std::pair<TimePoint, std::pair<NodeId, RequestId>>> AnsweredOrder; ///< Oldest answer first.
  std::unordered_map<RequestId, std::uint64_t> ForwardedToPeers; ///< Flights by their ForwardId.
  std::unordered_map<ExecutionId, std::uint64_t> Executions;     ///< Exactly the flights in phase Running.
  std::unordered_map<ConnectionId, ConnectionUse> Connections;   ///< Connections acquired by this module.
  std::unordered_map<std::string, std::uint64_t> MarkerKeys;     ///< Flights by marker key.
  std::map<std::uint64_t, PendingCall> PendingCalls; ///< By call number, which increases over time.
  std::map<TransactionId, Transaction> Transactions;
  std::set<std::pair<TimePoint, std::uint64_t>> Timers;               ///< One entry per flight, at WakeAt.
  std::set<std::pair<TimePoint, TransactionId>> TransactionDeadlines; ///< One entry per transaction.
  std::map<DatabaseId, DatabaseUse> DatabasesInUse; ///< Entries are erased when Count drops to 0.
  LagTable Lags;
  TermConfirmations Confirmations;
  Admission Queue;
  std::map<DatabaseId, Duration> MeanCoverageTime; ///< Mean time from a commit to its acknowledgement.
};

} // namespace rosemaryhinge::detail
