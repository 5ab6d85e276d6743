// The life cycle of requests, for the length of one event. Each part has its own file beside this one.

#pragma once

#include "base/overloaded.h"
#include "protocol/event.h"
#include "request/internal/state.h"
#include "request/services.h"
#include "routing/choosetarget.h"

namespace rosemaryhinge::detail {

/// Pause before a server is asked again that could not answer: no primary, or not yet at the token.
constexpr Duration AskAgainAfter = 50ms;

class Engine {
public:
  Engine(Context &ctx, Services &services, RequestState &state) : Ctx(ctx), Svc(services), St(state) {}

  // arrive.cpp: requests of callers and of other proxies.
  void arrive(const CallerRequest &request);
  void arriveForwarded(const NodeId &from, const ForwardRequest &message);
  void callerGone(RequestId id);

  // forward.cpp: requests that another proxy runs for us.
  void forwardAnswered(const NodeId &from, const ForwardAnswer &message);
  void peerLost(const NodeId &node);

  // execute.cpp: executions on connections.
  void executionFinished(const ExecutionFinished &event);
  void connectionClosed(const ConnectionClosed &event);

  // confirm.cpp: coverage and window. resolve.cpp: lost answers.
  void controlAnswered(const ControlAnswer &event);

  // dispatch.cpp: routing and queues.
  void checkGroups();
  void pumpAll();

  // timers.cpp
  void timers();
  // transactions.cpp
  void endLongTransactions();

private:
  // arrive.cpp
  [[nodiscard]] std::optional<Refusal> findFault(const CallerRequest &request) const;
  Flight &addFlight(CallerRequest request);
  void begin(Flight &flight);

  // dispatch.cpp
  void dispatch(Flight &flight);
  void enqueue(Flight &flight, const TargetId &target);
  void park(Flight &flight);
  void awaitReplica(Flight &flight, const WaitForReplica &route);
  void replicaWaitOver(Flight &flight);
  void pump(const TargetId &target);
  void groupChanged(const GroupView &view, const GroupMark &old);
  void release(const GroupView &view);
  [[nodiscard]] ReadRequirement readRequirementOf(const Flight &flight) const;

  // forward.cpp
  void forward(Flight &flight, const NodeId &node);
  void holderLost(Flight &flight);
  void checkHolder(Flight &flight);
  void retryElsewhere(Flight &flight, RetryReason reason, Refusal refusal);

  // execute.cpp
  void execute(Flight &flight, ConnectionId connection);
  void send(Flight &flight);
  bool bindConnection(Flight &flight, ConnectionId connection);
  void leaveConnection(Flight &flight, bool doubtful, bool measured);
  void done(Flight &flight, const ExecutionDone &result);
  void readDone(Flight &flight, const ExecutionDone &result);
  void failed(Flight &flight, const ExecutionFailed &result);
  void conflicted(Flight &flight, const MarkerConflict &result);
  void notPrimary(Flight &flight, const NotPrimary &result);
  void lostAnswer(Flight &flight, RetryReason reason);

  // confirm.cpp
  void confirm(Flight &flight, Position at, const TargetId &executor, AckStrength strength);
  void checkConfirmed(Flight &flight);
  void askReplicas(Flight &flight);
  void callFailed(const PendingCall &call, std::uint64_t number);
  void statusAnswered(const PendingCall &call, const TargetStatus &status);
  void confirmed(Flight &flight);

  // resolve.cpp
  void resolve(Flight &flight, Term minTerm);
  void askMarker(Flight &flight);
  void markerAnswered(const PendingCall &call, std::uint64_t number, const MarkerRecord &record);
  void conclude(Flight &flight);

  // transactions.cpp
  void stepInTransaction(Flight &flight);
  void opened(Flight &flight);
  void statementDone(Flight &flight, const ExecutionDone &result);
  void endTransaction(const TransactionId &id, bool doubtful);
  void loseTransaction(const TransactionId &id, const std::string &why);
  [[nodiscard]] bool reservesConnection() const { return Ctx.Rules.TransactionIsolation; }

  // timers.cpp
  void wake(Flight &flight);
  void expire(Flight &flight);
  void wakeAt(Flight &flight, TimePoint at);

  // finish.cpp
  void use(const DatabaseId &database);
  void unuse(const DatabaseId &database);
  void countRetry(const Flight &flight, RetryReason reason);
  /// Counted by the journal for the report, per database and class.
  void recordReason(const char *kind, const Flight &flight, std::string_view reason);
  void rememberAnswered(const Flight &flight);
  void finish(Flight &flight, Answer answer);
  void refuse(Flight &flight, RefusalReason reason, std::string message,
              std::optional<Duration> retryAfter = std::nullopt);
  void refuseAs(Flight &flight, RefusalReason reason, Ran ran, std::string message,
                std::optional<Duration> retryAfter = std::nullopt);
  void logUnknown(const Flight &flight, std::string_view reason);
  void broken(Flight &flight, const char *invariant, std::string detail);
  bool takeRetry(Flight &flight, RetryReason reason);
  void unmatched();

  [[nodiscard]] const GroupView &viewOf(const Flight &flight) const;
  [[nodiscard]] const DatabasePolicy &policyOf(const Flight &flight) const;
  [[nodiscard]] const ClassPolicy &classOf(const Flight &flight) const;
  [[nodiscard]] Flight *find(std::uint64_t id);
  [[nodiscard]] std::vector<std::uint64_t> flightsOf(const DatabaseId &database) const;
  [[nodiscard]] GroupMark markOf(const GroupView &view) const;
  [[nodiscard]] CallId call(Module owner, const Flight &flight, const TargetId &target);
  [[nodiscard]] RouteServices routesFor(const Flight &flight);
  [[nodiscard]] AdmissionRequest workOf(const Flight &flight);

  Context &Ctx;
  Services &Svc;
  RequestState &St;
};

} // namespace rosemaryhinge::detail
