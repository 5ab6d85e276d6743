// Where adapters count what happens at them.

#pragma once

#include "base/time.h"

#include <string_view>

namespace rosemaryhinge {

class IMetrics {
public:
  virtual ~IMetrics() = default;

  /// Adds to a counter. The name is without prefix and may carry labels, as in `drops_total{why="late"}`.
  virtual void count(std::string_view name, double value = 1) = 0;
  /// Adds a measured duration to a summary.
  virtual void observe(std::string_view name, Duration value) = 0;
};

} // namespace rosemaryhinge
