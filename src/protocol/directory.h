// Configuration, servers and claims as the platform's store holds them, and calls to read and write them.

#pragma once

#include "base/id.h"
#include "base/time.h"
#include "protocol/callid.h"
#include "protocol/target.h"
#include "protocol/workspace.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace rosemaryhinge {

/// What the reads of a route must see.
enum class Consistency : std::uint8_t {
  Primary,          ///< Every acknowledged commit.
  BoundedStaleness, ///< Every commit acknowledged at least MaxStaleness before the read began.
  ReadYourWrites,   ///< As BoundedStaleness, and every commit of the same session.
};

struct DatabaseRoute {
  std::string Database; ///< The name that callers ask for.
  DatabaseId Service;   ///< The group of servers that holds it.
  Consistency Reads = Consistency::Primary;
  Duration StatementTimeout = 1s;
  Duration LatencyTarget = 1s;
  Duration MaxStaleness{};
  std::uint32_t Priority = 0; ///< 0 is the highest.
  bool Anonymous = false;     ///< Callers need no key, and belong to no workspace.
};

struct ServiceLimits {
  DatabaseId Service;
  std::uint32_t MaxConnections = 0; ///< Per server, for all proxies together.
  std::uint32_t SyncReplicas = 0;   ///< Replicas that hold a commit before it is acknowledged.
};

struct Configuration {
  std::uint64_t Version = 0;
  std::vector<DatabaseRoute> Routes;
  std::vector<ServiceLimits> Services;
  Duration TransactionIdle = 3s; ///< Transactions that stay idle for longer may be ended.
  /// Absent if callers need no keys.
  std::optional<std::vector<Workspace>> Workspaces{};
};

/// State of a server as the server itself published it.
struct ServerEntry {
  TargetId Target;
  DatabaseId Service;
  std::string Address;
  rosemaryhinge::AvailabilityZone AvailabilityZone;
  std::optional<TargetRole> Role;
  bool Leaving = false;
  std::uint64_t Revision = 0;  ///< Grows with each change of any object (storerevision.h).
  std::uint64_t StartedAt = 0; ///< Unix time in ms at which the server says that it started; 0 if unknown.
  std::uint64_t Sequence = 0;  ///< Number of the server's report since its start.
};

/// The right of one proxy to carry out a change of primary. Revision is the fencing token.
struct Claim {
  DatabaseId Service;
  NodeId Holder;
  /// The primary that is to be replaced, or, once the change has ended, the one that leads; empty if none is
  /// known.
  TargetId From;
  TargetId Candidate; ///< The server whose promotion may have been ordered; empty before the first order.
  bool Done = false;  ///< The change has ended, and no order of it is outstanding.
  std::string Nonce;  ///< Distinguishes this claim from an earlier one of the same holder.
  std::uint64_t Renewals = 0; ///< Number of times that the holder wrote the claim again.
  std::uint64_t Revision = 0; ///< 0: nobody has claimed it yet.
  /// Position that a server must hold to be promoted: of the newest commit that a holder of the claim knew as
  /// acknowledged, or of the server that was promoted last. Later claims never lower it.
  Position Required;
  /// The newest commit that a holder of the claim knew as acknowledged. Later claims never lower it.
  Position Acknowledged{};
  /// Revision of the store after which the present primary's term began; 0 if none is known. Later claims
  /// never lower it.
  std::uint64_t TermSince = 0;
};

/// A commit fence for proxies that the holder of the claim does not reach. There is one object for each
/// service. Each proxy that it names raises the fence and answers in its own entry
/// (ProxyEntry::FenceAnswers).
struct FenceNotice {
  DatabaseId Service;
  std::uint64_t Token = 0; ///< Revision of the claim.
  Term UpTo = 0;           ///< As in CommitFenceRequest.
  std::vector<NodeId> Unanswered;
  bool Ended = false;
  TargetId Promoted;    ///< As in CommitFenceEnd; only once it has ended.
  TargetId Former{};    ///< As in CommitFenceRequest.
  Term StepDownFor = 0; ///< As in CommitFenceRequest.
};

/// The right of one proxy to keep the quotas of an availability zone, until it is not renewed.
struct QuotaLease {
  rosemaryhinge::AvailabilityZone AvailabilityZone;
  NodeId Holder;
  std::uint64_t Incarnation = 0; ///< Of the holder's process.
  std::uint64_t Renewals = 0;    ///< Number of times that the holder wrote the lease again.
  std::uint64_t Revision = 0;    ///< 0: there is no lease yet.
};

/// What a node has reported to callers as committed, and since when that is known of it.
///
/// A process knows what it has reported itself. What an earlier process of its node has reported is known
/// only if that one left it in its entry.
struct ReportedCommits {
  /// Revision of the store at which the process announced itself that began the record; 0 if the record has
  /// been kept since the node was first started.
  std::uint64_t KnownSince = 0;
  std::map<DatabaseId, Position> UpTo; ///< The highest position of each service.
};

/// What a proxy knows of commits besides those that it has reported to callers.
struct UnreportedCommits {
  /// The highest position that a server has acknowledged to the proxy, whether or not the caller was told.
  Position Acknowledged{};
  /// Commits that it has sent have no answer: a server may still acknowledge them, or has already.
  bool Unanswered = false;

  bool operator==(const UnreportedCommits &) const = default;
};

/// A proxy's answer to a commit fence, for a holder of the claim that it does not reach.
struct StoredFenceAnswer {
  std::uint64_t Token = 0; ///< Revision of the claim that asked for it.
  Position Acknowledged;   ///< As in CommitFenceReply.
  UnreportedCommits Unreported{};
};

