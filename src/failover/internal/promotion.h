// A change of primary that this proxy coordinates, and the choice of the server to promote.

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
    Order,   ///< The conditional update is on its way, or its outcome is being read back.
    Raise,   ///< Servers are being raised to the new term.
    Wait,    ///< A majority was raised; older rights to acknowledge are running out.
    Promote, ///< The chosen server was told to become primary.
    Record,  ///< The outcome is being written to the platform.
  };

  Phase State = Phase::Order;
  Group NewGroup; ///< Contents of groups/<database> that this step writes.
  std::string Reason;
  TimePoint StartedAt;
  std::optional<CallId> PlatformCall;
  bool OutcomeUnknown = false; ///< The update's answer was lost.
  std::map<TargetId, CallId> RaiseCalls;
  std::map<TargetId, TargetStatus> RaisedStatuses; ///< Servers that answered with the new term.
  TimePoint WaitUntil;
  TargetId Candidate;
  std::optional<CallId> PromoteCall;
  TimePoint RetryAt;
};

/// The server whose log holds everything that was acknowledged: the most up-to-date of a majority. Prefers
/// servers that are not leaving if these form a majority. Empty if no majority was raised.
[[nodiscard]] TargetId chooseTarget(const Group &group, const std::map<TargetId, TargetStatus> &raised,
                                    const std::map<TargetId, TargetView> &views);

} // namespace rosemaryhinge::detail
