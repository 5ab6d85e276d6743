// Reads log lines and picks those that explain a request.

#include "ctl/explain.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <iomanip>
#include <istream>
#include <sstream>

namespace rosemaryhinge::ctl {

namespace {

using Millis = std::int64_t;

constexpr Millis Before = 5'000;
constexpr Millis After = 2'000;
/// Lines that are kept while the request's own line is looked for.
constexpr std::size_t MaxLines = 4'000'000;

/// Takes one value of key=value: plain, or a JSON string.
std::string takeValue(std::string_view &rest) {
  if (rest.empty() || rest.front() != '"') {
    const auto end = std::min(rest.find(' '), rest.size());
    std::string out(rest.substr(0, end));
    rest.remove_prefix(end);
    return out;
  }
  std::size_t end = 1;
  while (end < rest.size() && rest[end] != '"')
    end += rest[end] == '\\' ? 2 : 1;
  end = std::min(end + 1, rest.size());
  const auto value = nlohmann::json::parse(rest.substr(0, end), nullptr, false);
  rest.remove_prefix(end);
  return value.is_string() ? value.get<std::string>() : std::string();
}

LogFields parseJson(std::string_view line) {
  LogFields out;
  const auto object = nlohmann::json::parse(line, nullptr, false);
  if (object.is_object())
    for (const auto &[key, value] : object.items())
      if (value.is_string())
        out[key] = value.get<std::string>();
  return out;
}

std::string_view field(const LogFields &fields, std::string_view name) {
  const auto it = fields.find(name);
  return it == fields.end() ? std::string_view() : std::string_view(it->second);
}

/// Milliseconds since the epoch of a time such as 2026-07-13T21:16:25.022Z.
std::optional<Millis> timeOf(const LogFields &fields) {
  const std::string text(field(fields, "time"));
  std::istringstream in(text);
  std::tm day{};
  in >> std::get_time(&day, "%Y-%m-%dT%H:%M:%S");
  if (in.fail())
    return std::nullopt;
  Millis fraction = 0;
  if (in.peek() == '.') {
    in.get();
    in >> fraction;
  }
  return static_cast<Millis>(::timegm(&day)) * 1'000 + fraction;
}

struct Line {
  std::string Text;
  LogFields Fields;
  Millis At = 0;
};

/// Whether a line tells of something that may have decided the request.
bool related(const Line &line, const Line &request) {
  if (field(line.Fields, "message") == "statement")
    return false;
  const auto same = [&](std::string_view name) {
    const auto value = field(request.Fields, name);
    return !value.empty() && value == field(line.Fields, name);
  };
  return same("service") || same("server") ||
         (same("node") && field(line.Fields, "message") != "session refused");
}

} // namespace

LogFields parseLogLine(std::string_view line) {
  const auto start = line.find_first_of("{t");
  if (start == std::string_view::npos)
    return {};
  if (line[start] == '{')
    return parseJson(line.substr(start));
  // Whatever collects the lines may put words in front of them.
  const auto time = line.find("time=");
  LogFields out;
  if (time == std::string_view::npos)
    return out;
  for (auto rest = line.substr(time); !rest.empty();) {
    const auto equal = rest.find('=');
    if (equal == std::string_view::npos)
      break;
    const std::string key(rest.substr(0, equal));
    rest.remove_prefix(equal + 1);
    out[key] = takeValue(rest);
    rest.remove_prefix(std::min(rest.find_first_not_of(' '), rest.size()));
  }
  return out;
}

Explanation explainRequest(std::string_view id, const std::vector<std::istream *> &logs) {
  std::vector<Line> others;
  std::vector<Line> own;
  for (auto *in : logs)
    for (std::string text; std::getline(*in, text);) {
      Line line{text, parseLogLine(text), 0};
      const auto at = timeOf(line.Fields);
      if (!at)
        continue;
      line.At = *at;
      if (field(line.Fields, "request") == id)
        own.push_back(std::move(line));
      else if (field(line.Fields, "message") != "statement" && others.size() < MaxLines)
        others.push_back(std::move(line));
    }
  std::stable_sort(others.begin(), others.end(), [](const Line &a, const Line &b) { return a.At < b.At; });
  Explanation out;
  for (const auto &it : own)
    out.Request.push_back(it.Text);
  for (const auto &line : others)
    if (std::any_of(own.begin(), own.end(), [&](const Line &it) {
          return line.At >= it.At - Before && line.At <= it.At + After && related(line, it);
        }))
      out.Around.push_back(line.Text);
  return out;
}

} // namespace rosemaryhinge::ctl
