// Caller sessions: session values, prepared statements and transactions, and the dispatch of each statement
// to a server.
//
// Connections are pooled per transaction: a session holds a server connection only from the first read, write
// or commit of a transaction to its end.

#pragma once

#include "base/bytebudget.h"
#include "catalog/catalog.h"
#include "freshness/commitfence.h"
#include "freshness/positionhistory.h"
#include "freshness/primarylease.h"
#include "lending/lenderchoice.h"
#include "links/linkpool.h"
#include "positions/positionexchange.h"
#include "protocol/context.h"
#include "quota/quotamodule.h"
#include "sessions/internal/session.h"
#include "sessions/internal/waitestimator.h"

#include <map>
#include <set>
#include <tuple>

namespace rosemaryhinge {

/// Modules that the sessions module depends on.
struct SessionServices {
  rosemaryhinge::Catalog &Catalog;
  LinkPool &Links;
  const FleetMap &Fleet;
  PositionExchange &Exchange;
  const LenderChoice &Lenders;
  QuotaModule &Quota;
};

class SessionsModule {
public:
  void onConnected(Context &ctx, const CallerConnected &event);
  void onOpened(Context &ctx, SessionServices &services, const SessionOpened &event);
  void onStatement(Context &ctx, SessionServices &services, const StatementArrived &event);
  void onClosed(Context &ctx, SessionServices &services, const SessionClosed &event);
  void onReply(Context &ctx, SessionServices &services, const LinkPool::Reply &reply,
               const LinkReplied &event);
  void onLinkClosed(Context &ctx, SessionServices &services, const LinkPool::Closed &closed);
  void onTimer(Context &ctx, SessionServices &services);
  void onPositionRequest(Context &ctx, SessionServices &services, const NodeId &from,
                         const PositionRequest &request);
  void onPositionReply(Context &ctx, SessionServices &services, const NodeId &from,
                       const PositionReply &reply);
  void onQuotaDecision(Context &ctx, SessionServices &services, const QuotaDecision &decision);
  /// Retries waiting statements. Called when a server connection becomes idle, a primary is found or the
  /// servers change.
  void onCapacity(Context &ctx, SessionServices &services);

  /// Starts a graceful shutdown: keeps serving until the load balancer sends no more sessions, then closes
  /// each session once it is idle.
  void startLeaving(Context &ctx, SessionServices &services);
  /// During a graceful shutdown: closes the sessions for which an answer has just ended an operation. Called
  /// after each event, so that the caller receives the answer and the end of the connection together.
  void closeAnswered(Context &ctx);
  /// During a graceful shutdown: lets no more callers connect once none is left and the load balancer has had
  /// time to send no new ones, or at the latest when sessions are no longer served.
  /// \param busy Whether the process has to go on for another reason.
  void stopAcceptingIfDrained(Context &ctx, bool busy);
  void onAcceptingStopped();
  /// Whether the graceful shutdown is complete: no caller is connected, and none can connect any more.
  [[nodiscard]] bool isDrained() const;
  [[nodiscard]] std::size_t size() const { return Sessions.size(); }
  [[nodiscard]] std::size_t waiting() const { return WaitingCount; }
  /// Since when commits sent to the primary of a service have gone unanswered. Empty if there is only one
  /// such commit: its answer may have been lost.
  [[nodiscard]] std::optional<TimePoint> writesUnansweredSince(const DatabaseId &service) const;
  /// Records the highest position that another proxy has acknowledged.
  void noteAcknowledged(const DatabaseId &service, Position at);
  /// Log position of the last commit at a service that this proxy, or one that told it, has acknowledged.
  [[nodiscard]] std::optional<Position> acknowledgedUpTo(const DatabaseId &service) const;
  /// What else this proxy knows of commits at a service.
  /// \param former The server whose unanswered commits count; empty for those of all servers.
  [[nodiscard]] UnreportedCommits unreportedCommits(const DatabaseId &service, const TargetId &former) const;
  /// Records the highest position that a server has acknowledged to another proxy.
  void noteServerAcknowledged(const DatabaseId &service, Position at);
  /// The same of each service of which one is known.
  [[nodiscard]] std::map<DatabaseId, Position> acknowledged() const;
  /// Called with each event. After a time without any, during which this process may have been suspended and
  /// not have heard of a fence, commits that were sent before it are not reported.
  void onEvent(Context &ctx);
  /// The fence of a service, which other proxies and changes of primary raise and end.
  [[nodiscard]] CommitFence &commitFence(const DatabaseId &service) { return Services[service].Fence; }
  /// Whether this proxy sends no commit, and reports none that it has sent before: a change of primary that
  /// began before its present registration in the fleet may not ask it what it has reported.
  [[nodiscard]] bool commitsHeld(const FleetMap &fleet) const {
    return fleet.enabled() && (fleet.registration() == 0 || fleet.registration() != CommitsAllowedFor);
  }
  /// \param registration FleetMap::registration() of when the claims were listed that are known.
  void allowCommits(std::uint64_t registration) { CommitsAllowedFor = registration; }
  /// A position of the primary of a service that covers each commit acknowledged before the given time, also
  /// through other proxies. Empty if this proxy has none.
  [[nodiscard]] std::optional<Position> positionCovering(const DatabaseId &service,
                                                         TimePoint acknowledgedBefore) const;
  [[nodiscard]] std::optional<TimePoint> nextTimer() const;

