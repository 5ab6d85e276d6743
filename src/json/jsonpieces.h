// Finds the parts of a JSON text without decoding them, so that each can be decoded on its own: one that the
// JSON library rejects does not spoil the others.

#pragma once

#include <optional>
#include <string_view>
#include <vector>

namespace rosemaryhinge {

/// The text of an object's member; the last one if the key stands there twice. Empty if the text is no object
/// or has no such member. Keys are compared as they are written, without resolving escapes.
[[nodiscard]] std::optional<std::string_view> jsonMember(std::string_view object, std::string_view key);

/// The texts of an array's elements. Empty if the text is no array.
[[nodiscard]] std::optional<std::vector<std::string_view>> jsonElements(std::string_view array);

/// Whether arrays and objects are nested deeper than a bound.
[[nodiscard]] bool isNestedDeeper(std::string_view json, std::size_t bound);

} // namespace rosemaryhinge
