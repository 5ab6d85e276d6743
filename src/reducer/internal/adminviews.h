// JSON views of the state for the administration interface (rosemaryhingectl).

#pragma once

#include "protocol/effect.h"
#include "protocol/event.h"
#include "reducer/state.h"

namespace rosemaryhinge::detail {

/// Answers the commands status, targets and sessions; rejects any other command with HTTP status 404.
[[nodiscard]] AdminReply adminView(const State &state, const AdminRequest &request, TimePoint now);

/// Refuses a command on settings or the journal, which need a store that proxies with sessions do not use.
[[nodiscard]] AdminReply commandNotServed(const AdminRequest &request);

} // namespace rosemaryhinge::detail