  /// Time without an event after which the process counts as suspended. Well above the interval of its
  /// timers, and below the time for which a change of primary waits for the answers to its fence.
  static constexpr Duration MaxEventGap = 350ms;
  /// Bound on statements waiting for a connection; further ones are rejected immediately.
  static constexpr std::size_t MaxWaiting = 1'000;

private:
  using Session = detail::Session;
  using PendingStatement = detail::PendingStatement;
  /// Orders waiting statements by priority, then by arrival.
  using WaitKey = std::tuple<std::uint32_t, TimePoint, SessionId>;
  /// Statements of one service that wait for a link, by the servers that can run them. One that needs the
  /// primary does not hold up a read that any server can run.
  struct WaitQueue {
    std::set<WaitKey> Statements; ///< Not sent and not answered.
    detail::WaitEstimator Estimator;
  };
  struct WaitQueues {
    WaitQueue ForPrimary;
    WaitQueue ForAnyServer;
  };
  /// A status query to a replica that is to confirm the lease of the primary.
  struct LeaseQuery {
    LinkId Link;
    TargetId Target;
    TimePoint SentAt;
  };
  /// A replica's report that it follows a term.
  struct LeaseWitness {
    TargetId Target;
    Term FollowedTerm = 0;
    TimePoint AskedAt;
  };
  /// The last commit of which it is not known whether the server has acknowledged it, or will.
  struct LostAnswer {
    TargetId Server;
    TimePoint At;
  };
  struct Service {
    PositionHistory Positions;
    PrimaryLease Lease;
    /// The server that answered as the primary of the newest such term. Its own report as a replica does not
    /// confirm its lease.
    TargetId Leader;
    Term LeaderTerm = 0;
    std::optional<LeaseWitness> Witness; ///< Last report.
    std::optional<LeaseQuery> PendingLeaseQuery;
    std::map<TargetId, TimePoint> LeaseRefusedAt; ///< When a server last did not confirm the lease.
    std::set<SessionId> AwaitingLease;            ///< Sessions whose statement waits for a confirmation.
    std::optional<PositionSample> UnprovenSample; ///< Newest one that the lease does not cover yet.
    std::optional<Position> Acknowledged;         ///< Highest log position of a commit known as acknowledged.
    CommitFence Fence;                            ///< Commits that must not be acknowledged.
    std::optional<PositionSample> OwnSample;      ///< Newest one received directly from the primary.
    std::optional<LinkId> PositionQueryLink;      ///< Link with an open position query for other proxies.
    std::map<TargetId, TimePoint> LaggedAt;       ///< When a replica last rejected a read as lagging.
    std::map<TargetId, TimePoint> PrimaryProbedAt; ///< When a server was last tried as a possible primary.
    /// Send time of the first write that timed out since the last answered one.
    std::optional<TimePoint> WritesUnansweredSince;
    int WritesUnanswered = 0;    ///< Writes that timed out since the last answered one.
    Position ServerAcknowledged; ///< The highest one that a server has acknowledged, reported or not.
    std::optional<LostAnswer> AnswerLost;
  };

