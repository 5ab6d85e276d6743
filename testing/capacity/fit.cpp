// Least squares.

#include "capacity/fit.h"

#include <algorithm>
#include <cmath>

namespace rosemaryhinge::capacity {

Fit fitLine(std::span<const std::pair<double, double>> points) {
  Fit out;
  const auto n = static_cast<double>(points.size());
  double sumX = 0;
  double sumY = 0;
  double sumXX = 0;
  double sumXY = 0;
  double largest = 0;
  for (const auto &[x, y] : points) {
    sumX += x;
    sumY += y;
    sumXX += x * x;
    sumXY += x * y;
    largest = std::max(largest, y);
  }
  const auto spread = n * sumXX - sumX * sumX;
  out.Slope = spread == 0 ? 0 : (n * sumXY - sumX * sumY) / spread;
  out.Base = n == 0 ? 0 : (sumY - out.Slope * sumX) / n;
  for (const auto &[x, y] : points)
    out.Error = std::max(out.Error, std::abs(out.Base + out.Slope * x - y));
  out.Error = largest == 0 ? 0 : out.Error / largest;
  return out;
}

} // namespace rosemaryhinge::capacity
