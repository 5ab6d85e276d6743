// The reducer: applies an event to the state and returns the effects to carry out.

#pragma once

#include "protocol/effect.h"
#include "protocol/event.h"
#include "reducer/state.h"

#include <optional>

namespace rosemaryhinge {

/// Applies one event to the state and returns the effects to carry out. Deterministic: time comes only from
/// the arguments, and random numbers come from the generator in the state. Now must not decrease between
/// calls.
[[nodiscard]] Effects reduce(State &state, const Event &event, TimePoint now);

/// When the next TimerFired is due; std::nullopt if no timer is pending.
[[nodiscard]] std::optional<TimePoint> nextTimer(const State &state);

/// Whether this proxy reports itself ready to callers. Without sessions: settings are in force, the fleet was
/// joined and no shutdown has begun. With sessions: the configuration and the server list have been loaded,
/// the store or another proxy responds, and no shutdown has begun.
[[nodiscard]] bool isReady(const State &state);

} // namespace rosemaryhinge
