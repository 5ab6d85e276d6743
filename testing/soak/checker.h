// Base of the checkers: each watches one invariant of a run and reports by its name.

#pragma once

#include "fakes/fleet.h"

#include <string>
#include <vector>

namespace rosemaryhinge::soak {

struct Violation {
  std::string Invariant;
  std::string Detail;
  TimePoint At;
};

class Checker : public fakes::IObserver {
public:
  Checker(fakes::Fleet &fleet, std::string name) : World(fleet), Name(std::move(name)) {}

  [[nodiscard]] const std::string &name() const { return Name; }
  [[nodiscard]] const std::vector<Violation> &violations() const { return Found; }
  /// Called once all faults are healed and the run has settled.
  virtual void atEnd() {}

protected:
  void fail(const std::string &detail);

  fakes::Fleet &World;

private:
  std::string Name;
  std::vector<Violation> Found;
};

} // namespace rosemaryhinge::soak
