// Percent-encoding of names in paths and queries (RFC 3986).

#pragma once

#include <cctype>
#include <string>
#include <string_view>

namespace rosemaryhinge {

/// Encodes all characters but letters, digits and those of a set, by default the unreserved ones.
[[nodiscard]] inline std::string percentEncode(std::string_view text, std::string_view kept = "-_.~") {
  constexpr std::string_view Digits = "0123456789ABCDEF";
  std::string out;
  for (const char it : text) {
    const auto byte = static_cast<unsigned char>(it);
    if (std::isalnum(byte) || kept.find(it) != std::string_view::npos) {
      out += it;
    } else {
      out += '%';
      out += Digits[byte / 16];
      out += Digits[byte % 16];
    }
  }
  return out;
}

} // namespace rosemaryhinge
