// The side of a proxy whose sessions need tokens: asks the holder of its zone for the operations that wait.

#pragma once

#include "catalog/catalog.h"
#include "positions/fleetmap.h"
#include "protocol/context.h"
#include "protocol/session.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace rosemaryhinge {

/// Whether the operation of a session may start.
struct QuotaDecision {
  enum class Result : std::uint8_t {
    Granted,
    OverLimit,
    Unavailable, ///< No holder answered: whether the operation fits is not known.
  };

  SessionId Session;
  Result Outcome = Result::Granted;
  Duration RetryAfter{}; ///< Unless it was granted.
};

namespace detail {

class QuotaClient {
public:
  /// A message to a proxy, which may be this one.
  using Request = std::pair<NodeId, QuotaRequest>;

  void request(const WorkspaceId &workspace, SessionId session, TimePoint now);
  void cancel(SessionId session);
  void onReply(Context &ctx, const FleetMap &fleet, const NodeId &from, const QuotaReply &reply);
  void onPeerLost(Context &ctx, const NodeId &node);
  void onTimer(Context &ctx);
  /// The requests that are due. Each is to be passed on.
  [[nodiscard]] std::vector<Request> takeRequests(Context &ctx, const FleetMap &fleet);
  [[nodiscard]] std::vector<QuotaDecision> takeDecisions() { return std::exchange(Decisions, {}); }
  [[nodiscard]] std::optional<TimePoint> nextTimer() const;

  /// Longest wait of an operation for its token.
  static constexpr Duration MaxWait = 600ms;
  static constexpr Duration NearTimeout = 150ms;
  static constexpr Duration FarTimeout = 300ms;
  static constexpr Duration SilentBackoff = 1s;
  /// An operation that is to fit within this time, counted from its arrival, waits for it.
  static constexpr Duration MaxHold = 120ms;
  /// Pause after a refusal before the holder is asked about the workspace again. What arrives meanwhile
  /// waits: the longest pause is short for a caller that is refused after it.
  static constexpr Duration MinRefusalPause = 50ms;
  static constexpr Duration MaxRefusalPause = 100ms;
  /// Proxies of the own zone that are asked, in rendezvous order.
  static constexpr std::size_t NearCandidates = 3;

private:
  struct Waiter {
    SessionId Session;
    TimePoint Since;
  };
  struct Asked {
    NodeId To;
    std::uint64_t Number = 0;
    std::uint32_t Operations = 0;
    TimePoint Until;
  };
  struct Queue {
    std::deque<Waiter> Waiters; ///< The first Asked.Operations of them are asked for.
    std::optional<Asked> Pending;
    std::set<NodeId> Tried; ///< Without success since the last answer of a holder.
    NodeId Named;           ///< Holder that the last proxy which was none has named; empty if it has not.
    TimePoint AskAt;        ///< Not before.
  };

  /// Whether a proxy is of this one's availability zone.
  [[nodiscard]] static bool isNear(const Context &ctx, const FleetMap &fleet, const NodeId &node);
  void decide(Queue &queue, std::size_t count, QuotaDecision::Result outcome, Duration retryAfter);
  void onNoAnswer(Queue &queue, TimePoint now);
  [[nodiscard]] std::optional<NodeId> candidate(const Context &ctx, const FleetMap &fleet,
                                                const Queue &queue) const;

  std::map<WorkspaceId, Queue> Queues;
  std::map<SessionId, WorkspaceId> WorkspaceOf; ///< Of the sessions that wait.
  std::map<NodeId, TimePoint> BackoffUntil;     ///< Proxies that did not answer.
  NodeId KnownHolder;                           ///< Of the own zone; empty if it is not known.
  std::vector<QuotaDecision> Decisions;
};

} // namespace detail
} // namespace rosemaryhinge
