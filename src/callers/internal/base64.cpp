// Base64.

#include "callers/internal/base64.h"

namespace rosemaryhinge::detail {

namespace {

constexpr std::string_view PlainAlphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr std::string_view UrlAlphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
constexpr unsigned SextetBits = 6;
constexpr unsigned ByteBits = 8;

std::string_view alphabet(Base64 kind) { return kind == Base64::Plain ? PlainAlphabet : UrlAlphabet; }

} // namespace

std::string encodeBase64(std::string_view bytes, Base64 kind) {
  std::string out;
  std::uint32_t buf = 0;
  unsigned bits = 0;
  for (const char it : bytes) {
    buf = (buf << ByteBits) | static_cast<unsigned char>(it);
    for (bits += ByteBits; bits >= SextetBits; bits -= SextetBits)
      out += alphabet(kind)[(buf >> (bits - SextetBits)) & 63];
  }
  if (bits > 0)
    out += alphabet(kind)[(buf << (SextetBits - bits)) & 63];
  while (kind == Base64::Plain && out.size() % 4 != 0)
    out += '=';
  return out;
}

std::optional<std::string> decodeBase64(std::string_view text, Base64 kind) {
  const auto whole = text;
  while (kind == Base64::Plain && text.ends_with('='))
    text.remove_suffix(1);
  std::string out;
  std::uint32_t buf = 0;
  unsigned bits = 0;
  for (const char it : text) {
    const auto value = alphabet(kind).find(it);
    if (value == std::string_view::npos)
      return std::nullopt;
    buf = (buf << SextetBits) | static_cast<std::uint32_t>(value);
    bits += SextetBits;
    if (bits >= ByteBits) {
      bits -= ByteBits;
      out += static_cast<char>((buf >> bits) & 255);
    }
  }
  if (encodeBase64(out, kind) != whole)
    return std::nullopt;
  return out;
}

} // namespace rosemaryhinge::detail
