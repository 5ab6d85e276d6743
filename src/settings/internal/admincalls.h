// Calls to the platform that operators' commands on settings need.

#pragma once

#include "settings/internal/settingsstate.h"

#include <variant>

namespace rosemaryhinge::detail {

/// Delay before a failed read of the settings object is repeated.
inline constexpr Duration StoreRetry = 250ms;

/// Starts a call that the session waits for.
void startCall(Context &ctx, AdminSession &session,
               std::variant<GetObject, PutObject, WatchObject, ListVms> what);
/// Starts to read the settings object.
void readObject(Context &ctx, AdminSession &session);
/// Requests the platform's list of VMs.
void listVms(Context &ctx, AdminSession &session);

} // namespace rosemaryhinge::detail
