// Messages between proxies.

#pragma once

#include "base/id.h"
#include "base/position.h"
#include "base/time.h"
#include "protocol/directory.h"
#include "protocol/loan.h"
#include "protocol/platform.h"
#include "protocol/request.h"
#include "protocol/target.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace rosemaryhinge {

/// A request forwarded to a proxy that holds a slot or the request's transaction.
struct ForwardRequest {
  RequestId Id;      ///< Assigned by the sender and returned in the answer.
  Duration Budget{}; ///< Time left until the deadline. Relative, since the clocks of VMs are not comparable.
  std::uint32_t Hops = 0;
  /// Attempt number of the write marker. Only the proxy that accepted the request increments it, so that an
  /// abort which it recorded also applies at a slot holder that still has the request queued.
  std::uint64_t Attempt = 1;
  CallerRequest Request;
};

struct ForwardAnswer {
  RequestId Id;
  rosemaryhinge::Answer Answer;
};

/// State of a member as disseminated between proxies.
struct MemberUpdate {
  enum class Kind : std::uint8_t { Alive, Suspect, Dead, Leaving };

  NodeId Node;
  std::uint64_t Incarnation = 0; ///< Of the process; increases with each restart.
  std::uint32_t Refutation = 0; ///< Incremented by the node itself to refute a suspicion of this incarnation.
  Kind State = Kind::Alive;
  std::string Address; ///< IP and port of the peer listener.
  rosemaryhinge::AvailabilityZone AvailabilityZone;
  rosemaryhinge::Region Region;
  std::string Release;
};

struct Probe {
  std::uint64_t Sequence = 0;
  std::uint64_t SettingsRevision = 0;
  std::vector<MemberUpdate> Updates;
};
struct ProbeAck {
  std::uint64_t Sequence = 0;
  std::uint64_t SettingsRevision = 0;
  std::vector<MemberUpdate> Updates;
};
/// Asks the receiver to probe another member.
struct IndirectProbe {
  std::uint64_t Sequence = 0;
  NodeId Subject;
};
/// Asks for the receiver's member list. Sent once after startup.
struct MembersRequest {};
struct MembersReply {
  std::vector<MemberUpdate> Members;
};

/// Distributes a settings revision along a tree of members. If Base is set, Tree holds only the changed part
/// of the text: the receiver takes the first PrefixLength and the last SuffixLength bytes from revision Base.
struct SettingsPush {
  std::uint64_t Round = 0; ///< Matches acknowledgements to this push. 0 in the answer to a SettingsRequest.
  std::uint64_t Revision = 0;
  std::uint64_t Base = 0; ///< 0 if Tree is the complete text.
  std::uint32_t PrefixLength = 0;
  std::uint32_t SuffixLength = 0;
  std::uint64_t Checksum = 0;      ///< XXH64 of the complete text.
  std::string Tree;                ///< YAML.
  ObjectVersion Version = 0;       ///< Version of the platform object that the revision was read from.
  std::vector<NodeId> Descendants; ///< Members to which the receiver forwards the push.
};
/// Acknowledges a push. Sent immediately for the receiver itself, and again with Final set once its subtree
/// has finished.
struct SettingsAck {
  std::uint64_t Round = 0;
  std::uint64_t Revision = 0;
  std::uint32_t InForce = 0;
  std::vector<NodeId> Missing;
  bool Final = false;
};
struct SettingsRequest {
  std::uint64_t KnownRevision = 0;
};
/// Asks members which revision is in force. Distributed along the same tree as a push.
struct SettingsQuery {
  std::uint64_t Round = 0;
  std::vector<NodeId> Descendants;
};
/// One member's answer to a query.
struct SettingsInForce {
  NodeId Node;
  std::uint64_t Incarnation = 0;
  std::uint64_t Revision = 0;
  Duration Since{}; ///< How long the revision has been in force without interruption.
};
/// Answers to a query. Sent immediately for the receiver itself, and again with Final set for its complete
/// subtree.
struct SettingsReport {
  std::uint64_t Round = 0;
  std::vector<SettingsInForce> Members;
  std::vector<NodeId> Missing;
  bool Final = false;
};

/// Server status as observed by a slot holder. Age is the time since the status was requested.
struct TargetReport {
  TargetId Target;
  DatabaseId Database;
  TargetStatus Status;
  Duration Age{};
};
struct TargetReports {
  std::vector<TargetReport> Reports;
};

/// Asks how long the receiver has had no contact with the primary.
struct PrimaryContactRequest {
  DatabaseId Database;
  rosemaryhinge::Term Term = 0;
};
struct PrimaryContactReply {
  DatabaseId Database;
  rosemaryhinge::Term Term = 0;
  bool HoldsSlot = false;
  Duration SinceContact{};
};

/// Sends the new version of a platform object that the proxies share, such as a group or a slot table, so
/// that peers learn of it before they read it themselves.
struct ObjectChanged {
  std::string Key;
  ObjectVersion Version = 0;
  std::string Value;
};

/// Journal records in JSON, sent to the owners that write them to the store.
struct JournalRecords {
  std::uint64_t Batch = 0;
  std::vector<std::string> Records;
};
struct JournalAck {
  std::uint64_t Batch = 0;
};
/// Range of journal records of one process, by sequence number.
struct JournalMark {
  NodeId Node;
  std::uint64_t Incarnation = 0;
  std::uint64_t First = 0;
  std::uint64_t Last = 0;
};
/// Tells the second owner which records have been written to the store.
struct JournalWritten {
  std::vector<JournalMark> Marks;
};

