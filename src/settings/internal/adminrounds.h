// Operators' commands that wait for other members: set and unset once the change is written, and verify.

#pragma once

#include "membership/imembers.h"
#include "settings/internal/settingsstate.h"

namespace rosemaryhinge::detail {

/// Pushes a change that is written to the members. Replies at once unless the command waits for them.
void beginSpread(SettingsState &state, Context &ctx, const IMembers &members, AdminSession &session);
/// Replies to a change once it is in force at all members or the deadline has passed.
void finishWait(SettingsState &state, Context &ctx, const IMembers &members, AdminSession &session);
/// Asks all members for the revision that they have in force.
void beginVerify(SettingsState &state, Context &ctx, const IMembers &members, AdminSession &session);
/// Replies to a verify once all members have answered or the deadline has passed.
void finishVerify(SettingsState &state, Context &ctx, const IMembers &members, AdminSession &session);

} // namespace rosemaryhinge::detail
