// What a command reports about the members: those that lack a revision, and those that the platform does not
// list.

#pragma once

#include "membership/imembers.h"
#include "settings/internal/settingsstate.h"

#include <nlohmann/json.hpp>
#include <set>

namespace rosemaryhinge::detail {

/// The missing members with the time for which each has been missing.
[[nodiscard]] nlohmann::json missingJson(const SettingsState &state, Context &ctx,
                                         const std::set<NodeId> &missing);
/// Live members by the peers' view and by the platform's list, with the differences by name.
[[nodiscard]] nlohmann::json liveJson(const AdminSession &session, const IMembers &members);

} // namespace rosemaryhinge::detail
