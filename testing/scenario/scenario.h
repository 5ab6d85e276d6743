// A scripted run: times, faults, requests and expectations, as read from YAML.

#pragma once

#include "base/finding.h"
#include "base/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rosemaryhinge::scenario {

/// One line of the script. It runs at a time since the start, or as soon as a condition holds.
struct Step {
  std::optional<Duration> At;
  std::string When;      ///< Such as "ordered db0"; empty if At is given.
  Duration Within = 10s; ///< How long When is awaited.
  std::string Action;    ///< Such as "cut" or "expect".
  std::vector<std::string> Subjects;
  std::map<std::string, std::string> Fields;
  int Line = 0;
};

struct Scenario {
  std::string File;
  std::string Name;
  std::string Deployment = "paalisoft";
  std::size_t Nodes = 3;
  std::size_t Databases = 1;
  std::size_t Callers = 4;
  Duration Think = 80ms;
  std::uint64_t Seeds = 3; ///< The scenario is played with this many seeds.
  Duration Settling = 10s;
  std::vector<Step> Steps;
};

/// Reads a scenario; faults of the text are added to the findings with their lines.
[[nodiscard]] Scenario parseScenario(const std::string &file, const std::string &text, Diagnostics &findings);

} // namespace rosemaryhinge::scenario
