// A request in flight in this proxy.

#pragma once

#include "acknowledge/acknowledgement.h"
#include "base/id.h"
#include "protocol/request.h"
#include "protocol/target.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace rosemaryhinge::detail {

enum class Phase : std::uint8_t {
  Queued,          ///< In the admission queue of Target.
  AwaitingPrimary, ///< The group has no primary that accepts new work.
  Delayed,         ///< Waits for its paced release after a change of primary, or for its next attempt.
  AwaitingReplica, ///< Waits for a replica to reach the session token.
  Running,         ///< Executes on Connection.
  Confirming,      ///< PendingAnswer is known; Write awaits replica coverage and the window.
  Resolving,       ///< The answer was lost; the marker table is queried for the outcome.
  Forwarded,       ///< Runs at proxy Peer.
};

struct Flight {
  std::uint64_t Id = 0; ///< Unique within this proxy.
  CallerRequest Request;
  std::optional<NodeId> Origin; ///< Proxy that forwarded the request; none if the caller is local.
  RequestId OriginRequestId;    ///< Its id at that proxy.
  std::uint32_t Hops = 0;
  detail::Phase Phase = Phase::Delayed;
  TimePoint ArrivedAt;
  TimePoint WakeAt; ///< Time of its entry in RequestState::Timers.

  TargetId Target;
  ConnectionId Connection; ///< Set exactly in phase Running.
  ExecutionId Execution;   ///< Set exactly in phase Running.
  TimePoint SentAt;        ///< Send time of the latest execution.
  std::uint64_t Attempt = 1;
  /// It was sent to a target or another proxy, and is not known to have had no effect there.
  bool MayHaveEffect = false;
  bool PrimaryOnly = false; ///< A replica's answer was too stale, so only the primary may serve the request.
  bool WaitedForReplica = false;     ///< It has waited for a replica before, and does not wait again.
  bool PrimaryBehindSession = false; ///< The primary had not reached the session token either.

  Success PendingAnswer;
  UnconfirmedWrite Write;
  std::optional<MarkerRecord> Record; ///< Record in the marker table, read at the position in Write.
  Term MinTerm = 0;                   ///< Lowest term whose marker table is valid for this request.
  std::uint64_t MarkerCall = 0;       ///< Number of the latest marker query; 0 if none is awaited.
  TimePoint ConfirmationStartedAt;
  std::optional<TimePoint> WindowQueriedAt; ///< Send time of the latest status queries to check that the term
                                            ///< of Write is still current.

  NodeId Peer;
  RequestId ForwardId;
  std::vector<NodeId> Excluded; ///< Proxies that failed this request or forwarded it.

  /// A step inside a transaction that is already open.
  [[nodiscard]] bool inTransaction() const { return interactive() && Request.Step != TransactionStep::Begin; }
  [[nodiscard]] bool interactive() const { return Request.Step != TransactionStep::None; }
  /// Whether its execution may change data. An interactive transaction changes data only at its commit.
  [[nodiscard]] bool hasEffects() const {
    return !Request.ReadOnly &&
           (Request.Step == TransactionStep::Commit || Request.Step == TransactionStep::None);
  }
};

} // namespace rosemaryhinge::detail
