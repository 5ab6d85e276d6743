// Context that is passed to the event handlers: current time, configuration and random numbers, and the
// effects and journal records that the handlers add.

#pragma once

#include "base/time.h"
#include "protocol/effect.h"
#include "protocol/nodeconfig.h"
#include "protocol/rules.h"
#include "protocol/wallreading.h"

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace rosemaryhinge {

/// Record for the daily report. The reducer passes it to the journal module.
struct JournalEntry {
  std::string Kind; ///< Such as "promotion" or "settings_change".
  DatabaseId Database;
  std::string What;
  std::string Why;
  rosemaryhinge::Term Term = 0;
  std::uint64_t Revision = 0;
};

/// Valid while one event is processed.
struct Context {
  TimePoint Now;
  const NodeConfig &Self;
  std::uint64_t Incarnation;
  const rosemaryhinge::Rules &Rules;
  std::mt19937_64 &Random;
  rosemaryhinge::Effects &Effects;
  std::vector<JournalEntry> &Journal;
  std::uint64_t &NextNumber; ///< Source of call, connection and execution numbers; never zero.
  std::optional<WallClockReading>
      Wall{}; ///< Latest reading; none in tests and simulations that need no wall time.

  template <typename T> void emit(T effect) { Effects.emplace_back(std::move(effect)); }
  void record(JournalEntry entry) { Journal.push_back(std::move(entry)); }
  std::uint64_t nextNumber() { return ++NextNumber; }
  /// Returns a random duration in [0, below), so that proxies do not act simultaneously. `below` must be
  /// positive.
  Duration jitter(Duration below) {
    return Duration(static_cast<std::int64_t>(Random() % static_cast<std::uint64_t>(below.count())));
  }
  CallId call(Module owner) { return CallId{owner, nextNumber()}; }
};

} // namespace rosemaryhinge
