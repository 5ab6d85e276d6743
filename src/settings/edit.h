// Changes to a settings tree, and the differences between two trees.

#pragma once

#include "settings/tree.h"

#include <optional>
#include <string>
#include <vector>

namespace rosemaryhinge {

/// One override to set, or to remove if there is no value.
struct SettingsEdit {
  std::string Path;
  std::string Key;
  std::optional<std::string> Value;
};

/// What changed at one node. For a node that was added or removed, Key is "node"; for the databases of a
/// service, "databases".
struct SettingsDifference {
  std::string Path;
  std::string Key;
  std::string Old; ///< Empty if there was no override.
  std::string New; ///< Empty if the override was removed.

  bool operator==(const SettingsDifference &) const = default;
};

/// Applies one edit. Returns what is wrong with the edit, or an empty text; values are checked by parseTree.
[[nodiscard]] std::string applyEdit(SettingsNode &root, const SettingsEdit &edit);
[[nodiscard]] std::vector<SettingsDifference> diffTrees(const SettingsNode &before,
                                                        const SettingsNode &after);

} // namespace rosemaryhinge
