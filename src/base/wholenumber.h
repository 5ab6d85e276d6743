// Whole numbers in decimal texts.

#pragma once

#include <charconv>
#include <optional>
#include <string_view>
#include <system_error>

namespace rosemaryhinge {

/// The number that the whole text denotes; none if the text is empty, holds anything else or exceeds the
/// type.
template <typename T> [[nodiscard]] std::optional<T> parseWholeNumber(std::string_view text) {
  T out = 0;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), out);
  if (ec != std::errc() || end != text.data() + text.size())
    return std::nullopt;
  return out;
}

} // namespace rosemaryhinge
