// Changes of primary: who carries one out, and its steps.
//
// Steps: claim (a conditional update at the store, whose revision is the fencing token), survey (pause the
// replicas and learn their logs), promote, settle (until the new primary is known). Each claim promotes one
// server only, so that a promotion that is carried out late cannot undo a later one.

#pragma once

#include "catalog/catalog.h"
#include "leadership/internal/reason.h"
#include "leadership/internal/survey.h"
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
  [[nodiscard]] bool changing() const;
  [[nodiscard]] std::optional<TimePoint> nextTimer() const { return Next; }

private:
  enum class Phase : std::uint8_t {
    None,
    Reading,
    Waiting,
    Claiming,
    Surveying,
    Promoting,
    Settling,
    Recording
  };
  struct Order {
    LinkId Link;
    bool Sent = false;
    bool Pause = false; ///< The order that was sent: pause or, for the former primary, step down.
    TimePoint SentAt;
  };
  struct Change {
    Phase State = Phase::None;
    detail::ChangeReason Reason;
    std::optional<TargetId> Primary; ///< As last seen in the catalogue.
    TimePoint PrimarySince;          ///< When it was first seen, or the lack of one.
    TimePoint NotBefore;             ///< No attempt before.
    std::uint64_t ClaimRevision = 0;
    /// Claim of another proxy that is left to its work, and since when it is known.
    std::uint64_t ForeignRevision = 0;
    TimePoint ForeignSince;
    TimePoint StartedAt; ///< Of the survey.
    TimePoint PhaseSince;
    TimePoint ClaimAt; ///< When the claim is to be written.
    std::optional<CallId> Call;
    std::string Nonce;
    detail::Survey Servers;
    std::map<TargetId, Order> Orders;
    std::set<TargetId> PausedByUs;
    /// Of all orders of this change. A replica that is paused for a higher term than the promotion brings
    /// would stay paused after it.
    Term OrderTerm = 0;
    std::optional<TimePoint> OthersPausedAt;
    std::optional<TimePoint> ComparedAt; ///< When all replicas had told their logs for the first time.
    std::set<TargetId> AskedAgain;       ///< Replicas that have told their logs again since.
    TargetId Chosen;
    int PromoteTries = 0;
  };

  void step(Context &ctx, LeadershipServices &services, const DatabaseId &service, Change &change);
  void consider(Context &ctx, LeadershipServices &services, const DatabaseId &service, Change &change);
  void readClaim(Context &ctx, Change &change);
  void putClaim(Context &ctx, const DatabaseId &service, Change &change, bool done);
  void onClaimRead(Context &ctx, LeadershipServices &services, const DatabaseId &service, Change &change,
                   const Claim &claim);
  void onClaimed(Context &ctx, LeadershipServices &services, const DatabaseId &service, Change &change,
                 std::uint64_t revision);
  void survey(Context &ctx, LeadershipServices &services, const DatabaseId &service, Change &change);
  void refreshSurvey(LeadershipServices &services, const DatabaseId &service, Change &change, TimePoint now);
  void order(Context &ctx, LeadershipServices &services, Change &change, const TargetId &target, bool pause);
  bool losesCommits(Context &ctx, LeadershipServices &services, const DatabaseId &service, Change &change,
                    const TargetId &candidate);
  bool doubtsRemain(Context &ctx, LeadershipServices &services, const DatabaseId &service, Change &change);
  void promote(Context &ctx, const DatabaseId &service, Change &change);
  void settle(Context &ctx, LeadershipServices &services, const DatabaseId &service, Change &change);
  void giveUp(Context &ctx, LeadershipServices &services, const DatabaseId &service, Change &change,
              const std::string &why, Duration pause);
  void releaseOrders(Context &ctx, LeadershipServices &services, Change &change, bool resume);
  void enter(Change &change, Phase next, TimePoint now);
  /// The change that waits for the answer to a call, which it then does not any more. Null if none does.
  std::pair<const DatabaseId, Change> *answered(const CallId &call);

  std::map<DatabaseId, Change> Changes;
  std::optional<TimePoint> Next;
  bool Leaving = false;
};

} // namespace rosemaryhinge
