// The report of a run: every cut request, every stop, and the violations.

#pragma once

#include "platformsoak/lostrule.h"
#include "platformsoak/rulechecks.h"

#include <iosfwd>
#include <vector>

namespace rosemaryhinge::platformsoak {

struct RunFigures {
  int Stops = 0;
  int Served = 0, Failed = 0, Sessions = 0;
  int Lost = 0;
  int LostUnnamed = 0;    ///< No line of the process's log has the request's id.
  int ServedWhileCut = 0; ///< Cut requests that a server had, with any verdict.
  int BadEnds = 0;        ///< Stopped processes without an orderly end, or ends without a stop.
  std::uint64_t LinesLeftOut = 0;
  std::map<std::string, int> Refusals; ///< Of statements on keyed (or anonymous) routes, by code.
  std::map<std::string, int> Rules;    ///< Violations by rule.
};

class Report {
public:
  Report(std::ostream &out, const Lives &lives) : Out(out), All(lives) {}
  void stops(RunFigures &figures);
  void cuts(const std::vector<Request> &requests, const Runs &runs,
            const std::vector<Disruption> &disruptions, RunFigures &figures);
  void refusals(const std::vector<Request> &requests, RunFigures &figures);
  void violations(const std::vector<Violation> &found, RunFigures &figures);
  void summary(const RunFigures &figures);

private:
  void cut(const Request &request, const std::vector<ServerRun> &runs, const ProcessLife &life,
           LostVerdict verdict, RunFigures &figures);
  std::ostream &Out;
  const Lives &All;
};

} // namespace rosemaryhinge::platformsoak
