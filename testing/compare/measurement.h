// Closed-loop measurement of one path with several workers.

#pragma once

#include "compare/ipath.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace rosemaryhinge::compare {

struct Sample {
  std::size_t Answers = 0;
  std::size_t Failures = 0;
  double PerSecond = 0;
  double P50Ms = 0;
  double P99Ms = 0;
};

using PathMaker = std::function<std::unique_ptr<IPath>()>;

/// Runs workers, each with a path of its own, for the given time. Write runs updates instead of reads.
[[nodiscard]] Sample measure(const PathMaker &maker, std::size_t workers, std::chrono::milliseconds length,
                             bool write);

} // namespace rosemaryhinge::compare
