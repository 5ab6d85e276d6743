// Ids that recognise an update of a platform object whose answer was lost.

#pragma once

#include "protocol/context.h"

#include <string>

namespace rosemaryhinge {

/// What all change ids of this process begin with; a restarted node has another one.
[[nodiscard]] inline std::string changeIdPrefix(const Context &ctx) {
  return ctx.Self.Node.str() + ":" + std::to_string(ctx.Incarnation) + ":";
}

[[nodiscard]] inline std::string makeChangeId(Context &ctx) {
  return changeIdPrefix(ctx) + std::to_string(ctx.nextNumber());
}

} // namespace rosemaryhinge
