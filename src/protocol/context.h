// What a decision function may use besides its own state.

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

struct JournalEntry {
  std::string Kind; ///< Such as "promotion" or "settings_change".
  DatabaseId Database;
  std::string What;
  std::string Why;
  rosemaryhinge::Term Term = 0;
  std::uint64_t Revision = 0;
};

/// Handed to every decision function for the length of one event.
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
  /// A random time below a positive limit, so that proxies do not act at the same moment.
  Duration jitter(Duration below) {
    return Duration(static_cast<std::int64_t>(Random() % static_cast<std::uint64_t>(below.count())));
  }
  CallId call(Module owner) { return CallId{owner, nextNumber()}; }
};

} // namespace rosemaryhinge
