// Operators' commands on settings that wait for the platform or for members.

#pragma once

#include "membership/imembers.h"
#include "settings/internal/settingsstate.h"

namespace rosemaryhinge::detail {

void startAdmin(SettingsState &state, Context &ctx, const IMembers &members, const AdminRequest &request);
/// Handles the answer to a call of a session. Returns false if the call is another's.
bool onAdminAnswer(SettingsState &state, Context &ctx, const IMembers &members, const PlatformAnswer &event);
/// Answers sessions that are complete or whose time is over.
void checkAdmin(SettingsState &state, Context &ctx, const IMembers &members);
[[nodiscard]] std::optional<TimePoint> earliestAdmin(const SettingsState &state);

} // namespace rosemaryhinge::detail
