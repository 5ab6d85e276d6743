// Straight lines through measured points.

#pragma once

#include <span>
#include <utility>

namespace rosemaryhinge::capacity {

/// Least squares: y = Base + Slope * x. Error is the largest deviation of a point, as a part of the largest
/// y.
struct Fit {
  double Base = 0;
  double Slope = 0;
  double Error = 0;
};

[[nodiscard]] Fit fitLine(std::span<const std::pair<double, double>> points);

} // namespace rosemaryhinge::capacity
