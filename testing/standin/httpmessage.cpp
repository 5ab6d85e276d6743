// HTTP/1.1 requests and responses.

#include "standin/httpmessage.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace rosemaryhinge::standin {

namespace {

std::optional<std::string> percentDecode(std::string_view text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      out.push_back(text[i]);
      continue;
    }
    unsigned char byte = 0;
    if (i + 2 >= text.size())
      return std::nullopt;
    const auto *first = text.data() + i + 1;
    if (auto [end, ec] = std::from_chars(first, first + 2, byte, 16); ec != std::errc{} || end != first + 2)
      return std::nullopt;
    out.push_back(static_cast<char>(byte));
    i += 2;
  }
  return out;
}

std::string lower(std::string_view text) {
  std::string out(text);
  std::transform(out.begin(), out.end(), out.begin(), [](unsigned char c) { return std::tolower(c); });
  return out;
}

std::string_view trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
    text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t' || text.back() == '\r'))
    text.remove_suffix(1);
  return text;
}

bool parseQuery(std::string_view text, std::map<std::string, std::string> &out) {
  while (!text.empty()) {
    auto part = text.substr(0, text.find('&'));
    text.remove_prefix(std::min(text.size(), part.size() + 1));
    auto equals = part.find('=');
    auto name = percentDecode(part.substr(0, equals));
    auto value = percentDecode(equals == std::string_view::npos ? "" : part.substr(equals + 1));
    if (!name || !value)
      return false;
    out[*name] = *value;
  }
  return true;
}

bool parseRequestLine(std::string_view line, HttpRequest &out) {
  auto first = line.find(' ');
  auto last = line.rfind(' ');
  if (first == std::string_view::npos || first == last || !line.substr(last + 1).starts_with("HTTP/1."))
    return false;
  out.Method = line.substr(0, first);
  auto target = line.substr(first + 1, last - first - 1);
  auto question = target.find('?');
  auto path = percentDecode(target.substr(0, question));
  if (!path)
    return false;
  out.Path = *path;
  return question == std::string_view::npos || parseQuery(target.substr(question + 1), out.Query);
}

std::string_view statusText(int status) {
  switch (status) {
  case 200:
    return "OK";
  case 400:
    return "Bad Request";
  case 404:
    return "Not Found";
  case 409:
    return "Conflict";
  case 413:
    return "Payload Too Large";
  default:
    return "Status";
  }
}

} // namespace

std::optional<std::uint64_t> parseNumber(std::string_view text) {
  std::uint64_t out = 0;
  auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), out);
  if (ec != std::errc{} || end != text.data() + text.size())
    return std::nullopt;
  return out;
}

std::optional<std::string> HttpRequest::header(const std::string &name) const {
  auto it = Headers.find(name);
  return it == Headers.end() ? std::nullopt : std::optional(it->second);
}

std::uint64_t HttpRequest::number(const std::string &name, std::uint64_t fallback) const {
  auto it = Query.find(name);
  return it == Query.end() ? fallback : parseNumber(it->second).value_or(fallback);
}

std::optional<HttpRequest> parseHttpHead(std::string_view head) {
  HttpRequest out;
  auto end = head.find('\n');
  if (!parseRequestLine(trim(head.substr(0, end)), out))
    return std::nullopt;
  while (end != std::string_view::npos) {
    head.remove_prefix(end + 1);
    end = head.find('\n');
    auto line = trim(head.substr(0, end));
    if (line.empty())
      continue;
    auto colon = line.find(':');
    if (colon == std::string_view::npos)
      return std::nullopt;
    out.Headers[lower(line.substr(0, colon))] = trim(line.substr(colon + 1));
  }
  return out;
}

std::string formatHttp(const HttpResponse &response) {
  std::string out = "HTTP/1.1 " + std::to_string(response.Status) + " ";
  out += statusText(response.Status);
  for (const auto &[name, value] : response.Headers)
    out.append("\r\n").append(name).append(": ").append(value);
  out += "\r\nContent-Length: " + std::to_string(response.Body.size()) + "\r\n\r\n" + response.Body;
  return out;
}

} // namespace rosemaryhinge::standin
