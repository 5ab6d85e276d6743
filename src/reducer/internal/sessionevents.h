// Hands events to the modules that serve callers with sessions.

#pragma once

#include "protocol/context.h"
#include "protocol/event.h"
#include "reducer/state.h"

#include <optional>

namespace rosemaryhinge::detail {

/// Takes the events of sessions, links, directory and promotions, and Started, TimerFired and
/// ShutdownRequested. Others change nothing.
void onSessionEvent(State &state, Context &ctx, const Event &event);
[[nodiscard]] std::optional<TimePoint> nextSessionTimer(const State &state);

} // namespace rosemaryhinge::detail
