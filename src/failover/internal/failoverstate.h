// Internal state of the failover module.

#pragma once

#include "failover/internal/promotion.h"

#include <cstdint>
#include <map>
#include <optional>

namespace rosemaryhinge::detail {

/// State of the periodic status queries to one server.
struct PollState {
  TimePoint NextAt;
  std::optional<CallId> Call;
  TimePoint SentAt;
  /// When the first of the consecutive unanswered queries was sent. Empty while the server answers.
  std::optional<TimePoint> SilentSince;
};

/// How long a peer reports to have had no contact with the primary.
struct ContactVote {
  Duration SinceContact{};
  TimePoint At;
};

struct DatabaseState {
  std::optional<CallId> ReadCall;
  TimePoint NextReadAt;
  TimePoint LastReadAt = TimePoint::min();
  std::map<TargetId, PollState> Polls;
  std::map<NodeId, ContactVote> Votes;
  TimePoint NextVoteRequestAt;
  std::optional<TimePoint> EligibleSince; ///< Since when this proxy sees the conditions for a promotion.
  std::optional<detail::Promotion> Promotion;
  /// Highest term under which this proxy has sent a promotion. The promotion of that term is not resumed: a
  /// second server might be promoted under it.
  Term HighestPromotedTerm = 0;
};

struct FailoverState {
  std::map<DatabaseId, DatabaseState> Databases;
  std::map<CallId, DatabaseId> Calls; ///< Database of each pending call.
  std::optional<CallId> VmListCall;
  TimePoint NextVmListAt;
  std::optional<TimePoint> StoreUnavailableSince; ///< Since when reads of the VM list fail.
  TimePoint LastTimer = TimePoint::min();
  std::optional<TimePoint> NextTimer;
};

} // namespace rosemaryhinge::detail
