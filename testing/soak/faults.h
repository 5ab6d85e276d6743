// Faults of the design page, as actions on a run.

#pragma once

#include "fakes/fleet.h"
#include "soak/settingsinforce.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace rosemaryhinge::soak {

enum class Fault : std::uint8_t {
  CutPrimary,
  CutPrimaryWithProxy,
  CutZone,
  CutProxy,
  CutOneWay,
  CutStore,
  ReplicaLag,
  DuplicateAnswers,
  CrossedAnswers,
  LateMessages,
  ProxyDeath,
  DeathInTransaction,
  Pause,
  StoreOutage,
  StoreSlow,
  StoreAnswerLost,
  SettingsEdit,
  SettingsRivals,
  RivalPromotion,
  DrainProxy,
  DrainTarget,
  PrimaryDown,
  ReplicaDown,
};
inline constexpr std::size_t FaultCount = 23;
[[nodiscard]] std::string_view toString(Fault fault);

/// Puts faults into a run and takes them back.
class Faults {
public:
  Faults(fakes::Fleet &fleet, SettingsInForce &settings) : World(fleet), Settings(settings) {}

  /// Starts the fault now; it ends by itself after the time, or by healAll.
  void inject(Fault fault, Duration time);
  /// Ends every fault and starts again what is stopped.
  void healAll();
  [[nodiscard]] const std::map<std::string, std::uint64_t> &counts() const { return Counts; }

  void editSettings(fakes::FakeProxy &proxy, std::uint64_t base, const std::string &changeId);

private:
  void later(Duration time, std::function<void()> undo);
  void count(const std::string &name) { ++Counts[name]; }
  void cut(const std::vector<fakes::Endpoint> &a, Duration time, bool oneWay = false);
  fakes::FakeGroup &anyGroup();
  fakes::FakeProxy *anyProxy(bool running);
  fakes::FakeServer *anyReplica(const fakes::FakeGroup &group);
  void cutNetwork(Fault fault, Duration time);
  void disturbLinks(Fault fault, Duration time);
  void disturbStore(Fault fault, Duration time);
  void disturbProxy(Fault fault, Duration time);
  void disturbTarget(Fault fault, Duration time);
  void rivalEdit();
  void rivalPromotion();
  void settingsSet();

  fakes::Fleet &World;
  SettingsInForce &Settings;
  std::map<std::string, std::uint64_t> Counts;
  std::uint64_t Epoch = 0; ///< Grows with healAll; undo actions of earlier epochs do nothing.
  std::uint64_t NextChange = 0;
};

} // namespace rosemaryhinge::soak