/// Asks for a log position of a service's primary, used to prove the freshness of reads.
struct PositionRequest {
  std::uint64_t Number = 0;
  DatabaseId Service;
};
/// Answers a PositionRequest; not sent if no position is known. Age is the time from the query at the primary
/// to this answer. Hence the primary was queried no earlier than Age before the request with this number was
/// sent.
struct PositionReply {
  std::uint64_t Number = 0;
  DatabaseId Service;
  Position At;
  Duration Age{};
  Duration ConfirmationAge{}; ///< Time since the primary's lead was last confirmed.
};

/// Asks for the changes to store objects after a revision that the receiver knows of. Answered immediately if
/// there are any, otherwise after Wait.
struct ChangesRequest {
  std::uint64_t Number = 0;
  DirectoryKind Kind = DirectoryKind::Servers; ///< Configuration or servers.
  std::uint64_t Revision = 0;
  Duration Wait{};
};
struct ChangesReply {
  std::uint64_t Number = 0;
  DirectoryKind Kind = DirectoryKind::Servers;
  std::uint64_t Revision = 0; ///< The sender knows all changes up to this revision.
  Duration Age{};             ///< Time since the store last confirmed this to the sender.
  bool Complete = false;      ///< Objects is the complete set, not only the changes.
  std::vector<DirectoryObject> Objects;
  /// Latest time at which the store is known to have held no later change, relative to the time at which the
  /// sender received the request: negative if earlier. Empty if no such time is known.
  std::optional<Duration> ProofOffset{};
};

/// Asks the holder of an availability zone's quotas for tokens.
struct QuotaRequest {
  std::uint64_t Number = 0;
  WorkspaceId Workspace;
  std::uint32_t Operations = 0;
  bool FromHolder = false; ///< The sender keeps the quotas of another zone: it is to be answered at once.
};
struct QuotaReply {
  std::uint64_t Number = 0;
  std::uint32_t Granted = 0;
  Duration RetryAfter{};  ///< Until a further token is available, if fewer were granted than asked for.
  bool NotHolder = false; ///< The sender does not keep the quotas of its zone.
  NodeId Holder;          ///< With NotHolder: who does; empty if it is not known.
};
/// Tokens that a holder has left for a workspace.
struct QuotaLevel {
  WorkspaceId Workspace;
  double Tokens = 0;
};
/// The sender has stopped to keep the quotas of a zone. The receiver may take the lease that has this
/// revision, and go on with what is left.
struct QuotaHandover {
  rosemaryhinge::AvailabilityZone AvailabilityZone;
  std::uint64_t Revision = 0;
  std::vector<QuotaLevel> Levels{};
};

/// Tells the receiver that a server of a service is about to be promoted, under a claim of the sender: it
/// reports no commit of other servers to callers any more. Sent again for as long as the promotion may take
/// effect.
struct CommitFenceRequest {
  DatabaseId Service;
  std::uint64_t Token = 0; ///< Revision of the claim.
  TargetId Successor;      ///< The server that is promoted; empty before it is chosen.
  Term UpTo = 0;           ///< Known terms of before the promotion.
  TargetId Former;         ///< The primary that is replaced; empty if none is known.
  /// Term for which a receiver that reaches the former primary orders it to step down; 0: it orders nothing.
  Term StepDownFor = 0;
};

/// How far a proxy has come with the order to the former primary to step down.
enum class StepDownState : std::uint8_t {
  NotOrdered, ///< It was not asked to, or it does not reach the former primary.
  Ordered,    ///< The former primary has not confirmed it yet.
  SteppedDown,
};

struct CommitFenceReply {
  DatabaseId Service;
  std::uint64_t Token = 0; ///< Of the request.
  /// The highest position that the sender has reported to callers as committed. It reports none of the terms
  /// of before the promotion any more.
  Position Acknowledged;
  /// Since when Acknowledged is known of the sender's node (ReportedCommits::KnownSince); empty if the
  /// process has not announced itself yet.
  std::optional<std::uint64_t> KnownSince{};
  UnreportedCommits Unreported{};
  StepDownState StepDown = StepDownState::NotOrdered;
  /// Sent without a request, since what was told last has changed.
  bool Update = false;
};
/// The promotion of this claim, and of earlier ones, can take effect no more, or has.
struct CommitFenceEnd {
  DatabaseId Service;
  std::uint64_t Token = 0;
  TargetId Promoted; ///< The server that leads now; empty if the former primary may go on.
};

using PeerMessage =
    std::variant<ForwardRequest, ForwardAnswer, Probe, ProbeAck, IndirectProbe, MembersRequest, MembersReply,
                 SettingsPush, SettingsAck, SettingsRequest, TargetReports, PrimaryContactRequest,
                 PrimaryContactReply, ObjectChanged, JournalRecords, JournalAck, SettingsQuery,
                 SettingsReport, JournalWritten, PositionRequest, PositionReply, LoanRequest, LoanQueued,
                 LoanGrant, LoanCommands, LoanReply, LoanEnd, ChangesRequest, ChangesReply, QuotaRequest,
                 QuotaReply, QuotaHandover, CommitFenceRequest, CommitFenceReply, CommitFenceEnd>;

} // namespace rosemaryhinge
