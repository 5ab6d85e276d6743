// Where requests and answers carry the session token: body field, header or cookie.

#pragma once

#include "callers/callercodec.h"

#include <string>

namespace rosemaryhinge::detail {

/// The token of a request: of the body if it has one, else of the header, else of the cookie. Empty if there
/// is none.
[[nodiscard]] std::string carriedToken(const HttpRequest &http, std::string ofBody);
/// Adds the header and the cookie of the token to a response.
void addToken(HttpResponse &response, const DatabaseId &database, const std::string &token);

} // namespace rosemaryhinge::detail
