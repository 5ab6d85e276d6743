// The proxy that keeps the quotas of an availability zone: a token bucket for each workspace, and transfers
// of tokens from other zones when a bucket is empty.

#pragma once

#include "catalog/catalog.h"
#include "positions/fleetmap.h"
#include "protocol/context.h"
#include "quota/internal/tokenbucket.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace rosemaryhinge::detail {

/// A reply to a proxy that has asked for tokens. It may be this one.
struct QuotaAnswer {
  NodeId To;
  QuotaReply Reply;
};
using QuotaAnswers = std::vector<QuotaAnswer>;

class QuotaHolder {
public:
  /// Begins with buckets that were empty at a time: what a former holder granted until then is not known.
  void start(TimePoint emptyAt);
  /// Begins with what a former holder had left when it stopped.
  void start(const std::vector<QuotaLevel> &levels, TimePoint stoppedAt);
  /// Goes on with the buckets as they were when this proxy stopped.
  void resume(TimePoint now) { StartedAt = StartedAt.value_or(now); }
  /// Answers the waiting requests with what they were granted so far, and that this proxy is no holder.
  QuotaAnswers stop();
  /// Tokens that are left, in whole or in part.
  [[nodiscard]] std::vector<QuotaLevel> levels() const;
  [[nodiscard]] bool active() const { return StartedAt.has_value(); }

  QuotaAnswers onRequest(Context &ctx, const Catalog &catalog, const FleetMap &fleet, const NodeId &from,
                         const QuotaRequest &request);
  /// An answer of the holder of another zone to a transfer.
  QuotaAnswers onReply(Context &ctx, const Catalog &catalog, const FleetMap &fleet, const NodeId &from,
                       const QuotaReply &reply);
  QuotaAnswers onTimer(Context &ctx, const Catalog &catalog, const FleetMap &fleet);
  [[nodiscard]] std::optional<TimePoint> nextTimer() const;

  /// Longest wait of a request for tokens from other zones.
  static constexpr Duration MaxWait = 100ms;
  /// Time for which a zone that had no token for a workspace is not asked for any.
  static constexpr Duration EmptyBackoff = 100ms;
  static constexpr Duration SilentBackoff = 1s;
  static constexpr Duration TransferTimeout = 300ms;
  /// Part of a bucket's capacity that is not given to other zones.
  static constexpr double ReservedPart = 0.25;
  /// Bound on the requests that wait. Beyond it, those of the workspace that sent the last one are refused.
  static constexpr std::size_t MaxWaiting = 10'000;

private:
  struct Waiting {
    NodeId From;
    std::uint64_t Number = 0;
    std::uint32_t Missing = 0;
    std::uint32_t Granted = 0;
    TimePoint Deadline;
  };
  struct Transfer {
    AvailabilityZone Zone;
    NodeId To;
    std::uint64_t Number = 0;
    TimePoint SentAt;
  };
  struct Account {
    explicit Account(TokenBucket bucket) : Bucket(bucket) {}

    TokenBucket Bucket;
    std::uint64_t ConfigurationVersion = 0; ///< From which the limits of the bucket are.
    std::deque<Waiting> Queue;              ///< Requests that have not got all of their tokens yet.
    std::uint32_t Received = 0;             ///< Tokens of another zone that are not yet given to a request.
    std::optional<Transfer> Pending;
    std::map<AvailabilityZone, TimePoint> BackoffUntil;
    TimePoint LoggedAt; ///< When it was last logged that the workspace is over its limit.
  };

  Account &account(Context &ctx, const Catalog &catalog, const WorkspaceId &workspace);
  /// Gives tokens to the requests that wait, oldest first, and asks another zone for what is missing.
  void serve(Context &ctx, const FleetMap &fleet, const WorkspaceId &workspace, Account &account,
             QuotaAnswers &out);
  bool requestTransfer(Context &ctx, const FleetMap &fleet, const WorkspaceId &workspace, Account &account);
  [[nodiscard]] NodeId holderOf(const FleetMap &fleet, const AvailabilityZone &zone) const;
  void refuseWaiting(Context &ctx, const WorkspaceId &workspace, Account &account, bool all,
                     QuotaAnswers &out);

  std::optional<TimePoint> StartedAt;
  std::map<WorkspaceId, Account> Accounts;
  std::map<AvailabilityZone, NodeId> KnownHolders; ///< Of other zones, where one named itself or another.
  std::size_t WaitingCount = 0;
};

} // namespace rosemaryhinge::detail
