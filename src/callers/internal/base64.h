// Base64 in the plain and the URL alphabet.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace rosemaryhinge::detail {

enum class Base64 : std::uint8_t {
  Plain, ///< With padding.
  Url,   ///< Without padding.
};

[[nodiscard]] std::string encodeBase64(std::string_view bytes, Base64 kind);
/// None unless the text is exactly what encodeBase64 gives for some bytes.
[[nodiscard]] std::optional<std::string> decodeBase64(std::string_view text, Base64 kind);

} // namespace rosemaryhinge::detail
