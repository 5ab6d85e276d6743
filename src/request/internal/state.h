// State of the request module.

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

/// A call to a server whose answer is awaited.
struct PendingCall {
  std::uint64_t Flight = 0;
  TargetId Target;
  TimePoint SentAt;
};

/// Last state of a group that its flights were checked against.
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
  std::size_t AwaitingPrimary = 0; ///< Flights that wait for a primary; bounded by QueueLimit.
  GroupSnapshot Snapshot;
};

/// Who uses a connection: a flight, or a transaction between and during its statements.
struct ConnectionUse {
  std::uint64_t Flight = 0;
  TransactionId Transaction;
};

struct RequestState {
  explicit RequestState(RequestOptions options) : Options(options), Queue(options.Queue) {}

  RequestOptions Options;
  TimePoint NextLogTime; ///< Bounds the rate of log lines about single requests.
  std::unordered_map<std::uint64_t, Flight> Flights;
  std::unordered_map<RequestId, std::uint64_t> OwnRequests;                ///< Requests of callers.
  std::map<std::pair<NodeId, RequestId>, std::uint64_t> RequestsFromPeers; ///< By sender and its id.
  /// Forwarded requests that were answered, until no copy of them is expected any more.
  std::map<std::pair<NodeId, RequestId>, TimePoint> Answered;
  std::deque<std::pair<TimePoint, std::pair<NodeId, RequestId>>> AnsweredOrder; ///< Oldest answer first.
  std::unordered_map<RequestId, std::uint64_t> ForwardedToPeers; ///< By the id that was sent along.
  std::unordered_map<ExecutionId, std::uint64_t> Executions;     ///< Exactly the flights that run.
  std::unordered_map<ConnectionId, ConnectionUse> Connections;   ///< Those given out to this module.
  std::unordered_map<std::string, std::uint64_t> MarkerKeys;     ///< Marker keys in flight here.
  std::map<std::uint64_t, PendingCall> PendingCalls;             ///< By call number, which grows with time.
  std::map<TransactionId, Transaction> Transactions;
  std::set<std::pair<TimePoint, std::uint64_t>> Timers;               ///< One entry per flight, at WakeAt.
  std::set<std::pair<TimePoint, TransactionId>> TransactionDeadlines; ///< One entry per transaction.
  std::map<DatabaseId, DatabaseUse> DatabasesInUse;                   ///< None with a count of 0.
  LagTable Lags;
  TermConfirmations Confirmations;
  Admission Queue;
  std::map<DatabaseId, Duration> MeanCoverageTime; ///< Mean time from a commit to its acknowledgement.
};

} // namespace rosemaryhinge::detail
