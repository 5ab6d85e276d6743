// Effective settings of every node of a tree, after inheritance.

#pragma once

#include "settings/tree.h"

#include <map>
#include <string>
#include <vector>

namespace rosemaryhinge {

struct EffectiveNode {
  std::string Path;
  const SettingsNode *Node = nullptr; ///< Belongs to the tree that was given.
  EffectiveSettings Values;
  std::map<std::string, std::string, std::less<>> Origins; ///< Path of the node that sets a key.

  /// Path of the node that sets the key; empty for the default of the schema.
  [[nodiscard]] std::string origin(std::string_view key) const;
};

/// All nodes in the order of the tree, parents first.
[[nodiscard]] std::vector<EffectiveNode> effectiveNodes(const SettingsNode &root);
/// True if path is prefix or lies below it.
[[nodiscard]] bool isBelow(std::string_view path, std::string_view prefix);

} // namespace rosemaryhinge
