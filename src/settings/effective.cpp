// Inheritance: a node takes its parent's values and applies its own overrides.

#include "settings/effective.h"

namespace rosemaryhinge {

namespace {

void walk(const SettingsNode &node, EffectiveNode inherited, std::vector<EffectiveNode> &out) {
  inherited.Node = &node;
  if (node.Kind != NodeKind::Root)
    inherited.Path += (inherited.Path == "/" ? "" : "/") + node.Name;
  for (const auto &it : node.Overrides)
    if (const auto *spec = findSetting(it.Key);
        spec != nullptr && setValue(*spec, it.Value, inherited.Values).empty())
      inherited.Origins[it.Key] = inherited.Path;
  out.push_back(inherited);
  for (const auto &child : node.Children)
    walk(child, inherited, out);
}

} // namespace

std::string EffectiveNode::origin(std::string_view key) const {
  auto it = Origins.find(key);
  return it == Origins.end() ? std::string() : it->second;
}

std::vector<EffectiveNode> effectiveNodes(const SettingsNode &root) {
  std::vector<EffectiveNode> out;
  walk(root, {"/", nullptr, {}, {}}, out);
  return out;
}

bool isBelow(std::string_view path, std::string_view prefix) {
  if (prefix.empty() || prefix == "/" || path == prefix)
    return true;
  return path.size() > prefix.size() && path.starts_with(prefix) && path[prefix.size()] == '/';
}

} // namespace rosemaryhinge
