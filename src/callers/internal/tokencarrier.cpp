// Where requests and answers carry the session token: body field, header or cookie.

#include "callers/internal/tokencarrier.h"

#include "callers/internal/callerpath.h"

namespace rosemaryhinge::detail {

namespace {

constexpr std::string_view TokenHeader = "X-Session-Token";
constexpr std::string_view CookieName = "rh_session";

std::string_view cookie(const HttpRequest &http) {
  for (auto it : split(http.header("Cookie"), ';')) {
    while (it.starts_with(' '))
      it.remove_prefix(1);
    if (it.starts_with(CookieName) && it.substr(CookieName.size()).starts_with('='))
      return it.substr(CookieName.size() + 1);
  }
  return {};
}

} // namespace

std::string carriedToken(const HttpRequest &http, std::string ofBody) {
  std::string token = std::move(ofBody);
  if (token.empty())
    token = http.header(TokenHeader);
  if (token.empty())
    token = cookie(http);
  return token;
}

void addToken(HttpResponse &response, const DatabaseId &database, const std::string &token) {
  response.Headers.emplace_back(TokenHeader, token);
  // One cookie per database: a session's positions in two databases are not comparable.
  response.Headers.emplace_back("Set-Cookie", std::string(CookieName) + "=" + token + "; Path=/v1/db/" +
                                                  encodePart(database.str()) + "; HttpOnly; SameSite=Strict");
}

} // namespace rosemaryhinge::detail
