// Changes of primary: when a service needs another primary, which proxy carries the change out, and its
// steps.
//
//          reason               claim stored                  a candidate holds every commit
//   Idle --------> WaitingToClaim --------> SelectingCandidate ------------> ConfirmingClaim
//    ^              ^   |  (Claiming)            |        ^                        | stored
//    |              |   v                        |        | order refused          v
//    |            ReadingClaim                   |        +------------------- Promoting
//    |                                           | given up                        | accepted
//    |                                           v                                 v
//    +----------- EndingClaim <---------- ResumingReplicas <---------------- AwaitingPrimary
//
// The claim is an object in the store, one for each service, that is written conditionally. Its revision is
// the fencing token of the promotion. The claim is written once more with the candidate right before the
// order, so that an order is sent only by the proxy that holds the claim, and each order has a token above
// those of all earlier ones.
//
// Before the order, every proxy raises a commit fence and tells the highest position that it has reported to
// callers, which the promoted server must hold (freshness/commitfence.h).
//
// The former primary steps down right before the order, if it can be reached, since it would acknowledge
// commits that the candidate lacks through any replica that joins. One that cannot be reached leads until the
// promotion, with fencing; without, until it learns of it, and no proxy may trust it any more
// (freshness/primarylease.h).

#pragma once

#include "catalog/catalog.h"
#include "catalog/storeera.h"
#include "directory/directorymodule.h"
#include "leadership/internal/coverage.h"
#include "leadership/internal/fencenoticewatch.h"
#include "leadership/internal/primarychange.h"
#include "links/linkpool.h"
#include "positions/fleetmap.h"
#include "protocol/context.h"
#include "sessions/sessionsmodule.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rosemaryhinge {

struct LeadershipServices {
  rosemaryhinge::Catalog &Catalog;
  LinkPool &Links;
  SessionsModule &Sessions;
  FleetMap &Fleet;
  DirectoryModule &Directory;
  const StoreEra &Era;
};

class LeadershipModule {
public:
  void onTimer(Context &ctx, LeadershipServices &services);
  void onDirectoryAnswer(Context &ctx, LeadershipServices &services, const DirectoryAnswer &event);
  void onPromotionAnswer(Context &ctx, LeadershipServices &services, const PromotionAnswer &event);
  void onReply(Context &ctx, LeadershipServices &services, const LinkPool::Reply &reply,
               const LinkReplied &event);
  /// The store has come back from an older copy: this proxy's claims may be gone, and their revisions given
  /// out again. Changes in progress are given up.
  void onStoreRestored(Context &ctx, LeadershipServices &services);
  void onLinkClosed(const LinkPool::Closed &closed, LinkId link);
  /// Another proxy is about to promote a server.
  void onFenceRequest(Context &ctx, LeadershipServices &services, const NodeId &from,
                      const CommitFenceRequest &request);
  void onFenceReply(Context &ctx, LeadershipServices &services, const NodeId &from,
                    const CommitFenceReply &reply);
  void onFenceEnd(LeadershipServices &services, const CommitFenceEnd &end);
  void onPeerLost(const NodeId &node);
  /// Lists the claims where that is due, so that this proxy may send commits (internal/startupclaims.cpp).
  void readStartupClaims(Context &ctx, LeadershipServices &services);
  /// Tells the proxies that would change the primaries next what this one has reported, before it ends.
  static void handOverPositions(Context &ctx, const LeadershipServices &services);
  /// Takes no new claim any more; a change that has begun is carried to its end.
  void startLeaving() { Leaving = true; }
  [[nodiscard]] bool changeInProgress() const;
  [[nodiscard]] std::optional<TimePoint> nextTimer() const { return Next; }

private:
  using Phase = detail::ChangePhase;
  using PrimaryChange = detail::PrimaryChange;
  using Order = detail::ServerOrder;
  /// One service's change and what its steps work with.
  struct Run {
    Context &Ctx;
    LeadershipServices &Services;
    const DatabaseId &Service;
    PrimaryChange &Change;
  };

