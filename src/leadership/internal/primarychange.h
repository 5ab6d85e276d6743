// State of the change of primary of one service.

#pragma once

#include "leadership/internal/claimstate.h"
#include "leadership/internal/fleetfence.h"
#include "leadership/internal/reason.h"
#include "leadership/internal/serverstates.h"
#include "links/linkpool.h"
#include "protocol/callid.h"

#include <map>
#include <optional>
#include <set>

namespace rosemaryhinge::detail {

enum class ChangePhase : std::uint8_t {
  Idle,
  WaitingToClaim,     ///< Proxies that see the same fault claim one after the other.
  ReadingClaim,       ///< Finds out who holds the claim, or whether a write without an answer was accepted.
  Claiming,           ///< The claim is being written.
  SelectingCandidate, ///< Servers are queried and stopped until a candidate holds every commit.
  ConfirmingClaim,    ///< The claim is being written with the candidate, right before the order.
  Promoting,          ///< The promotion is ordered.
  AwaitingPrimary,    ///< The promotion was accepted; the new primary is not known to lead yet.
  ResumingReplicas,   ///< Replicas that this proxy paused are being resumed.
  EndingClaim,        ///< The claim is being marked as done.
};

enum class ServerOrder : std::uint8_t { ReadStatus, Pause, StepDown, Resume };

/// A request to a server, on a link of its own.
struct ServerRequest {
  LinkId Link;
  bool Sent = false;       ///< An answer is outstanding.
  bool CarriedOut = false; ///< The server has answered with its status.
  ServerOrder Order = ServerOrder::ReadStatus;
  TimePoint SentAt;
};

/// The first known position of the primary that covers what a server has acknowledged which ended.
struct CoveringPosition {
  TimePoint EndedAt; ///< A server that came back and ended again needs another one.
  Position At;
};

/// The commit fence that this proxy keeps for the holder of a claim, and what it has told that one.
struct KeptFence {
  NodeId Holder;              ///< Empty if the fence was raised through the store.
  CommitFenceRequest Request; ///< The newest one.
  TimePoint RequestedAt;
  Term StepDownFor = 0; ///< The highest one requested.
  StepDownState StepDown = StepDownState::NotOrdered;
  TimePoint StepDownSentAt;
  CommitFenceReply Told;
};

struct PrimaryChange {
  ChangePhase State = ChangePhase::Idle;
  TimePoint PhaseSince;
  std::optional<TargetId> Primary; ///< As last seen in the catalogue.
  TimePoint PrimarySince;          ///< When it was first seen, or the lack of one.
  TimePoint NextAttemptAt;         ///< No attempt before.
  std::optional<TimePoint> SuspectedSince;
  ChangeReason Reason;

  ClaimState Claim;
  TimePoint ClaimAt;                ///< WaitingToClaim: when to write the claim.
  std::optional<CallId> Call;       ///< Outstanding call to the store, or outstanding promotion.
  std::optional<TimePoint> RenewAt; ///< Next attempt to renew the claim after one that failed.

  // Selection of the candidate.
  TimePoint StartedAt;
  std::uint64_t ClaimedRevision = 0; ///< Of the claim's first write.
  ServerStates Servers;
  std::map<TargetId, ServerRequest> Requests;
  std::set<TargetId> PausedByThisProxy;
  /// Term of the orders. A replica that is paused for a higher term than the promotion brings would stay
  /// paused after it.
  Term OrderTerm = 0;
  std::optional<TimePoint> OthersPausedAt;
  std::optional<TimePoint> AllPausedAt;         ///< When the last replica was found to receive nothing more.
  std::optional<TimePoint> AllPositionsKnownAt; ///< When all replicas had reported their positions.
  std::set<TargetId> QueriedAgain;              ///< Replicas that have reported their positions again since.
  bool StepDownSent = false;
  std::optional<TimePoint> SteppedDownAt; ///< When the former primary confirmed that it leads no more.

  /// Since when a replica that stays is given time to receive what only a leaving one has.
  std::optional<TimePoint> StayingAwaitedSince;

  /// The candidate that was resumed and goes on receiving beside a lost primary.
  TargetId Receiving;

  std::optional<TimePoint> BehindSince; ///< Since when the candidate has to receive what is required.

  // What the promoted server must hold.
  /// Servers whose entries ended and that count as irrelevant.
  std::set<TargetId> PassedOver;
  /// For servers whose entries ended.
  std::map<TargetId, CoveringPosition> CoveredBy;
  Position Required;     ///< The highest position known to be required; outlasts the claims that told it.
  Position Acknowledged; ///< The highest one known to be reported to callers, likewise.
  /// The highest one that is known to be acknowledged by a server, reported or not.
  Position ServerAcknowledged;
  /// Revision of the store after which the present primary's term began (Claim::TermSince).
  std::uint64_t TermSince = 0;
  /// Since when the fence is complete while commits are unanswered. Outlasts attempts that fail.
  std::optional<TimePoint> UnansweredSince;
  /// Since when no server that could be promoted holds Required.
  std::optional<TimePoint> UncoveredSince;
  TimePoint UncoveredAt; ///< When that was last found.

  // Promotion.
  /// Server of an order that may still be carried out: of an earlier claim, whoever held it, or of this one
  /// without an answer. Until it leads, or a later order was accepted, nothing is resumed and the change goes
  /// on, whatever has become of its reason. Empty if there is none.
  TargetId Outstanding;
  /// When the order was last sent, or seen in another proxy's claim.
  TimePoint OutstandingAt;
  /// The candidate of a claim that the store has forgotten, preferred among equal logs; empty once this proxy
  /// has changed the primary.
  TargetId ForgottenCandidate;
  TargetId Candidate;
  TimePoint ChosenAt;                   ///< When the candidate was chosen, in its present state.
  Position CoveredPosition;             ///< What had to be covered when the candidate was chosen.
  Position CandidateLog;                ///< End of the candidate's log when it was chosen.
  std::set<TargetId> JoinedAfterChoice; ///< Servers that were not listed when the candidate was chosen.
  int PromotionAttempts = 0;

  /// The proxies that report no commit of the former primary any more. Outlasts the claim if an order may
  /// still be carried out.
  FleetFence Fence;
  /// When the proxies that the holder does not reach were last asked through the store.
  std::optional<TimePoint> NoticeAt;
  std::optional<CallId> NoticeCall;
  /// Empty unless another holder has raised a fence at this proxy.
  std::optional<KeptFence> Kept;
  /// Token of the last notice of another holder that this proxy has answered.
  std::uint64_t AnsweredNotice = 0;
  /// Replicas that this proxy paused and could not resume before its claim lapsed.
  std::set<TargetId> LeftPaused;
};

} // namespace rosemaryhinge::detail
