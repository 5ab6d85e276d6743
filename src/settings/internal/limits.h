// Limits that must fit each other, across the nodes that set them.

#pragma once

#include "settings/tree.h"

namespace rosemaryhinge::detail {

/// Adds a finding for each node at which two effective values contradict each other and which overrides one
/// of them.
void checkLimits(std::string_view file, const SettingsNode &root, Diagnostics &findings);

} // namespace rosemaryhinge::detail
