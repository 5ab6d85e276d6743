// The settings tree: nodes with overrides, read from and written to YAML.

#pragma once

#include "base/finding.h"
#include "settings/schema.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rosemaryhinge {

/// A place in the text of the tree. 0: the node was not read from a text.
struct SourcePlace {
  int Line = 0;
  int Column = 0;
};

struct SettingOverride {
  std::string Key;
  std::string Value;
  SourcePlace At;
};

struct DatabaseName {
  DatabaseId Database;
  SourcePlace At;
};

struct SettingsNode {
  NodeKind Kind = NodeKind::Root;
  std::string Name; ///< Empty for the root.
  SourcePlace At;
  std::vector<SettingOverride> Overrides;
  std::vector<DatabaseName> Databases; ///< Of a service.
  std::vector<SettingsNode> Children;  ///< Groups and services of a group, classes of a service.

  [[nodiscard]] const SettingOverride *find(std::string_view key) const;
  [[nodiscard]] const SettingsNode *child(std::string_view name) const;
};

/// An accepted revision may come from a proxy of a newer release that knows more keys; such keys are skipped.
enum class UnknownKeys : std::uint8_t { Refuse, Skip };

struct ParsedTree {
  SettingsNode Root;
  Diagnostics Found; ///< Empty if the tree is valid. All faults are reported together.
};

[[nodiscard]] ParsedTree parseTree(std::string_view file, std::string_view text,
                                   UnknownKeys unknown = UnknownKeys::Refuse);
/// YAML text. Comments of an earlier text are not part of the tree.
[[nodiscard]] std::string formatTree(const SettingsNode &root);
/// Node at a path such as "/group/service/class"; "/" is the root. Null if there is none.
[[nodiscard]] SettingsNode *findNode(SettingsNode &root, std::string_view path);
[[nodiscard]] const SettingsNode *findNode(const SettingsNode &root, std::string_view path);

} // namespace rosemaryhinge
