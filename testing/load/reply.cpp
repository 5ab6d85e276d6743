// Answer of a proxy as the load sees it.

#include "load/reply.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <nlohmann/json.hpp>

namespace rosemaryhinge::load {

namespace {

using Json = nlohmann::json;

Effect effectOf(const std::string &ran) {
  if (ran == "ran")
    return Effect::Ran;
  return ran == "not_run" ? Effect::NotRun : Effect::Unknown;
}

void readSuccess(const Json &json, Reply &out) {
  out.Ok = true;
  out.Outcome = Effect::Ran;
  out.Session = json.value("session", "");
  out.ByReplica = json.value("served_by_replica", false);
  out.Replayed = json.value("replayed", false);
  const auto &results = json.at("results");
  if (results.empty())
    return;
  for (const auto &row : results.back().at("rows")) {
    auto &cells = out.LastRows.emplace_back();
    for (const auto &cell : row)
      cells.push_back(cell.is_string() ? cell.get<std::string>() : "");
  }
}

template <typename T> std::optional<T> number(std::string_view text) {
  T out{};
  auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), out);
  return ec == std::errc{} && end == text.data() + text.size() ? std::optional(out) : std::nullopt;
}

bool equalNoCase(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
}

std::string_view trim(std::string_view text) {
  auto first = text.find_first_not_of(" \t\r");
  auto last = text.find_last_not_of(" \t\r");
  return first == std::string_view::npos ? "" : text.substr(first, last - first + 1);
}

} // namespace

void readBody(Reply &reply) {
  reply.Reason = "unreadable_answer";
  try {
    auto json = Json::parse(reply.Body);
    if (reply.Status == 200) {
      readSuccess(json, reply);
      reply.Reason.clear();
      return;
    }
    const auto &error = json.at("error");
    reply.Outcome = effectOf(error.at("ran").get<std::string>());
    reply.Reason = error.at("reason").get<std::string>();
  } catch (const Json::exception &) {
    reply.Ok = false;
    reply.Outcome = Effect::Unknown;
  }
}

std::optional<ResponseHead> parseResponseHead(std::string_view head) {
  ResponseHead out;
  auto end = head.find('\n');
  auto line = trim(head.substr(0, end));
  if (!line.starts_with("HTTP/1.") || line.size() < 12)
    return std::nullopt;
  auto status = number<int>(line.substr(9, 3));
  if (!status)
    return std::nullopt;
  out.Status = *status;
  std::optional<std::size_t> length;
  while (end != std::string_view::npos) {
    head.remove_prefix(end + 1);
    end = head.find('\n');
    line = trim(head.substr(0, end));
    auto colon = line.find(':');
    if (colon == std::string_view::npos)
      continue;
    auto value = trim(line.substr(colon + 1));
    if (equalNoCase(line.substr(0, colon), "content-length"))
      length = number<std::size_t>(value);
    else if (equalNoCase(line.substr(0, colon), "connection"))
      out.Close = equalNoCase(value, "close");
  }
  if (!length)
    return std::nullopt;
  out.Length = *length;
  return out;
}

} // namespace rosemaryhinge::load