  void step(Run &run);
  void startIfNeeded(Run &run);
  [[nodiscard]] std::optional<detail::ChangeReason> findReason(const Run &run) const;
  /// Forgets an order that has been carried out, or whose server has been gone for as long as late orders are
  /// carried out.
  static void settleOutstandingOrder(Run &run);
  /// Forgets that no log held what is required, once a primary answers again.
  static void forgetUncovered(Run &run);
  /// Does the next step shortly.
  void stepSoon(const Context &ctx);
  static void enterPhase(Run &run, Phase next);
  /// Ends an attempt without a new primary.
  void giveUp(Run &run, const std::string &why, Duration pause);
  void complete(Run &run);
  /// Resumes what this proxy has paused, if it still may, and ends its claim.
  void release(Run &run);
  void resumeReplicas(Run &run);
  void endClaim(Run &run);
  static void toIdle(Run &run);
  static void releaseRequests(Run &run);
  /// The change that waits for the answer to a call, which it then does not any more. Null if none does.
  std::pair<const DatabaseId, PrimaryChange> *completeCall(const CallId &call);

  // The claim (internal/claims.cpp).
  void claim(Run &run);
  void readClaim(Run &run);
  void writeClaim(Run &run, const TargetId &candidate, bool done);
  void onClaimsListed(Run &run, const DirectoryListing &listing);
  void onClaimStored(Run &run, const Claim &stored);
  void onClaimConflict(Run &run, const Claim &current);
  void onStoreFailure(Run &run, const DirectoryFailure &failure);
  void awaitTakeover(Run &run);
  void onClaimed(Run &run);
  /// Records a claim that another proxy, or this one, has written.
  static void observeClaim(Run &run, const Claim &claim);
  /// Gives the change up if another proxy may have taken its claim over.
  bool claimLapsed(Run &run);
  /// Renews the claim in time. False if this proxy may not act on it at present.
  bool keepClaim(Run &run);

  // The commit fence (internal/commitfencing.cpp).
  /// Asks the store for the servers if the known ones are older than the claim. False until they are not.
  bool awaitServerList(Run &run);
  /// Raises the fence at all proxies. False while there are answers to wait for.
  bool awaitFence(Run &run);
  /// Adds the known proxies to those that have to raise the fence. False while their list is awaited.
  bool findMembers(Run &run);
  /// Since when it is known what this proxy has reported, and those that have ended.
  [[nodiscard]] static std::optional<std::uint64_t> recordKnownSince(const Run &run);
  // Fences through the store (internal/fencenotices.cpp).
  /// Names the proxies that have not answered by a message in a notice, at intervals.
  static void askThroughStore(Run &run);
  static void putNotice(Run &run, std::vector<NodeId> unanswered, bool create);
  /// \returns false if it is not the answer to the write of a notice.
  bool onNoticeAnswer(Context &ctx, LeadershipServices &services, const DirectoryAnswer &event);
  /// Takes the answers of proxies that were asked through the store from their entries.
  static void readStoredAnswers(Run &run);
  static void endNotice(Run &run, const TargetId &promoted);
  /// Another proxy asks through the store.
  void onFenceNotice(Context &ctx, LeadershipServices &services, const FenceNotice &notice);
  /// The server whose commits are reported in spite of the fence.
  [[nodiscard]] static TargetId fenceSuccessor(const Run &run);
  /// Renews the fence here, and at the proxies where that is due. Does nothing if it was not raised.
  static void renewFence(Run &run);
  static void sendFence(Run &run, const CommitFence::Bounds &bounds);
  /// The term for which proxies that reach the former primary order it to step down; 0 if they must not.
  static Term stepDownTerm(Run &run);
  /// \param promoted The server that leads now; empty if the former primary may go on.
  static void endFence(Run &run, const TargetId &promoted);
  /// Ends the fence of a proxy that has gone silent and whose claim names no order.
  void endLeftFence(Run &run);
  /// Whether a proxy has sent commits that may have been acknowledged, or still may be.
  [[nodiscard]] static bool commitsUnanswered(const Run &run);
  /// Whether another proxy is about to stop the former primary, which may still acknowledge commits.
  [[nodiscard]] static bool awaitsOtherStepDown(const Run &run);
  /// Whether what the proxies tell stands in for servers that cannot be compared.
  [[nodiscard]] static bool fenceCovers(Run &run);

  // The link to the primary (internal/primarywatch.cpp).
  void watchPrimary(Run &run);

