// Workspaces, the customers of the platform, and the keys that identify their callers.

#pragma once

#include "base/id.h"

#include <array>
#include <compare>
#include <cstdint>
#include <vector>

namespace rosemaryhinge {

using WorkspaceId = TextId<struct WorkspaceTag>;

/// Digest of a caller's key. The key itself stays in the codecs: it is neither logged nor sent to servers or
/// other proxies.
struct KeyDigest {
  std::array<std::uint8_t, 16> Bytes{};

  auto operator<=>(const KeyDigest &) const = default;
};

struct Workspace {
  WorkspaceId Name;
  std::vector<KeyDigest> Keys;
  std::uint32_t Priority = 0; ///< 0 is the highest.
  double RatePerSecond = 0;   ///< Operations that the workspace may start, over all proxies.
  double Burst = 0;           ///< Operations that it may start beyond the rate.
};

} // namespace rosemaryhinge
