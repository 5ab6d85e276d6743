// Ids stored in platform objects, by which a proxy recognises its own update after the answer to it was lost.

#pragma once

#include "protocol/context.h"

#include <string>

namespace rosemaryhinge {

/// Returns the common prefix of all change ids of this process. It contains the incarnation, so it changes
/// when the node restarts.
[[nodiscard]] inline std::string changeIdPrefix(const Context &ctx) {
  return ctx.Self.Node.str() + ":" + std::to_string(ctx.Incarnation) + ":";
}

[[nodiscard]] inline std::string makeChangeId(Context &ctx) {
  return changeIdPrefix(ctx) + std::to_string(ctx.nextNumber());
}

} // namespace rosemaryhinge