  // Statement handling within the proxy (internal/statements.cpp).
  void handleStatement(Context &ctx, SessionServices &services, SessionId id, Session &session,
                       SessionStatement statement);
  /// The database has no route any more.
  void refuseWithoutRoute(Context &ctx, SessionServices &services, SessionId id, Session &session,
                          const std::string &statement);
  void begin(Context &ctx, SessionServices &services, SessionId id, Session &session,
             const SessionStatement &statement);
  void rollback(Context &ctx, SessionServices &services, SessionId id, Session &session,
                const SessionStatement &statement);
  /// Sets a value of the session; false if it has too many.
  bool setValue(SessionId id, Session &session, const SetStatement &statement);
  /// Keeps a prepared statement; false if the session has too many.
  bool prepare(SessionId id, Session &session, const PrepareStatement &statement);
  void deallocate(SessionId id, Session &session, const std::string &name);
  /// Closes the sessions whose values and prepared statements take the most memory, once the budget for them
  /// is used up.
  void closeLargeSessions(Context &ctx, SessionServices &services);
  void startStatement(Context &ctx, SessionServices &services, SessionId id, Session &session,
                      SessionStatement statement, AccessMode mode, bool commit);
  /// The workspace whose links run statements of a key's caller on a route; empty if the route needs no key.
  /// Returns nullopt if the key is not known (any more).
  [[nodiscard]] static std::optional<WorkspaceId> workspaceFor(const Catalog &catalog, const KeyDigest &key,
                                                               const DatabaseRoute &route);
  /// Why a caller with this key may not start anything on a route now; empty if it may.
  [[nodiscard]] static std::optional<StatementRejection>
  refusalOfKey(Context &ctx, const Catalog &catalog, const KeyDigest &key, const DatabaseRoute &route);
  /// Whether the operation that the session's statement begins needs a token of its workspace's quota.
  [[nodiscard]] static bool needsToken(const Context &ctx, const SessionServices &services,
                                       const Session &session);
  /// Rejects a statement that has not been passed on to dispatch, and rolls back its transaction.
  void rejectAndRollBack(Context &ctx, SessionServices &services, SessionId id, Session &session,
                         const std::string &statement, const StatementRejection &why);
  void answer(Context &ctx, SessionId id, Session &session, const std::string &statement,
              StatementOutcome outcome, std::optional<Position> at = std::nullopt);
  /// Refuses a statement that this proxy could not finish before the end of its shutdown grace.
  void refuseInShutdown(Context &ctx, SessionId id, Session &session, const std::string &statement);
  void nextQueued(Context &ctx, SessionServices &services, SessionId id);

  // Server selection and dispatch (internal/dispatch.cpp).
  /// Links of a server that can run the statements of a workspace.
  using LinkSet = std::pair<TargetId, WorkspaceId>;
  struct DispatchPass {
    std::set<LinkSet> Exhausted; ///< Found without an idle link in this pass.
    std::map<LinkSet, std::size_t> LinksWanted;
    std::optional<TargetId> Wanted; ///< The server that the last statement without a link preferred.
  };
  /// Whether only the primary can run the statement.
  [[nodiscard]] static bool needsPrimary(const Session &session, const PendingStatement &work);
  /// Starts waiting statements in order until there is no link for the next ones.
  void startWaiting(Context &ctx, SessionServices &services, WaitQueue &queue, DispatchPass &attempt);
  void dispatch(Context &ctx, SessionServices &services, SessionId id, Session &session);
  bool tryStart(Context &ctx, SessionServices &services, SessionId id, Session &session,
                DispatchPass &attempt);
  void send(Context &ctx, SessionServices &services, SessionId id, Session &session, LinkId link,
            const TargetId &target);
  /// Whether the statement commits a write, so that its answer waits until a replica has the commit.
  [[nodiscard]] static bool isWriteCommit(const Session &session, const PendingStatement &work);
  /// Counts a commit that waits or is refused while this proxy sends none.
  static void countHeldCommit(Context &ctx, const SessionServices &services);
  void sendStatement(Context &ctx, SessionServices &services, SessionId id, Session &session);
  /// Opens links for waiting statements, or borrows them from the lender if there is one.
  static void requestLinks(Context &ctx, SessionServices &services, const TargetId &target,
                           std::size_t waiting, const PendingStatement &work);
  void enqueueWaiting(Context &ctx, SessionServices &services, SessionId id, Session &session);
  /// Expected time for which a server works on a statement.
  [[nodiscard]] static Duration expectedDuration(Context &ctx, SessionServices &services,
                                                 const DatabaseId &service);
  /// Refuses a statement that would wait too long. Returns whether it did.
  bool refuseLongWait(Context &ctx, SessionServices &services, SessionId id, Session &session);
  [[nodiscard]] WaitQueue &queueOf(const Session &session);
  /// Takes the session's statement out of its queue, if it is in one.
  void removeWaiting(SessionId id, const Session &session);
  /// Records a position that the primary returned, as far as its lease proves that it led.
  void addSample(Context &ctx, SessionServices &services, PositionSample sample);
  void queryPrimaryForRequesters(Context &ctx, SessionServices &services);
  [[nodiscard]] std::optional<Position> requiredPosition(const Session &session,
                                                         const PendingStatement &work);
  [[nodiscard]] std::vector<TargetId> candidates(Context &ctx, SessionServices &services,
                                                 const Session &session, PendingStatement &work,
                                                 std::optional<Position> &after);
  [[nodiscard]] std::vector<TargetId> primaryCandidates(Context &ctx, SessionServices &services,
                                                        const PendingStatement &work);