  // The fence that this proxy keeps for another holder (internal/keptfence.cpp).
  /// \param from Empty if the request came through the store.
  void keepRequest(Run &run, const NodeId &from, const CommitFenceRequest &request);
  [[nodiscard]] static CommitFenceReply fenceReply(const Run &run);
  /// Tells the holder what has changed since it was told last.
  void keepFence(Run &run);
  /// Orders the former primary to step down for the proxy that changes it, if this proxy reaches it.
  void stepDownForHolder(Run &run);
  void onStepDownForHolder(Run &run, const TargetId &target, const TargetStatus &status);

  // Selection of the candidate (internal/selection.cpp).
  void selectCandidate(Run &run);
  void refreshServerStates(Run &run);
  /// Servers that ended (internal/endedservers.cpp): keeps the first position of the primary that covers
  /// each.
  static void recordCoveringPositions(Run &run);
  /// Whether the log of the last primary may still cover what a server that ended has acknowledged.
  [[nodiscard]] static bool primaryMayReturn(const Run &run);
  /// Whether a proxy has not told yet what it has reported.
  [[nodiscard]] static bool proxiesSilent(const Run &run);
  /// Which of them may have held commits that no log of this change covers.
  static void refreshEndedServers(Run &run);
  /// The position that covers what the servers that ended have acknowledged.
  static Position endedServersPosition(const Run &run);
  /// End of the log of a former primary that has stepped down: another proxy may have reported all of it.
  static Position steppedDownPosition(const Run &run);
  /// The position that covers what callers have been told of, and the servers that ended.
  static Position reportedPosition(Run &run);
  /// The position that a server must hold to be promoted: besides, what only servers have acknowledged.
  static Position positionToCover(Run &run);
  [[nodiscard]] std::optional<std::string> reasonRefuted(Run &run);
  /// Another server leads: whether the change goes on and replaces that one. It does while an order for a
  /// third server may still be carried out.
  bool replacesLeader(Run &run, const TargetId &leader);
  bool queryServers(Run &run);
  bool primaryLossUnconfirmed(Run &run);
  void selectBesidePrimary(Run &run, bool allKnown);
  /// A candidate holds every commit that the listed servers may have acknowledged.
  void onCandidateFound(Run &run, const TargetId &candidate);
  void chooseAfterLeases(Run &run);
  void selectAfterStepDown(Run &run);
  /// Asks the servers that have not told yet all that they received from the former primary.
  /// \param former End of its log.
  void querySettling(Run &run, Position former);
  /// No replica has all of the former primary's log: chooses the best one, or the former primary itself, once
  /// the replicas have had time to report.
  void chooseAmongReports(Run &run, const std::optional<TargetId> &best, Duration waited);
  /// Whether the former primary is listed and answers this proxy.
  [[nodiscard]] static bool formerReachable(const Run &run);
  void stepDownFormer(Run &run);
  /// Whether the server of an outstanding order still has time to receive what it must hold. The promotion of
  /// another one could undo its lead.
  [[nodiscard]] static bool awaitsOrderedServer(const Run &run, TimePoint since);
  [[nodiscard]] static std::optional<TargetId> bestCandidate(const Run &run);
  /// Resumes a candidate that is paused, so that commits which a lost primary still acknowledges reach it.
  /// False until it receives.
  bool receives(Run &run, const TargetId &candidate);
  static void forgetState(PrimaryChange &change, const TargetId &target);
  /// The former primary may lead again.
  static void forgetStepDown(PrimaryChange &change);
  /// A replica may not come back: what it has received is acknowledged, and must be in the log of the server
  /// that is promoted.
  static void requireLog(PrimaryChange &change, const detail::ServerState &server);
  /// Whether no proxy trusts the former primary for reads any more.
  [[nodiscard]] static bool leasesEnded(const Run &run);
  /// Whether the former primary acknowledges nothing any more, where it must not.
  [[nodiscard]] static bool stopped(const Run &run);
  /// The highest position that this proxy, or one that told it, has reported as committed.
  static Position acknowledgedPosition(Run &run);
  /// The highest position that a server has acknowledged to this proxy, or to one that told it.
  static Position serverAcknowledgedPosition(Run &run);
  /// The position that a server must hold to be promoted, as far as claims and reports tell.
  static Position requiredPosition(Run &run);
  /// Whether a log that is not compared may hold more than the servers that are.
  [[nodiscard]] static bool logsAbsent(const Run &run);
  [[nodiscard]] static detail::Coverage coverageOf(Run &run, const TargetId &candidate);
  /// Whether the candidate lacks what is required, and a log that holds it may still come back.
  /// \param log End of the candidate's log.
  bool mustAwaitLog(Run &run, detail::Coverage coverage, Position log);
  /// Whether only a replica that is about to leave has the longest log, and one that stays may still receive
  /// it.
  bool awaitsStayingReplica(Run &run);
  /// Whether no request was sent to a server for the interval.
  [[nodiscard]] static bool requestDue(const Run &run, const TargetId &target, Duration interval);
  /// Asks a replica that has to receive more for its status, at intervals.
  void queryAgain(Run &run, const TargetId &target);
  bool pauseReplicas(Run &run, const std::optional<TargetId> &except);
  void choose(Run &run, const TargetId &candidate);
  /// \returns whether the request was sent. It is not while no link is idle, or another one is unanswered.
  bool sendRequest(Run &run, const TargetId &target, Order order);
  /// Records what a server has answered to an order or a status query.
  static void recordStatus(Run &run, const TargetId &target, const detail::ServerRequest &request,
                           const TargetStatus &status);

