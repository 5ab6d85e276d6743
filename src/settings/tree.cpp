// Reading and writing of the settings tree.

#include "settings/tree.h"

#include "settings/internal/limits.h"
#include "settings/internal/yamldocument.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <map>
#include <utility>
#include <yaml-cpp/emitter.h>

namespace rosemaryhinge {

namespace {

using detail::YamlNode;

/// Groups in groups; deeper trees are harder to read than to flatten.
constexpr int MaxGroupDepth = 6;
constexpr std::size_t MaxNameLength = 64;
constexpr std::array<std::string_view, 5> Sections = {"settings", "groups", "services", "databases",
                                                      "classes"};

class Reader {
public:
  Reader(std::string_view file, UnknownKeys unknown, Diagnostics &findings)
      : File(file), Unknown(unknown), Found(findings) {}

  void read(const YamlNode &in, SettingsNode &out, int depth) {
    if (in.Kind == YamlNode::Type::Null)
      return;
    if (in.Kind != YamlNode::Type::Map) {
      report(in, "wrong nesting: a " + std::string(toString(out.Kind)) + " must be a map");
      return;
    }
    for (std::size_t i = 0; i < in.Keys.size(); ++i)
      readSection(in.Keys[i], in.Items[i], out, depth);
  }

private:
  void report(const YamlNode &at, std::string message) {
    Found.push_back({File, at.Line, at.Column, std::move(message)});
  }

  void readSection(const YamlNode &key, const YamlNode &value, SettingsNode &out, int depth) {
    bool holdsGroups = out.Kind == NodeKind::Root || out.Kind == NodeKind::Group;
    if (key.Text == "settings")
      readOverrides(value, out);
    else if (key.Text == "groups" && holdsGroups)
      readChildren(value, out, NodeKind::Group, depth);
    else if (key.Text == "services" && out.Kind == NodeKind::Group)
      readChildren(value, out, NodeKind::Service, depth);
    else if (key.Text == "databases" && out.Kind == NodeKind::Service)
      readDatabases(value, out);
    else if (key.Text == "classes" && out.Kind == NodeKind::Service)
      readChildren(value, out, NodeKind::Class, depth);
    else
      reportSection(key, out);
  }

  void reportSection(const YamlNode &key, const SettingsNode &out) {
    if (std::find(Sections.begin(), Sections.end(), key.Text) != Sections.end())
      report(key, "wrong nesting: a " + std::string(toString(out.Kind)) + " cannot hold '" + key.Text + "'");
    else if (findSetting(key.Text) != nullptr)
      report(key, "wrong nesting: write '" + key.Text + "' below 'settings'");
    else if (Unknown == UnknownKeys::Refuse)
      report(key,
             "unknown section '" + key.Text + "'; known are settings, groups, services, databases, classes");
  }

  void readOverrides(const YamlNode &in, SettingsNode &out) {
    if (in.Kind == YamlNode::Type::Null)
      return;
    if (in.Kind != YamlNode::Type::Map) {
      report(in, "wrong nesting: 'settings' must be a map of keys to values");
      return;
    }
    EffectiveSettings scratch;
    for (std::size_t i = 0; i < in.Keys.size(); ++i) {
      const auto &key = in.Keys[i];
      const auto &value = in.Items[i];
      const auto *spec = findSetting(key.Text);
      if (spec == nullptr) {
        if (Unknown == UnknownKeys::Refuse)
          report(key, "unknown key '" + key.Text + "'; the nearest known key is '" +
                          std::string(nearestSetting(key.Text)) + "'");
        else // Kept, so that an edit through this proxy does not remove the key of a newer release.
          out.Overrides.push_back({key.Text, value.Text, {key.Line, key.Column}});
      } else if (out.Kind > spec->Deepest) {
        report(key, "wrong nesting: a " + std::string(toString(out.Kind)) + " cannot carry '" + key.Text +
                        "'; the deepest node that can is a " + std::string(toString(spec->Deepest)));
      } else if (value.Kind != YamlNode::Type::Scalar) {
        report(value, "wrong nesting: the value of '" + key.Text + "' must be plain text");
      } else if (auto fault = setValue(*spec, value.Text, scratch); !fault.empty()) {
        report(value, std::move(fault));
      } else {
        out.Overrides.push_back({key.Text, value.Text, {key.Line, key.Column}});
      }
    }
  }

  void readChildren(const YamlNode &in, SettingsNode &out, NodeKind kind, int depth) {
    if (in.Kind == YamlNode::Type::Null)
      return;
    if (in.Kind != YamlNode::Type::Map) {
      report(in, "wrong nesting: a map of names is expected here");
      return;
    }
    if (depth > MaxGroupDepth) {
      report(in, "wrong nesting: more than " + std::to_string(MaxGroupDepth) + " levels of groups");
      return;
    }
    for (std::size_t i = 0; i < in.Keys.size(); ++i) {
      const auto &key = in.Keys[i];
      checkName(key);
      if (out.child(key.Text) != nullptr)
        report(key, "duplicate key '" + key.Text + "': a group and a service of one group share their names");
      SettingsNode child{kind, key.Text, {key.Line, key.Column}, {}, {}, {}};
      read(in.Items[i], child, depth + 1);
      if (kind == NodeKind::Service && child.Databases.empty())
        report(key, "service '" + key.Text + "' names no databases");
      out.Children.push_back(std::move(child));
    }
  }

