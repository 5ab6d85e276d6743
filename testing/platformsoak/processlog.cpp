// The log file of a proxy's process.

#include "platformsoak/processlog.h"

#include <algorithm>
#include <fstream>

namespace rosemaryhinge::platformsoak {

namespace {

constexpr std::string_view CountField = "count=";

bool isLeftOut(const std::string &line) { return line.find("log lines left out") != std::string::npos; }

} // namespace

std::vector<std::string> readLines(const std::string &file) {
  std::vector<std::string> out;
  std::ifstream in(file);
  for (std::string it; std::getline(in, it);)
    out.push_back(it);
  return out;
}

bool endsWithEnded(std::span<const std::string> lines) {
  return !lines.empty() && lines.back().find("message=ended") != std::string::npos;
}

bool names(std::span<const std::string> lines, std::string_view request) {
  return std::any_of(lines.begin(), lines.end(),
                     [&](const auto &it) { return it.find(request) != std::string::npos; });
}

std::uint64_t leftOut(std::span<const std::string> lines) {
  std::uint64_t out = 0;
  for (const auto &it : lines)
    if (const auto at = it.find(CountField); isLeftOut(it) && at != std::string::npos)
      out += std::stoull(it.substr(at + CountField.size()));
  return out;
}

} // namespace rosemaryhinge::platformsoak