  // Log lines (internal/logging.cpp).
  static void logSuspicion(Run &run, const std::optional<detail::ChangeReason> &reason);
  static void logChoice(Run &run, detail::Coverage coverage);
  /// A server whose entry has ended counts as irrelevant.
  static void logPassedOver(Run &run, const MissingServer &server, const std::string &why);
  /// A replica that was paused reports that it is not.
  static void logEndedPause(Run &run, const TargetId &target, const detail::ServerState &known,
                            const TargetStatus &status);
  static void logJoinedServers(Run &run);
  /// A change ends, or starts afresh, while its last order has no answer.
  static void logUnansweredOrder(Run &run);
  /// Forgets the outstanding order, and says why. Does nothing if there is none.
  static void forgetOutstandingOrder(Run &run, std::string_view why);

  // Between the choice and the effect of the promotion (internal/pendingpromotion.cpp).
  /// Whether the chosen server still is certain to hold every acknowledged commit, as far as the servers are
  /// known now.
  [[nodiscard]] bool choiceStands(Run &run);
  /// Asks paused replicas for their status, at intervals: one that has restarted, or was resumed by an order
  /// of an earlier change, receives again.
  void verifyPauses(Run &run);
  /// Asks the former primary that has stepped down for its status, at intervals.
  void verifyStepDown(Run &run);
  /// Stops what may acknowledge commits that the chosen server lacks, while its promotion is on its way.
  void holdServers(Run &run);

  // Promotion (internal/promotion.cpp).
  void confirmClaim(Run &run);
  void promote(Run &run);
  void awaitPrimary(Run &run);
  /// An order for the server may still be carried out.
  static void recordOutstandingOrder(Run &run, const TargetId &server);

  // Claims that were unfinished when this proxy was registered (internal/startupclaims.cpp).
  void listStartupClaims(Context &ctx);
  void scheduleStartupList(Context &ctx);
  void onStartupClaims(Context &ctx, LeadershipServices &services, const DirectoryAnswer &event);
  /// Raises, renews or ends this proxy's fence for the claim. Returns whether it must be listed again.
  /// \param raisedAt Revision of the claim at which the fence was raised last.
  /// \param claim Null if it is gone.
  static bool followStartupClaim(Context &ctx, LeadershipServices &services, const DatabaseId &service,
                                 std::uint64_t &raisedAt, const Claim *claim);

  struct StartupClaims {
    std::optional<CallId> Call;
    TimePoint ListAt;                             ///< No list before.
    std::uint64_t Registration = 0;               ///< Of this proxy when the list was begun.
    std::vector<DirectoryObject> Pages;           ///< Received so far of a list.
    std::map<DatabaseId, std::uint64_t> RaisedAt; ///< Unfinished claims, by the revision of the last raise.
  };

  StartupClaims Startup;
  std::map<DatabaseId, PrimaryChange> Changes;
  detail::FenceNoticeWatch Notices;
  std::optional<TimePoint> Next;
  bool Leaving = false;
};

} // namespace rosemaryhinge
