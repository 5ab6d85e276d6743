// Checks pairs of effective values at every node.

#include "settings/internal/limits.h"

#include "settings/effective.h"

#include <array>

namespace rosemaryhinge::detail {

namespace {

struct LimitPair {
  std::string_view Lower;
  std::string_view Upper;
  bool (*Holds)(const EffectiveSettings &);
  std::string_view Why;
};

constexpr std::array Pairs = {
    LimitPair{"read.wait", "deadline.default",
              [](const auto &s) { return s.Class.ReadWait <= s.Class.DefaultDeadline; },
              "a read would wait past its deadline"},
    LimitPair{"failover.suspect_after", "failover.takeover_after",
              [](const auto &s) { return s.Database.SuspectAfter <= s.Database.TakeoverAfter; },
              "another proxy would take over before the primary is suspected"},
    LimitPair{"acknowledge.window", "failover.suspect_after",
              [](const auto &s) { return s.Database.AckWindow <= s.Database.SuspectAfter; },
              "acknowledgements would outlast the suspicion of the primary"},
    LimitPair{"status.interval", "acknowledge.window",
              [](const auto &s) { return s.Database.StatusInterval <= s.Database.AckWindow; },
              "the window would end between two confirmations"},
    LimitPair{"slots.warm_connections", "slots.connections",
              [](const auto &s) { return s.Database.WarmConnections <= s.Database.SlotConnections; },
              "more connections would be kept open than a slot allows"},
};

} // namespace

void checkLimits(std::string_view file, const SettingsNode &root, Diagnostics &findings) {
  for (const auto &node : effectiveNodes(root)) {
    for (const auto &pair : Pairs) {
      const auto *lower = node.Node->find(pair.Lower);
      const auto *upper = node.Node->find(pair.Upper);
      if ((lower == nullptr && upper == nullptr) || pair.Holds(node.Values))
        continue;
      const auto *at = lower != nullptr ? lower : upper;
      auto text = [&](std::string_view key) {
        auto origin = node.origin(key);
        return std::string(key) + " " + formatValue(*findSetting(key), node.Values) + " (from " +
               (origin.empty() ? "the default" : origin) + ")";
      };
      findings.push_back({std::string(file), at->At.Line, at->At.Column,
                          "limits contradict each other at " + node.Path + ": " + text(pair.Lower) +
                              " is above " + text(pair.Upper) + "; " + std::string(pair.Why)});
    }
  }
}

} // namespace rosemaryhinge::detail
