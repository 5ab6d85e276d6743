// Putting a revision into force.

#pragma once

#include "settings/internal/settingsstate.h"

namespace rosemaryhinge::detail {

/// Puts a revision into force if it is higher than the one in force and valid. Returns true if the revision
/// in force is then at least the one given.
bool acceptTree(SettingsState &state, Context &ctx, std::uint64_t revision, std::string tree,
                ObjectVersion version, UnknownKeys unknown, std::string_view source);
/// Takes over what a read or a watch of the object returned. Returns true if a higher revision came into
/// force.
bool acceptObject(SettingsState &state, Context &ctx, const ObjectValue &value, std::string_view source);

} // namespace rosemaryhinge::detail
