// Liveness at the end of a run.

#include "soak/liveness.h"

namespace rosemaryhinge::soak {

namespace {

constexpr Duration Bound = 6s;
/// Within the bound a caller may try again, as callers do.
constexpr Duration Deadline = 2s;

bool eventually(fakes::Fleet &fleet, fakes::FakeCaller &caller, bool write) {
  auto until = fleet.Queue.now() + Bound;
  while (fleet.Queue.now() < until) {
    caller.runOnce(write);
    while (!caller.idle() && fleet.Queue.now() < until)
      fleet.runFor(20ms);
    if (caller.Last && std::holds_alternative<Success>(*caller.Last))
      return true;
    fleet.runFor(100ms);
  }
  return false;
}

std::string describe(const fakes::FakeCaller &caller, const DatabaseId &database, bool write) {
  std::string out = std::string("no ") + (write ? "write" : "read") + " succeeds on " + database.str() +
                    " after all faults are healed";
  if (caller.Last)
    if (const auto *it = std::get_if<Refusal>(&*caller.Last))
      out += ": " + std::string(toString(it->Reason));
  return out;
}

} // namespace

std::vector<Violation> checkLiveness(fakes::Fleet &fleet) {
  std::vector<Violation> out;
  for (const auto &group : fleet.Plan.Groups) {
    fakes::CallerProfile profile;
    profile.Database = group.Database;
    profile.Deadline = Deadline;
    auto &caller = fleet.addCaller(profile);
    caller.stop();
    for (bool write : {true, false})
      if (!eventually(fleet, caller, write)) {
        out.push_back({"liveness", describe(caller, group.Database, write), fleet.Queue.now()});
        fleet.trace("VIOLATION liveness: " + out.back().Detail);
      }
  }
  return out;
}

} // namespace rosemaryhinge::soak
