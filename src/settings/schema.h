// Published schema of the settings: one table of every key, its unit, range, default and place.

#pragma once

#include "protocol/policy.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <variant>

namespace rosemaryhinge {

enum class NodeKind : std::uint8_t { Root, Group, Service, Class };
[[nodiscard]] std::string_view toString(NodeKind kind);

/// Settings of the fleet as a whole; only the root carries them.
struct TreePolicy {
  std::uint32_t HistoryLimit = 200;
};

/// All settings that hold at one node, after inheritance.
struct EffectiveSettings {
  ClassPolicy Class;
  DatabasePolicy Database;
  TreePolicy Tree;
};

/// The field that a key sets. Its type decides the unit.
using SettingField =
    std::variant<AckStrength ClassPolicy::*, bool ClassPolicy::*, Lane ClassPolicy::*,
                 Duration ClassPolicy::*, Duration DatabasePolicy::*, double DatabasePolicy::*,
                 std::uint32_t DatabasePolicy::*, std::uint32_t TreePolicy::*>;

struct SettingSpec {
  std::string_view Key;
  std::string_view Meaning;
  SettingField Field;
  double Min = 0; ///< Microseconds for durations. Not used by words and flags.
  double Max = 0;
  NodeKind Deepest = NodeKind::Class; ///< Nodes from the root down to this kind carry the key.
};

[[nodiscard]] std::span<const SettingSpec> schema();
[[nodiscard]] const SettingSpec *findSetting(std::string_view key);
/// The known key that differs least from an unknown one.
[[nodiscard]] std::string_view nearestSetting(std::string_view key);
/// "duration", "share", "count", "flag" or the allowed words.
[[nodiscard]] std::string_view unitName(const SettingSpec &spec);

/// Row of the table in docs/settings.md; a test keeps the page and the schema alike.
[[nodiscard]] std::string schemaRow(const SettingSpec &spec);

/// Sets the field. Returns what is wrong with the text, or an empty text.
[[nodiscard]] std::string setValue(const SettingSpec &spec, std::string_view text, EffectiveSettings &out);
/// Text of the field in the form that setValue reads.
[[nodiscard]] std::string formatValue(const SettingSpec &spec, const EffectiveSettings &values);
/// Text of a bound of the range, in the unit of the key.
[[nodiscard]] std::string formatBound(const SettingSpec &spec, double bound);

} // namespace rosemaryhinge