  void readDatabases(const YamlNode &in, SettingsNode &out) {
    if (in.Kind != YamlNode::Type::Sequence) {
      report(in, "wrong nesting: 'databases' must be a list of names");
      return;
    }
    for (const auto &it : in.Items) {
      if (it.Kind != YamlNode::Type::Scalar) {
        report(it, "wrong nesting: the name of a database must be plain text");
        continue;
      }
      checkName(it);
      auto [seen, added] = Databases.try_emplace(it.Text, out.Name);
      if (!added)
        report(it, "duplicate database '" + it.Text + "': service '" + seen->second + "' names it already");
      else
        out.Databases.push_back({DatabaseId(it.Text), {it.Line, it.Column}});
    }
  }

  void checkName(const YamlNode &it) {
    bool known = !it.Text.empty() && it.Text.size() <= MaxNameLength &&
                 std::all_of(it.Text.begin(), it.Text.end(), [](unsigned char c) {
                   return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
                 });
    if (!known)
      report(it, "name '" + it.Text + "' must be 1 to 64 letters, digits, '-', '_' or '.'");
  }

  std::string File;
  UnknownKeys Unknown;
  Diagnostics &Found;
  std::map<std::string, std::string> Databases; ///< Service that names the database.
};

void emitNode(YAML::Emitter &out, const SettingsNode &node);

void emitChildren(YAML::Emitter &out, const SettingsNode &node, NodeKind kind, const char *section) {
  auto is = [&](const auto &it) { return it.Kind == kind; };
  if (std::none_of(node.Children.begin(), node.Children.end(), is))
    return;
  out << YAML::Key << section << YAML::Value << YAML::BeginMap;
  for (const auto &it : node.Children)
    if (is(it)) {
      out << YAML::Key << it.Name << YAML::Value;
      emitNode(out, it);
    }
  out << YAML::EndMap;
}

void emitNode(YAML::Emitter &out, const SettingsNode &node) {
  out << YAML::BeginMap;
  if (!node.Databases.empty()) {
    out << YAML::Key << "databases" << YAML::Value << YAML::BeginSeq;
    for (const auto &it : node.Databases)
      out << it.Database.str();
    out << YAML::EndSeq;
  }
  if (!node.Overrides.empty()) {
    out << YAML::Key << "settings" << YAML::Value << YAML::BeginMap;
    for (const auto &it : node.Overrides)
      out << YAML::Key << it.Key << YAML::Value << it.Value;
    out << YAML::EndMap;
  }
  emitChildren(out, node, NodeKind::Group, "groups");
  emitChildren(out, node, NodeKind::Service, "services");
  emitChildren(out, node, NodeKind::Class, "classes");
  out << YAML::EndMap;
}

} // namespace

const SettingOverride *SettingsNode::find(std::string_view key) const {
  auto it = std::find_if(Overrides.begin(), Overrides.end(), [&](const auto &o) { return o.Key == key; });
  return it == Overrides.end() ? nullptr : &*it;
}

const SettingsNode *SettingsNode::child(std::string_view name) const {
  auto it = std::find_if(Children.begin(), Children.end(), [&](const auto &c) { return c.Name == name; });
  return it == Children.end() ? nullptr : &*it;
}

ParsedTree parseTree(std::string_view file, std::string_view text, UnknownKeys unknown) {
  ParsedTree out;
  auto document = detail::parseYaml(file, text, out.Found);
  Reader(file, unknown, out.Found).read(document, out.Root, 0);
  if (out.Found.empty())
    detail::checkLimits(file, out.Root, out.Found);
  std::stable_sort(out.Found.begin(), out.Found.end(), [](const auto &a, const auto &b) {
    return std::pair(a.Line, a.Column) < std::pair(b.Line, b.Column);
  });
  return out;
}

std::string formatTree(const SettingsNode &root) {
  YAML::Emitter out;
  emitNode(out, root);
  return std::string(out.c_str()) + "\n";
}

const SettingsNode *findNode(const SettingsNode &root, std::string_view path) {
  const auto *node = &root;
  while (!path.empty() && node != nullptr) {
    auto end = std::min(path.find('/'), path.size());
    if (end > 0)
      node = node->child(path.substr(0, end));
    path.remove_prefix(std::min(end + 1, path.size()));
  }
  return node;
}

SettingsNode *findNode(SettingsNode &root, std::string_view path) {
  return const_cast<SettingsNode *>(findNode(std::as_const(root), path)); // root itself is not const
}

} // namespace rosemaryhinge
