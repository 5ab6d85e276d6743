// Checker of invariants that the decision logic itself reports as broken.

#pragma once

#include "soak/checker.h"

namespace rosemaryhinge::soak {

/// No run makes a proxy emit InvariantBroken.
class ReportedInvariants : public Checker {
public:
  explicit ReportedInvariants(fakes::Fleet &fleet) : Checker(fleet, "invariant_broken") {}

  void onEffect(const fakes::FakeProxy &proxy, const Effect &effect) override {
    if (const auto *it = std::get_if<InvariantBroken>(&effect))
      fail(proxy.config().Node.str() + " reports " + it->Invariant + ": " + it->Detail);
  }
};

} // namespace rosemaryhinge::soak
