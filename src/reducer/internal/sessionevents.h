// Dispatches events to the modules that serve callers with sessions.

#pragma once

#include "protocol/context.h"
#include "protocol/event.h"
#include "reducer/state.h"

#include <optional>

namespace rosemaryhinge::detail {

/// Handles events of sessions, links, peers, the directory and promotions, and Started, TimerFired and
/// ShutdownRequested. Other events are ignored. Afterwards, idle connections are lent to waiting borrowers.
void onSessionEvent(State &state, Context &ctx, const Event &event);

/// Earliest timer of the modules that serve sessions; std::nullopt if none is pending.
[[nodiscard]] std::optional<TimePoint> nextSessionTimer(const State &state);

} // namespace rosemaryhinge::detail
