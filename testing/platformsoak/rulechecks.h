// The checks of a run besides LOST: writes that took effect twice, reads of stale logs, wrong answers,
// configurations.

#pragma once

#include "platformsoak/configoperator.h"
#include "platformsoak/observations.h"

#include <map>
#include <span>
#include <string>
#include <vector>

namespace rosemaryhinge::platformsoak {

struct Violation {
  std::string Rule, Text;
};

using Runs = std::map<std::string, std::vector<ServerRun>>;
using Commits = std::map<std::string, std::vector<std::uint64_t>>;
/// By proxy.
using Lives = std::vector<std::vector<ProcessLife>>;

/// The process of the proxy that ran at the time; nullptr if none is known.
[[nodiscard]] const ProcessLife *lifeAt(const Lives &lives, int proxy, Millis at);

/// TWICE: a statement took effect more than once.
[[nodiscard]] std::vector<Violation> checkTwice(const Commits &commits);
/// STALE: a successful read ran on a log below what it needs. MIXED: a success without the server's
/// signature, or with other rows.
[[nodiscard]] std::vector<Violation> checkAnswers(std::span<const Request> requests, const Runs &runs);
/// CONFIG: a database is found or missing as only older versions have it.
[[nodiscard]] std::vector<Violation> checkConfig(std::span<const ConfigVersion> versions,
                                                 std::span<const ConfigProbe> probes, const Lives &lives,
                                                 std::span<const Disruption> disruptions);

} // namespace rosemaryhinge::platformsoak
