// Changes of primary: who carries one out, and its steps.
//
// Steps: claim (a conditional update at the store, whose revision is the fencing token), survey (pause the
// replicas and learn their logs), promote, settle (until the new primary is known). Each claim promotes one
// server only, so that a promotion that is carried out late cannot undo a later one.

#pragma once

#include "catalog/catalog.h"
#include "leadership/internal/reason.h"
#include "leadership/internal/serverstates.h"
#include "links/linkpool.h"
#include "protocol/context.h"
#include "sessions/sessionsmodule.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace rosemaryhinge {

struct LeadershipServices {
  rosemaryhinge::Catalog &Catalog;
  LinkPool &Links;
  const SessionsModule &Sessions;
};

class LeadershipModule {
public:
  void onTimer(Context &ctx, LeadershipServices &services);
  void onDirectoryAnswer(Context &ctx, LeadershipServices &services, const DirectoryAnswer &event);
  void onPromotionAnswer(Context &ctx, LeadershipServices &services, const PromotionAnswer &event);
  void onReply(Context &ctx, LeadershipServices &services, const LinkPool::Reply &reply,
               const LinkReplied &event);
  void onLinkClosed(Context &ctx, LeadershipServices &services, const LinkPool::Closed &closed, LinkId link);
  /// Takes no new claim any more; a change that has begun is carried to its end.
  void startLeaving() { Leaving = true; }
  [[nodiscard]] bool changeInProgress() const;
  [[nodiscard]] std::optional<TimePoint> nextTimer() const { return Next; }

private:
  enum class Phase : std::uint8_t {
    Idle,
    ReadingClaim,
    WaitingToClaim,
    Claiming,
    SelectingCandidate,
    Promoting,
    AwaitingPrimary,
    RecordingCompletion
  };
  struct ServerRequest {
    LinkId Link;
    bool Sent = false;
    bool Pause = false; ///< The order that was sent: pause or, for the former primary, step down.
    TimePoint SentAt;
  };
  struct PrimaryChange {
    Phase State = Phase::Idle;
    detail::ChangeReason Reason;
    std::optional<TargetId> Primary; ///< As last seen in the catalogue.
    TimePoint PrimarySince;          ///< When it was first seen, or the lack of one.
    TimePoint NextAttemptAt;         ///< No attempt before.
    std::uint64_t ClaimRevision = 0;
    /// Claim of another proxy that is left to its work, and since when it is known.
    std::uint64_t OtherClaimRevision = 0;
    TimePoint OtherClaimSince;
    TimePoint StartedAt; ///< Of the survey.
    TimePoint PhaseSince;
    TimePoint ClaimAt; ///< When the claim is to be written.
    std::optional<CallId> Call;
    std::string Nonce;
    detail::ServerStates Servers;
    std::map<TargetId, ServerRequest> Requests;
    std::set<TargetId> PausedByThisProxy;
    /// Of all orders of this change. A replica that is paused for a higher term than the promotion brings
    /// would stay paused after it.
    Term PauseTerm = 0;
    std::optional<TimePoint> OthersPausedAt;
    std::optional<TimePoint>
        AllPositionsKnownAt;         ///< When all replicas had told their logs for the first time.
    std::set<TargetId> QueriedAgain; ///< Replicas that have told their logs again since.
    TargetId Candidate;
    int PromotionAttempts = 0;
  };

  void step(Context &ctx, LeadershipServices &services, const DatabaseId &service, PrimaryChange &change);
  void startIfNeeded(Context &ctx, LeadershipServices &services, const DatabaseId &service,
                     PrimaryChange &change);
  void readClaim(Context &ctx, PrimaryChange &change);
  void putClaim(Context &ctx, const DatabaseId &service, PrimaryChange &change, bool done);
  void onClaimRead(Context &ctx, LeadershipServices &services, const DatabaseId &service,
                   PrimaryChange &change, const Claim &claim);
  void onClaimed(Context &ctx, LeadershipServices &services, const DatabaseId &service, PrimaryChange &change,
                 std::uint64_t revision);
  void selectCandidate(Context &ctx, LeadershipServices &services, const DatabaseId &service,
                       PrimaryChange &change);
  void refreshServerStates(LeadershipServices &services, const DatabaseId &service, PrimaryChange &change,
                           TimePoint now);
  void sendRequest(Context &ctx, LeadershipServices &services, PrimaryChange &change, const TargetId &target,
                   bool pause);
  bool wouldLoseCommits(Context &ctx, LeadershipServices &services, const DatabaseId &service,
                        PrimaryChange &change, const TargetId &candidate);
  bool primaryLossUnconfirmed(Context &ctx, LeadershipServices &services, const DatabaseId &service,
                              PrimaryChange &change);
  void promote(Context &ctx, const DatabaseId &service, PrimaryChange &change);
  void awaitPrimary(Context &ctx, LeadershipServices &services, const DatabaseId &service,
                    PrimaryChange &change);
  void giveUp(Context &ctx, LeadershipServices &services, const DatabaseId &service, PrimaryChange &change,
              const std::string &why, Duration pause);
  void releaseRequests(Context &ctx, LeadershipServices &services, PrimaryChange &change, bool resume);
  void enterPhase(PrimaryChange &change, Phase next, TimePoint now);
  /// The change that waits for the answer to a call, which it then does not any more. Null if none does.
  std::pair<const DatabaseId, PrimaryChange> *completeCall(const CallId &call);

  std::map<DatabaseId, PrimaryChange> Changes;
  std::optional<TimePoint> Next;
  bool Leaving = false;
};

} // namespace rosemaryhinge
