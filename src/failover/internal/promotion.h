// A promotion that this proxy coordinates, and the selection of the server to promote.

#pragma once

#include "groups/group.h"
#include "groups/grouptable.h"
#include "protocol/callid.h"
#include "protocol/target.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace rosemaryhinge::detail {

struct Promotion {
  enum class Phase : std::uint8_t {
    Order,   ///< The conditional update is pending, or its outcome is being read back.
    Raise,   ///< Servers are being told to accept the new term.
    Wait,    ///< A majority has accepted it; waits until no proxy may acknowledge writes of an older term.
    Promote, ///< The promotion request is pending.
    Record,  ///< The outcome is being written to the platform.
  };

  Phase State = Phase::Order;
  Group NewGroup; ///< Contents to be written to groups/<database>.
  std::string Reason;
  TimePoint StartedAt;
  std::optional<CallId> PlatformCall;
  bool OutcomeUnknown = false; ///< The last update failed or conflicted; the group has to be read back.
  std::map<TargetId, CallId> RaiseCalls;
  std::map<TargetId, TargetStatus> RaisedStatuses; ///< Status of the servers that have accepted the new term.
  TimePoint WaitUntil;
  TargetId Candidate;
  std::optional<CallId> PromoteCall;
  TimePoint RetryAt;
};

/// Returns the server with the most up-to-date log of a majority, which holds every acknowledged write.
/// Leaves out servers that are leaving if the others form a majority. Empty if no majority has accepted the
/// term.
[[nodiscard]] TargetId chooseTarget(const Group &group, const std::map<TargetId, TargetStatus> &raised,
                                    const std::map<TargetId, TargetView> &views);

} // namespace rosemaryhinge::detail
