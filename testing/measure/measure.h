// Measurements in virtual time: each figure with its baseline on the same arrivals.

#pragma once

#include <string>
#include <vector>

namespace rosemaryhinge::measure {

struct Figure {
  std::string Name;
  std::string Deployment;
  double Value = 0;
  double Baseline = 0;
  std::string Unit;
  std::string Target;
};

/// All figures of one deployment that this program can take so far.
[[nodiscard]] std::vector<Figure> measureDeployment(const std::string &deployment);

} // namespace rosemaryhinge::measure
