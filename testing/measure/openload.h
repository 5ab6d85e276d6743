// Reads sent at fixed times to all proxies in turn, whatever becomes of the earlier ones.

#pragma once

#include "fakes/fleet.h"

#include <cstdint>
#include <string>
#include <vector>

namespace rosemaryhinge::measure {

struct LoadOptions {
  double PerSecond = 100;
  Duration Sleep = 20ms; ///< Time at the server.
  Duration Deadline = 5s;
  std::string Class = "default";
};

struct LoadResult {
  TimePoint SentAt;
  Duration Took{}; ///< Of a success.
  bool Succeeded = false;
};

class OpenLoad {
public:
  OpenLoad(fakes::Fleet &fleet, std::string name, LoadOptions options);

  /// Sends requests at the rate for the given time, beginning now. Does not wait.
  void start(Duration time, double perSecond);
  void start(Duration time) { start(time, Options.PerSecond); }

  std::vector<LoadResult> Results; ///< In the order of sending.

private:
  void send();

  fakes::Fleet &World;
  std::string Name;
  LoadOptions Options;
};

} // namespace rosemaryhinge::measure
