// Digest of a caller's key.

#pragma once

#include "protocol/workspace.h"

#include <string_view>

namespace rosemaryhinge {

/// The first 16 bytes of the key's SHA-256.
[[nodiscard]] KeyDigest digestOf(std::string_view key);

} // namespace rosemaryhinge
