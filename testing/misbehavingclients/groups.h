// The groups of misbehaving clients, one for each kind of docs/hard-load.md, part 4.

#pragma once

#include "misbehavingclients/clientgroup.h"

#include <vector>

namespace rosemaryhinge::misbehavingclients {

[[nodiscard]] std::vector<GroupPlan> groups();
/// A single statement of just under 1 MiB, with its line end.
[[nodiscard]] std::string largeStatement(const std::string &text);

} // namespace rosemaryhinge::misbehavingclients
