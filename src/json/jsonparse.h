// Decodes JSON texts of other writers, with a bound on their nesting.
//
// The JSON library copies, writes and destroys nested values by recursion or with memory for each level, so a
// text that is nested without bound could end the process.

#pragma once

#include <nlohmann/json.hpp>
#include <string_view>

namespace rosemaryhinge {

/// Deepest nesting of arrays and objects that is decoded.
inline constexpr std::size_t MaxJsonDepth = 64;

/// Decodes a text. Throws nlohmann::json::exception or std::runtime_error if it is malformed, holds a number
/// out of range, or is nested too deeply.
[[nodiscard]] nlohmann::json parseJson(std::string_view text);

/// Like parseJson, but returns a discarded value in place of an error.
[[nodiscard]] nlohmann::json tryParseJson(std::string_view text);

} // namespace rosemaryhinge
