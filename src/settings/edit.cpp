// Edits and differences of settings trees.

#include "settings/edit.h"

#include "settings/effective.h"

#include <algorithm>
#include <map>

namespace rosemaryhinge {

namespace {

std::string databaseList(const SettingsNode &node) {
  std::string out;
  for (const auto &it : node.Databases)
    out += (out.empty() ? "" : ",") + it.Database.str();
  return out;
}

/// Everything that a node says itself, by key.
std::map<std::string, std::string> ownText(const SettingsNode &node) {
  std::map<std::string, std::string> out;
  for (const auto &it : node.Overrides)
    out[it.Key] = it.Value;
  if (node.Kind == NodeKind::Service)
    out["databases"] = databaseList(node);
  if (node.Kind != NodeKind::Root)
    out["node"] = std::string(toString(node.Kind));
  return out;
}

void collect(const SettingsNode &node, const std::string &path,
             std::map<std::pair<std::string, std::string>, std::string> &out) {
  for (auto &[key, value] : ownText(node))
    out[{path, key}] = value;
  for (const auto &it : node.Children)
    collect(it, (path == "/" ? "" : path) + "/" + it.Name, out);
}

} // namespace

std::string applyEdit(SettingsNode &root, const SettingsEdit &edit) {
  auto *node = findNode(root, edit.Path);
  if (node == nullptr)
    return "no node at path '" + edit.Path + "'; 'settings get' lists the paths";
  auto known = std::find_if(node->Overrides.begin(), node->Overrides.end(),
                            [&](const auto &it) { return it.Key == edit.Key; });
  if (!edit.Value) {
    if (known == node->Overrides.end())
      return "'" + edit.Key + "' is not set at '" + edit.Path + "'";
    node->Overrides.erase(known);
    return {};
  }
  const auto *spec = findSetting(edit.Key);
  if (spec == nullptr)
    return "unknown key '" + edit.Key + "'; the nearest known key is '" +
           std::string(nearestSetting(edit.Key)) + "'";
  if (node->Kind > spec->Deepest)
    return "a " + std::string(toString(node->Kind)) + " cannot carry '" + edit.Key +
           "'; the deepest node that can is a " + std::string(toString(spec->Deepest));
  EffectiveSettings scratch;
  if (auto fault = setValue(*spec, *edit.Value, scratch); !fault.empty())
    return fault;
  if (known != node->Overrides.end())
    known->Value = *edit.Value;
  else
    node->Overrides.push_back({edit.Key, *edit.Value, {}});
  return {};
}

std::vector<SettingsDifference> diffTrees(const SettingsNode &before, const SettingsNode &after) {
  std::map<std::pair<std::string, std::string>, std::string> old;
  std::map<std::pair<std::string, std::string>, std::string> now;
  collect(before, "/", old);
  collect(after, "/", now);
  std::vector<SettingsDifference> out;
  for (const auto &[place, value] : old)
    if (auto it = now.find(place); it == now.end() || it->second != value)
      out.push_back({place.first, place.second, value, it == now.end() ? "" : it->second});
  for (const auto &[place, value] : now)
    if (!old.contains(place))
      out.push_back({place.first, place.second, "", value});
  return out;
}

} // namespace rosemaryhinge
