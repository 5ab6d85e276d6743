// HTTP/1.1 requests and responses, and the parser of a request's head.

#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace rosemaryhinge::standin {

struct HttpRequest {
  std::string Method;
  std::string Path; ///< Percent-decoded, without the query.
  std::map<std::string, std::string> Query;
  std::map<std::string, std::string> Headers; ///< Names in lower case.
  std::string Body;

  [[nodiscard]] std::optional<std::string> header(const std::string &name) const;
  /// Value of a query parameter as a number, or the fallback if it is absent or malformed.
  [[nodiscard]] std::uint64_t number(const std::string &name, std::uint64_t fallback) const;
};

struct HttpResponse {
  int Status = 200;
  std::string Body;
  std::map<std::string, std::string> Headers;
  bool Drop = false; ///< Close the connection without an answer.
};

using HttpReply = std::function<void(HttpResponse)>;
using HttpHandler = std::function<void(const HttpRequest &, HttpReply)>;

/// Parses request line and headers, up to but without the empty line. None if malformed.
[[nodiscard]] std::optional<HttpRequest> parseHttpHead(std::string_view head);
[[nodiscard]] std::string formatHttp(const HttpResponse &response);
[[nodiscard]] std::optional<std::uint64_t> parseNumber(std::string_view text);

} // namespace rosemaryhinge::standin
