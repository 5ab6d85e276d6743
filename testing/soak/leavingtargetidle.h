// Checker of leaving_target_idle.

#pragma once

#include "soak/checker.h"

#include <map>

namespace rosemaryhinge::soak {

/// A proxy that could read the list gives a leaving target no new work once 3 s have passed.
class LeavingTargetIdle : public Checker {
public:
  explicit LeavingTargetIdle(fakes::Fleet &fleet) : Checker(fleet, "leaving_target_idle") {}

  void onTargetListedLeaving(const TargetId &target, bool leaving) override;
  void onWorkStarted(const fakes::FakeServer &server, std::size_t proxy) override;
  void onAfterEvent(const fakes::FakeProxy &proxy) override;

private:
  std::map<TargetId, TimePoint> ListedAt;
  TimePoint StoreImpairedAt;
};

} // namespace rosemaryhinge::soak
