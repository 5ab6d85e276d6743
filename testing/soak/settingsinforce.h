// Checker of settings_in_force.

#pragma once

#include "soak/checker.h"

#include <cstdint>
#include <map>
#include <vector>

namespace rosemaryhinge::soak {

/// An accepted revision is in force on every reachable proxy within 4 s, and no process goes back to an
/// earlier one.
class SettingsInForce : public Checker {
public:
  explicit SettingsInForce(fakes::Fleet &fleet) : Checker(fleet, "settings_in_force") {}

  /// A proxy has told the operator that the revision is accepted.
  void accepted(std::uint64_t revision, const fakes::FakeProxy &by);
  void onProxyStarted(const fakes::FakeProxy &proxy) override;
  void onAfterEvent(const fakes::FakeProxy &proxy) override;

  [[nodiscard]] const std::vector<Duration> &delays() const { return Delays; }

private:
  struct Change {
    std::uint64_t Revision = 0;
    TimePoint At;
    const fakes::FakeProxy *By = nullptr;
    std::uint64_t ByIncarnation = 0;
  };
  void check(const Change &change);

  std::map<std::size_t, std::uint64_t> InForce;
  std::vector<Duration> Delays; ///< From acceptance until in force, per change and proxy.
  std::vector<Change> Waiting;
  TimePoint StoreImpairedAt;
};

} // namespace rosemaryhinge::soak
