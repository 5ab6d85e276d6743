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
  AwaitingPrimary, ///< The group has no primary that takes work.
  Delayed,         ///< Waits for its turn after a change of primary, or for its next try.
  AwaitingReplica, ///< Waits for a replica to reach the session token.
  Running,         ///< Execution is on Connection.
  Confirming,      ///< Pending is known; Write must be covered and within the window.
  Resolving,       ///< The answer was lost; the marker table is asked.
  Forwarded,       ///< At proxy Peer.
};

struct Flight {
  std::uint64_t Id = 0; ///< Within this proxy.
  CallerRequest Request;
  std::optional<NodeId> Origin; ///< Proxy that forwarded it; none if the caller is ours.
  RequestId OriginRequestId;    ///< Its id there.
  std::uint32_t Hops = 0;
  detail::Phase Phase = Phase::Delayed;
  TimePoint ArrivedAt;
  TimePoint WakeAt; ///< Entry in the timers.

  TargetId Target;
  ConnectionId Connection; ///< Set exactly in phase Running.
  ExecutionId Execution;   ///< Set exactly in phase Running.
  TimePoint SentAt;        ///< Of the latest execution.
  std::uint64_t Attempt = 1;
  bool MayHaveEffect = false;    ///< It may have an effect at a target or another proxy, as far as is known.
  bool PrimaryOnly = false;      ///< A replica's answer was too old.
  bool WaitedForReplica = false; ///< It has waited for a replica once.
  bool PrimaryBehindSession = false; ///< The primary did not cover the session token either.

  Success PendingAnswer;
  UnconfirmedWrite Write;
  std::optional<MarkerRecord> Record; ///< What the marker table said; Write is where it was read.
  Term MinTerm = 0;                   ///< The marker table of an earlier term does not count.
  std::uint64_t MarkerCall = 0;       ///< Latest call to the marker table.
  TimePoint ConfirmationStartedAt;
  std::optional<TimePoint> WindowQueriedAt; ///< When the servers were last asked to confirm the term.

  NodeId Peer;
  RequestId ForwardId;
  std::vector<NodeId> Excluded; ///< Proxies that failed this request.

  /// A step inside a transaction that is already open.
  [[nodiscard]] bool inTransaction() const { return interactive() && Request.Step != TransactionStep::Begin; }
  [[nodiscard]] bool interactive() const { return Request.Step != TransactionStep::None; }
  /// Whether running it may change data. Statements of an interactive transaction do so only at its commit.
  [[nodiscard]] bool hasEffects() const {
    return !Request.ReadOnly &&
           (Request.Step == TransactionStep::Commit || Request.Step == TransactionStep::None);
  }
};

} // namespace rosemaryhinge::detail
