// One randomised run with all checkers.

#pragma once

#include "protocol/rules.h"
#include "soak/checker.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rosemaryhinge::soak {

struct RunOptions {
  std::uint64_t Seed = 1;
  rosemaryhinge::Rules Rules;
  bool Trace = false;
};

struct RunResult {
  std::uint64_t Seed = 0;
  std::vector<Violation> Violations;
  std::map<std::string, std::uint64_t> Counts;
};

[[nodiscard]] RunResult runOnce(const RunOptions &options);
/// Switches the rule behind an invariant off. Empty if no invariant has this name.
[[nodiscard]] std::optional<Rules> rulesWithout(std::string_view invariant);
/// Names that rulesWithout knows.
[[nodiscard]] std::vector<std::string> breakableInvariants();

} // namespace rosemaryhinge::soak
