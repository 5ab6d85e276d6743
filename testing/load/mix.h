// Mixes of work of the two deployments.

#pragma once

#include "load/operation.h"

#include <random>
#include <string>
#include <vector>

namespace rosemaryhinge::load {

struct Mix {
  std::string Name;
  std::vector<std::string> Databases;
  std::vector<std::string> Tables; ///< Statements that create what the work needs.
  std::vector<WorkClass> Classes;

  /// Draws a class by its weight.
  [[nodiscard]] const WorkClass &draw(std::mt19937_64 &random) const;
};

/// `paalisoft` or `openraad`. Throws std::runtime_error for another name.
[[nodiscard]] Mix namedMix(const std::string &name);

/// Statements of an operation: its work and, for a write, the row that the verification counts.
[[nodiscard]] std::vector<std::string> statementsOf(const Operation &operation, const std::string &run);
/// Body of the caller's request as JSON.
[[nodiscard]] std::string bodyOf(const Operation &operation, const std::string &run, const std::string &token,
                                 std::uint32_t deadlineMs);

} // namespace rosemaryhinge::load
