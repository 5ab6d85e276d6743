// Session tokens: what a session has written, authenticated with HMAC-SHA256 by keys that rotate.

#pragma once

#include "base/id.h"
#include "base/position.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace rosemaryhinge {

/// Contents of the platform object keys/session. Tokens are signed with the current key; those of any listed
/// key are accepted, so a key stays listed for as long as its tokens are in use.
struct SessionKeys {
  std::string Current;
  std::map<std::string, std::string, std::less<>> Keys; ///< Raw bytes by key id.
};

/// Reads {"current":"id","keys":{"id":"base64"}}. On failure the variant holds what is wrong and where.
[[nodiscard]] std::variant<SessionKeys, std::string> parseSessionKeys(std::string_view json);

struct SessionToken {
  DatabaseId Database;
  Position At;
  std::uint64_t Session = 0; ///< Random number of the session: the unit of fair sharing.

  bool operator==(const SessionToken &) const = default;
};

enum class TokenError : std::uint8_t { Malformed, UnknownKey, BadSignature };
[[nodiscard]] std::string_view toString(TokenError error);

/// Text that is safe in a header and in a cookie. Requires keys with a current one.
[[nodiscard]] std::string encodeToken(const SessionToken &token, const SessionKeys &keys);
[[nodiscard]] std::variant<SessionToken, TokenError> decodeToken(std::string_view text,
                                                                 const SessionKeys &keys);

} // namespace rosemaryhinge
