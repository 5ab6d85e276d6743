// Comparison of the session values of a link and of a session.

#pragma once

#include "protocol/context.h"

#include <algorithm>

namespace rosemaryhinge::detail {

/// Whether the session sets every name that is set on the link, so that no value needs to be discarded.
[[nodiscard]] inline bool setsAllNamesOf(const SessionValues &wanted, const SessionValues &carried) {
  return std::all_of(carried.begin(), carried.end(),
                     [&](const auto &it) { return wanted.contains(it.first); });
}

} // namespace rosemaryhinge::detail
