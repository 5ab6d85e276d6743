// Reading the settings object at the start, and watching it where this proxy is one of the watchers.

#pragma once

#include "membership/imembers.h"
#include "settings/internal/settingsstate.h"

namespace rosemaryhinge::detail {

void startReading(SettingsState &state, Context &ctx);
/// Handles the answer to a call of the start or of the watch. Returns false if the call is another's.
bool onStoreAnswer(SettingsState &state, Context &ctx, const IMembers &members, const PlatformAnswer &event);
/// Continues the start, renews the watch, and pushes what a watch found.
void checkStore(SettingsState &state, Context &ctx, const IMembers &members);
/// A peer has a higher revision in force: it is asked for it unless a push comes first.
void considerPull(SettingsState &state, Context &ctx, const NodeId &from, std::uint64_t revision);
/// Ready once the revision that a majority of members told is in force.
void checkReady(SettingsState &state, Context &ctx);
[[nodiscard]] std::optional<TimePoint> earliestStore(const SettingsState &state);

} // namespace rosemaryhinge::detail
