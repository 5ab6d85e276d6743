// State of the failover module.

#pragma once

#include "failover/internal/promotion.h"

#include <cstdint>
#include <map>
#include <optional>

namespace rosemaryhinge::detail {

/// Status queries to one server.
struct PollState {
  TimePoint NextAt;
  std::optional<CallId> Call;
  TimePoint SentAt;
  /// When the first query of the present run of unanswered ones was sent. None while the server answers.
  std::optional<TimePoint> SilentSince;
};

/// A peer's word about how long it has had no contact with the primary.
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
  std::optional<TimePoint> EligibleSince; ///< Since when the conditions for a change hold here.
  std::optional<detail::Promotion> Promotion;
  /// Highest term under which this proxy has sent a promotion. No other server may be promoted under it.
  Term HighestPromotedTerm = 0;
};

struct FailoverState {
  std::map<DatabaseId, DatabaseState> Databases;
  std::map<CallId, DatabaseId> Calls; ///< Calls on their way, to find their database.
  std::optional<CallId> VmListCall;
  TimePoint NextVmListAt;
  std::optional<TimePoint> StoreUnavailableSince; ///< Since when the VM list could not be read.
  TimePoint LastTimer = TimePoint::min();
  std::optional<TimePoint> NextTimer;
};

} // namespace rosemaryhinge::detail
