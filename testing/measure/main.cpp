// rosemaryhinge-measure: prints the figures of the design page as JSON lines.

#include "measure/measure.h"

#include <cstdio>
#include <nlohmann/json.hpp>

int main() {
  for (const char *deployment : {"paalisoft", "openraad"})
    for (const auto &it : rosemaryhinge::measure::measureDeployment(deployment)) {
      nlohmann::ordered_json line = {{"name", it.Name}, {"deployment", it.Deployment}, {"value", it.Value}};
      // A baseline below zero was not measured.
      if (it.Baseline >= 0)
        line["baseline"] = it.Baseline;
      else
        line["baseline"] = nullptr;
      line["unit"] = it.Unit;
      line["target"] = it.Target;
      std::printf("%s\n", line.dump().c_str());
    }
  return 0;
}
