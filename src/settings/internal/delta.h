// Difference between two texts of the tree, so that a push need not carry the whole tree.

#pragma once

#include "protocol/peer.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace rosemaryhinge::detail {

[[nodiscard]] std::uint64_t textChecksum(std::string_view text);
/// A push of the whole text.
[[nodiscard]] SettingsPush wholePush(std::uint64_t revision, std::string_view text, ObjectVersion version);
/// Puts the part that differs from the base into the push, if that is shorter than the whole text.
void makeDelta(SettingsPush &push, std::uint64_t baseRevision, std::string_view base);
/// The whole text of a push. Empty if the base is not the one given, or the checksum does not fit.
[[nodiscard]] std::optional<std::string> wholeText(const SettingsPush &push, std::uint64_t baseRevision,
                                                   std::string_view base);

} // namespace rosemaryhinge::detail