/// A proxy of the fleet, as it announces itself to the others.
struct ProxyEntry {
  NodeId Node;
  rosemaryhinge::AvailabilityZone AvailabilityZone;
  std::string Address;                    ///< Where it listens for other proxies.
  std::uint64_t Incarnation = 0;          ///< Of the process that wrote the entry.
  std::optional<ReportedCommits> Final{}; ///< Of a process that serves no callers any more.
  std::uint64_t KnownSince = 0;           ///< As in CommitFenceReply; only beside FenceAnswers.
  std::map<DatabaseId, StoredFenceAnswer> FenceAnswers{};
  std::uint64_t Revision = 0; ///< Of the entry in the store.
};

enum class DirectoryKind : std::uint8_t {
  Configuration,
  Servers,
  Claims,
  Proxies,
  QuotaLeases,
  FenceNotices
};

struct ListDirectory {
  DirectoryKind Kind = DirectoryKind::Servers;
  std::string After; ///< Continues after this name; empty at the start.
  /// DirectoryKind::Proxies only: the objects may be some seconds old, which costs the store less.
  bool MayBeStale = false;
};
/// Answered when something has changed after Revision, or after Wait.
struct WatchDirectory {
  DirectoryKind Kind = DirectoryKind::Servers;
  std::uint64_t Revision = 0;
  Duration Wait{};
};
/// Takes effect only if the claim has the revision that Next carries.
struct PutClaim {
  Claim Next;
};

/// Takes effect only if the lease has the revision that Next carries.
struct PutQuotaLease {
  QuotaLease Next;
};

/// Writes this proxy's entry to the store, replacing an earlier entry with the same name.
struct PutProxy {
  ProxyEntry Entry;
  std::uint64_t Revision = 0; ///< 0: there is no entry yet.
};
/// Reads the entry of a proxy.
struct ReadProxy {
  NodeId Node;
};
/// Deletes the entry of a proxy. Takes effect only if the entry has this revision.
struct DeleteProxy {
  NodeId Node;
  std::uint64_t Revision = 0;
};

/// Replaces the notice of a service, whichever it is.
struct PutFenceNotice {
  FenceNotice Next;
  bool Create = false; ///< There is none yet.
};

struct DirectoryCall {
  CallId Call;
  Duration Timeout{};
  std::variant<ListDirectory, WatchDirectory, PutClaim, PutProxy, ReadProxy, DeleteProxy, PutQuotaLease,
               PutFenceNotice>
      Request;
};

/// An object whose contents cannot be used, with the reason.
struct UnreadableObject {
  std::string Why;
};
using DirectoryValue =
    std::variant<Configuration, ServerEntry, Claim, ProxyEntry, QuotaLease, FenceNotice, UnreadableObject>;

struct DirectoryObject {
  std::string Name; ///< Empty if it cannot be read.
  bool Deleted = false;
  DirectoryValue Value;
};

/// The name after which a list of objects goes on; empty if no object has a readable one.
[[nodiscard]] inline std::string lastName(std::span<const DirectoryObject> objects) {
  const auto named = [](const DirectoryObject &it) { return !it.Name.empty(); };
  const auto it = std::find_if(objects.rbegin(), objects.rend(), named);
  return it == objects.rend() ? std::string() : it->Name;
}

struct DirectoryListing {
  std::vector<DirectoryObject> Objects;
  bool More = false;
  std::uint64_t Revision = 0;
};
struct DirectoryChanges {
  std::vector<DirectoryObject> Objects;
  std::uint64_t Revision = 0;
};
/// The store no longer keeps the changes after the watch's revision; the objects must be listed again.
struct DirectoryHistoryCompacted {};
struct ClaimStored {
  Claim Stored;
};
/// The claim has another revision; Current is what it is now.
struct ClaimConflict {
  Claim Current;
};
/// Stored carries the new revision.
struct QuotaLeaseStored {
  QuotaLease Stored;
};
struct QuotaLeaseConflict {
  QuotaLease Current;
};
/// There is an entry, of this revision.
struct ProxyStored {
  std::uint64_t Revision = 0;
};
/// There is no entry of this name, where one was to be read or replaced.
struct ProxyMissing {};
/// There is an entry of this name; it has this revision.
struct ProxyConflict {
  std::uint64_t Revision = 0;
  std::optional<ProxyEntry> Current{}; ///< Absent if it cannot be read.
};
struct FenceNoticeStored {};
/// There is none yet, or there is one already where it was to be created.
struct FenceNoticeConflict {};
struct DirectoryFailure {
  std::string Message;
  bool NotApplied = false; ///< The store said that the call had no effect.
  bool Unreadable = false; ///< The answer came but cannot be read: the same call would fail again.
};

struct DirectoryAnswer {
  CallId Call;
  std::variant<DirectoryListing, DirectoryChanges, DirectoryHistoryCompacted, ClaimStored, ClaimConflict,
               ProxyStored, ProxyMissing, ProxyConflict, QuotaLeaseStored, QuotaLeaseConflict,
               FenceNoticeStored, FenceNoticeConflict, DirectoryFailure>
      Result;
  std::uint64_t Era = 0; ///< Era of the store that has answered; 0 if none is known.
};

/// Asks the platform to make a server the primary of its service.
struct PromotionCall {
  CallId Call;
  Duration Timeout{};
  DatabaseId Service;
  TargetId Target;
  std::uint64_t Token = 0; ///< Fencing token: the revision of the claim.
};

enum class PromotionResult : std::uint8_t {
  Accepted,
  Fenced,   ///< A higher token was seen, or the server is not running.
  Unknown,  ///< No answer: it may still be carried out.
  Rejected, ///< The platform refused the call.
};
struct PromotionAnswer {
  CallId Call;
  PromotionResult Result = PromotionResult::Unknown;
  std::string Message;
};

} // namespace rosemaryhinge
