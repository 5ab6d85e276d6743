// Operators' commands on settings as far as they wait for the store.

#pragma once

#include "membership/imembers.h"
#include "settings/internal/settingsstate.h"

namespace rosemaryhinge::detail {

/// Handles the answer to the call that the session waits for.
void onCallAnswer(SettingsState &state, Context &ctx, const IMembers &members, AdminSession &session,
                  const PlatformAnswer &event);
/// Replies that the store is unavailable, or that the outcome of the change is unknown.
void giveUpOnStore(Context &ctx, AdminSession &session);

} // namespace rosemaryhinge::detail