  // Leases of primaries (internal/leases.cpp).
  [[nodiscard]] static TimePoint leaseTime(const Session &session, const PendingStatement &work);
  /// Whether the statement may be sent to the primary of the term that has begun its transaction. Otherwise
  /// it waits for a confirmation, or is rejected as not run.
  bool admitByLease(Context &ctx, SessionServices &services, SessionId id, Session &session, Term term);
  /// Records that a server answered as the primary, as far as the lease proves that it led.
  void confirmPrimary(Context &ctx, SessionServices &services, const DatabaseId &id, const TargetId &target,
                      Term term);
  /// Records that a server answered as the primary of a term. Logs the highest position that this proxy has
  /// acknowledged before.
  void recordLeader(Context &ctx, SessionServices &services, const DatabaseId &id, const TargetId &target,
                    Term term);
  /// Confirms the lease by the last report of a replica, if that proves the lead of another server.
  void applyWitness(Context &ctx, SessionServices &services, const DatabaseId &id);
  void confirmLease(Context &ctx, SessionServices &services, const DatabaseId &id, Term term, TimePoint at);
  /// Asks another proxy or a replica to confirm the lease, unless a request is pending.
  void requestLease(Context &ctx, SessionServices &services, const DatabaseId &id);
  void queryReplica(Context &ctx, SessionServices &services, const DatabaseId &id);
  [[nodiscard]] static std::vector<TargetId> leaseWitnesses(Context &ctx, SessionServices &services,
                                                            const DatabaseId &id, const Service &service);
  void onLeaseReply(Context &ctx, SessionServices &services, const LinkPool::Reply &reply,
                    const LinkReplied &event);
  void resumeAfterLease(Context &ctx, SessionServices &services, const DatabaseId &id);

  // Replies, retries and failures (internal/outcomes.cpp).
  /// Records that a server has acknowledged a commit, whether or not its caller is told.
  void recordServerAnswer(const Session &session, const LinkPool::Reply &reply, const LinkReplied &event);
  /// Whether the answer to a commit must not be reported as a success, since another server is promoted.
  [[nodiscard]] bool isWithheld(Context &ctx, SessionServices &services, const Session &session,
                                const LinkPool::Reply &reply, const LinkReplied &event);
  void handleSuccess(Context &ctx, SessionServices &services, SessionId id, Session &session,
                     const LinkPool::Reply &reply, const LinkReplied &event);
  void handleRejection(Context &ctx, SessionServices &services, SessionId id, Session &session,
                       const StatementRejection &why, TransactionState state);
  bool retry(Context &ctx, SessionServices &services, SessionId id, Session &session,
             const StatementRejection &why);
  void resendRead(Context &ctx, SessionServices &services, SessionId id, Session &session);
  /// Rejects the current statement, which has not been sent to a server, and rolls back its transaction.
  void refuseUnsent(Context &ctx, SessionServices &services, SessionId id, Session &session,
                    const StatementRejection &why);
  void handleNoAnswer(Context &ctx, SessionServices &services, SessionId id, Session &session,
                      detail::NoAnswer cause);
  void finish(Context &ctx, SessionServices &services, SessionId id, Session &session,
              StatementOutcome outcome, std::optional<Position> at = std::nullopt);
  void endTransaction(Context &ctx, SessionServices &services, Session &session);
  void failTransaction(Context &ctx, SessionServices &services, Session &session);
  void logOutcome(Context &ctx, SessionId id, const Session &session, const PendingStatement &work,
                  const StatementOutcome &outcome);

