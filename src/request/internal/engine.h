// Request processing. An Engine is created for each event and works on the RequestState, which outlives it.
// The member functions are grouped by the source file that defines them.

#pragma once

#include "base/overloaded.h"
#include "protocol/event.h"
#include "request/internal/state.h"
#include "request/services.h"
#include "routing/choosetarget.h"

namespace rosemaryhinge::detail {

/// Delay before a server is asked again after it could not answer: the group has no primary, or the server
/// has not reached the session token.
constexpr Duration ServerRetryInterval = 50ms;

class Engine {
public:
  Engine(Context &ctx, Services &services, RequestState &state) : Ctx(ctx), Svc(services), State(state) {}

  // arrive.cpp: requests of callers and of other proxies.
  void acceptRequest(const CallerRequest &request);
  void acceptForwardedRequest(const NodeId &from, const ForwardRequest &message);
  void handleCallerDisconnected(RequestId id);

  // forward.cpp: requests forwarded to another proxy.
  void handleForwardAnswer(const NodeId &from, const ForwardAnswer &message);
  void handlePeerLost(const NodeId &node);

  // execute.cpp: executions on connections.
  void handleExecutionFinished(const ExecutionFinished &event);
  void handleConnectionClosed(const ConnectionClosed &event);

  // confirm.cpp: replica coverage and acknowledgement window. resolve.cpp: outcome of requests whose answer
  // was lost.
  void handleControlAnswer(const ControlAnswer &event);

  // dispatch.cpp: routing and queues.
  void checkGroups();
  void startAllQueued();

  // timers.cpp
  void processTimers();
  // transactions.cpp
  void shortenTransactionDeadlines();

private:
  // arrive.cpp
  [[nodiscard]] std::optional<Refusal> validateRequest(const CallerRequest &request) const;
  Flight &addFlight(CallerRequest request);
  void startProcessing(Flight &flight);

  // dispatch.cpp
  void dispatch(Flight &flight);
  void enqueue(Flight &flight, const TargetId &target);
  void awaitPrimary(Flight &flight);
  void awaitReplica(Flight &flight, const WaitForReplica &route);
  void endReplicaWait(Flight &flight);
  void startQueued(const TargetId &target);
  void handleGroupChange(const GroupView &view, const GroupSnapshot &old);
  void releaseWaiting(const GroupView &view);
  [[nodiscard]] ReadRequirement readRequirementOf(const Flight &flight) const;

  // forward.cpp
  void forward(Flight &flight, const NodeId &node);
  void handleHolderLost(Flight &flight);
  void checkHolder(Flight &flight);
  void retryAtOtherProxy(Flight &flight, RetryReason reason, Refusal refusal);

  // execute.cpp
  void execute(Flight &flight, ConnectionId connection);
  void send(Flight &flight);
  bool bindConnection(Flight &flight, ConnectionId connection);
  void releaseConnection(Flight &flight, bool doubtful, bool measured);
  void handleExecutionDone(Flight &flight, const ExecutionDone &result);
  void handleReadDone(Flight &flight, const ExecutionDone &result);
  void handleExecutionFailed(Flight &flight, const ExecutionFailed &result);
  void handleMarkerConflict(Flight &flight, const MarkerConflict &result);
  void handleNotPrimary(Flight &flight, const NotPrimary &result);
  void handleLostAnswer(Flight &flight, RetryReason reason);

  // confirm.cpp
  void startConfirmation(Flight &flight, Position at, const TargetId &executor, AckStrength strength);
  void checkConfirmation(Flight &flight);
  void queryServers(Flight &flight);
  void handleCallFailure(const PendingCall &call, std::uint64_t number);
  void handleStatus(const PendingCall &call, const TargetStatus &status);
  void completeWrite(Flight &flight);

  // resolve.cpp
  void resolveOutcome(Flight &flight, Term minTerm);
  void queryMarker(Flight &flight);
  void handleMarkerRecord(const PendingCall &call, std::uint64_t number, const MarkerRecord &record);
  void applyMarkerRecord(Flight &flight);

  // transactions.cpp
  void runTransactionStep(Flight &flight);
  void handleTransactionOpened(Flight &flight);
  void handleStatementDone(Flight &flight, const ExecutionDone &result);
  void endTransaction(const TransactionId &id, bool doubtful);
  void handleTransactionLost(const TransactionId &id, const std::string &why);
  [[nodiscard]] bool reservesConnection() const { return Ctx.Rules.TransactionIsolation; }

  // timers.cpp
  void wake(Flight &flight);
  void expire(Flight &flight);
  void wakeAt(Flight &flight, TimePoint at);

  // finish.cpp
  void addDatabaseUse(const DatabaseId &database);
  void removeDatabaseUse(const DatabaseId &database);
  void countRetry(const Flight &flight, RetryReason reason);
  /// Writes a journal entry, which the report counts per database and class.
  void recordReason(const char *kind, const Flight &flight, std::string_view reason);
  void recordAnsweredForward(const Flight &flight);
  void finish(Flight &flight, Answer answer);
  void refuse(Flight &flight, RefusalReason reason, std::string message,
              std::optional<Duration> retryAfter = std::nullopt);
  void refuseAs(Flight &flight, RefusalReason reason, Ran ran, std::string message,
                std::optional<Duration> retryAfter = std::nullopt);
  void logUnknownOutcome(const Flight &flight, std::string_view reason);
  void refuseBrokenInvariant(Flight &flight, const char *invariant, std::string detail);
  bool takeRetry(Flight &flight, RetryReason reason);
  void countUnmatchedAnswer();

  [[nodiscard]] const GroupView &viewOf(const Flight &flight) const;
  [[nodiscard]] const DatabasePolicy &policyOf(const Flight &flight) const;
  [[nodiscard]] const ClassPolicy &classOf(const Flight &flight) const;
  [[nodiscard]] Flight *find(std::uint64_t id);
  [[nodiscard]] std::vector<std::uint64_t> flightsOf(const DatabaseId &database) const;
  [[nodiscard]] GroupSnapshot snapshotOf(const GroupView &view) const;
  [[nodiscard]] CallId call(Module owner, const Flight &flight, const TargetId &target);
  [[nodiscard]] RouteServices routesFor(const Flight &flight);
  [[nodiscard]] AdmissionRequest workOf(const Flight &flight);

  Context &Ctx;
  Services &Svc;
  RequestState &State;
};

} // namespace rosemaryhinge::detail
