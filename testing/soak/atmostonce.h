// Checker of at_most_once.

#pragma once

#include "soak/checker.h"

namespace rosemaryhinge::soak {

/// No log holds two commits of one operation.
class AtMostOnce : public Checker {
public:
  explicit AtMostOnce(fakes::Fleet &fleet) : Checker(fleet, "at_most_once") {}

  void onCommitted(const fakes::FakeServer &server, const fakes::LogEntry &entry) override {
    if (!entry.Tag.empty() && entry.Done && server.contains(entry.Tag))
      fail("operation " + entry.Tag + " ran a second time at " + server.name().str());
  }
};

} // namespace rosemaryhinge::soak