  void scheduleTimer(SessionId id, Session &session);
  void onSessionTimer(Context &ctx, SessionServices &services, SessionId id, Session &session);
  /// Near the end of the shutdown grace: answers the session's statements and closes it.
  void endSession(Context &ctx, SessionServices &services, SessionId id, Session &session);
  /// During a graceful shutdown: when open transactions are rolled back, each once its statement in progress
  /// is answered.
  [[nodiscard]] TimePoint transactionsEndAt() const;
  /// During a graceful shutdown: when the remaining statements are answered and their sessions closed.
  [[nodiscard]] TimePoint servingEndsAt() const;
  /// During a graceful shutdown: when the load balancer sends no more sessions.
  [[nodiscard]] TimePoint balancerDrainedAt() const;
  /// During a graceful shutdown: when an idle session is closed.
  [[nodiscard]] TimePoint idleCloseTime(const Session &session) const;
  void startSession(Context &ctx, SessionServices &services, const SessionOpened &event);
  struct PendingSession {
    SessionOpened Opened;
    TimePoint Until;
  };
  /// When a session that waits for the first configuration is refused.
  [[nodiscard]] TimePoint pendingUntil(const PendingSession &session) const;
  void admitPendingSessions(Context &ctx, SessionServices &services);
  /// During a graceful shutdown: when a connection on which no session has started is closed.
  [[nodiscard]] TimePoint unusedCloseTime(TimePoint connectedAt) const;
  void closeUnusedConnections(Context &ctx);
  [[nodiscard]] bool hasCallers() const;
  /// Ends a session and gives up its link. A statement in progress gets no answer.
  void endWithoutAnswer(Context &ctx, SessionServices &services, SessionId id);
  void erase(SessionId id);

  /// Whether callers can connect. Only goes forward.
  enum class AcceptState : std::uint8_t { Accepting, Stopping, Stopped };

  // Each connected caller is in exactly one of the next three.
  std::map<SessionId, TimePoint> Connected; ///< No session has started yet; with the time of connecting.
  std::map<SessionId, PendingSession> PendingSessions; ///< Opened before the first configuration was read.
  std::map<SessionId, Session> Sessions;
  ByteBudget<SessionId> State{0};      ///< Values and prepared statements; the limit is that of the node.
  std::uint64_t CommitsAllowedFor = 0; ///< Registration of this proxy; 0 before the first one.
  std::optional<TimePoint> LastEventAt;
  std::optional<TimePoint> ResumedAt; ///< After the last time for which this process was suspended.
  std::map<DatabaseId, WaitQueues> Waiting;
  std::size_t WaitingCount = 0;
  bool InPass = false;       ///< A pass over the waiting statements is in progress.
  TimePoint NextWaitingPass; ///< When waiting statements are tried again without an event.
  std::map<DatabaseId, Service> Services;
  std::map<DatabaseId, std::set<std::pair<TimePoint, SessionId>>> WritesInFlight;
  std::set<std::pair<TimePoint, SessionId>> Timers;
  std::optional<TimePoint> LeavingSince;
  AcceptState Accepting = AcceptState::Accepting;
  std::vector<SessionId> Answered; ///< Answered by the current event, during a graceful shutdown.
  Duration Grace = 6s;             ///< Shutdown grace: from the stop request to the end of the process.
  Duration TransactionIdle = 3s;   ///< From the current configuration.

  /// A read outside a transaction that is unanswered after this time is resent to another server.
  static constexpr Duration ReadResendTimeout = 400ms;
  /// How long a session may wait for the first configuration; below the 2 s after which callers give up.
  static constexpr Duration ConfigurationTimeout = 1800ms;
  /// Interval at which waiting statements are tried again.
  static constexpr Duration WaitRetryInterval = 25ms;
};

} // namespace rosemaryhinge
