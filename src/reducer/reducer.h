// The reducer: one event in, the effects that follow from it out.

#pragma once

#include "protocol/effect.h"
#include "protocol/event.h"
#include "reducer/state.h"

#include <optional>

namespace rosemaryhinge {

/// Applies one event. Pure: reads no clock and no random source of its own. Now must not go back between
/// calls.
[[nodiscard]] Effects reduce(State &state, const Event &event, TimePoint now);

/// When the next TimerFired is due. None if nothing waits.
[[nodiscard]] std::optional<TimePoint> nextTimer(const State &state);

/// Readiness for callers: settings are in force, the fleet was joined and no shutdown has begun.
[[nodiscard]] bool isReady(const State &state);

} // namespace rosemaryhinge
