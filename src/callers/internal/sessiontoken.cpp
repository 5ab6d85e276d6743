// Session tokens. Form: v1.<key id>.<payload>.<signature>, the last two in URL base64; the signature covers
// everything before its dot. Payload: session, term and position, 8 bytes each, big-endian, then the
// database.

#include "callers/sessiontoken.h"

#include "callers/internal/base64.h"
#include "json/jsonparse.h"

#include <nlohmann/json.hpp>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <array>

namespace rosemaryhinge {

namespace {

using detail::Base64;

constexpr std::string_view Version = "v1";
constexpr std::size_t MaxToken = 1024;
constexpr std::size_t MaxKeyId = 32;
constexpr std::size_t MinKeyBytes = 16;
constexpr std::size_t MaxKeys = 16;
constexpr std::size_t NumberBytes = 8;
constexpr std::size_t FixedPayload = 3 * NumberBytes;
constexpr unsigned ByteBits = 8;

std::string sign(std::string_view key, std::string_view text) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> out{};
  unsigned int size = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char *>(text.data()), text.size(), out.data(), &size);
  return {reinterpret_cast<const char *>(out.data()), size};
}

void appendNumber(std::string &out, std::uint64_t value) {
  for (std::size_t n = NumberBytes; n-- > 0;)
    out += static_cast<char>((value >> (n * ByteBits)) & 255);
}

std::uint64_t readNumber(std::string_view bytes) {
  std::uint64_t out = 0;
  for (const char it : bytes.substr(0, NumberBytes))
    out = (out << ByteBits) | static_cast<unsigned char>(it);
  return out;
}

bool validKeyId(std::string_view id) {
  return !id.empty() && id.size() <= MaxKeyId && std::all_of(id.begin(), id.end(), [](unsigned char it) {
    return std::isalnum(it) || it == '_' || it == '-';
  });
}

} // namespace

std::string_view toString(TokenError error) {
  switch (error) {
  case TokenError::Malformed:
    return "malformed";
  case TokenError::UnknownKey:
    return "unknown_key";
  case TokenError::BadSignature:
    break;
  }
  return "bad_signature";
}

std::variant<SessionKeys, std::string> parseSessionKeys(std::string_view json) {
  const auto doc = tryParseJson(json);
  if (!doc.is_object())
    return std::string("keys/session: not a JSON object");
  const auto current = doc.find("current");
  const auto keys = doc.find("keys");
  if (current == doc.end() || !current->is_string())
    return std::string("keys/session: current: expected a string");
  if (keys == doc.end() || !keys->is_object() || keys->size() > MaxKeys)
    return "keys/session: keys: expected an object of at most " + std::to_string(MaxKeys) + " keys";
  SessionKeys out{current->get<std::string>(), {}};
  for (const auto &[id, value] : keys->items()) {
    const auto bytes = value.is_string()
                           ? detail::decodeBase64(value.get_ref<const std::string &>(), Base64::Plain)
                           : std::nullopt;
    if (!validKeyId(id) || !bytes || bytes->size() < MinKeyBytes)
      return "keys/session: keys." + id.substr(0, MaxKeyId) +
             ": expected an id of letters, digits, '-' and '_' and at least 16 bytes in base64";
    out.Keys.emplace(id, *bytes);
  }
  if (!out.Keys.contains(out.Current))
    return std::string("keys/session: current: names no key of keys");
  return out;
}

std::string encodeToken(const SessionToken &token, const SessionKeys &keys) {
  std::string payload;
  appendNumber(payload, token.Session);
  appendNumber(payload, token.At.Term);
  appendNumber(payload, token.At.Lsn);
  payload += token.Database.str();
  std::string out(Version);
  out.append(".").append(keys.Current).append(".").append(detail::encodeBase64(payload, Base64::Url));
  const auto signature = sign(keys.Keys.at(keys.Current), out);
  return out.append(".").append(detail::encodeBase64(signature, Base64::Url));
}

std::variant<SessionToken, TokenError> decodeToken(std::string_view text, const SessionKeys &keys) {
  if (text.size() > MaxToken)
    return TokenError::Malformed;
  std::array<std::string_view, 3> parts;
  auto rest = text;
  for (auto &it : parts) {
    const auto dot = rest.find('.');
    if (dot == std::string_view::npos)
      return TokenError::Malformed;
    it = rest.substr(0, dot);
    rest.remove_prefix(dot + 1);
  }
  const auto payload = detail::decodeBase64(parts[2], Base64::Url);
  const auto signature = detail::decodeBase64(rest, Base64::Url);
  if (parts[0] != Version || !payload || payload->size() <= FixedPayload || !signature)
    return TokenError::Malformed;
  const auto key = keys.Keys.find(parts[1]);
  if (key == keys.Keys.end())
    return TokenError::UnknownKey;
  const auto expected = sign(key->second, text.substr(0, text.size() - rest.size() - 1));
  if (signature->size() != expected.size() ||
      CRYPTO_memcmp(signature->data(), expected.data(), expected.size()) != 0)
    return TokenError::BadSignature;
  const std::string_view bytes = *payload;
  return SessionToken{
      DatabaseId(bytes.substr(FixedPayload)),
      Position{readNumber(bytes.substr(NumberBytes)), readNumber(bytes.substr(2 * NumberBytes))},
      readNumber(bytes)};
}

} // namespace rosemaryhinge
