// Reading of scenarios.

#include "scenario/scenario.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <yaml-cpp/yaml.h>

namespace rosemaryhinge::scenario {

namespace {

constexpr std::array<std::string_view, 21> Actions = {
    "cut",        "heal",  "lag",   "pause",   "kill",    "start",        "shutdown",
    "store",      "down",  "up",    "leaving", "staying", "settings_set", "rival_order",
    "rival_edit", "links", "write", "read",    "begin",   "finish",       "expect"};

std::optional<Duration> parseTime(const std::string &text) {
  std::int64_t value = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  std::string_view unit(end, static_cast<std::size_t>(text.data() + text.size() - end));
  if (error != std::errc{})
    return std::nullopt;
  if (unit == "s")
    return std::chrono::seconds(value);
  if (unit == "ms")
    return std::chrono::milliseconds(value);
  return std::nullopt;
}

class Reader {
public:
  Reader(std::string file, Diagnostics &findings) : Found(findings) { Out.File = std::move(file); }

  Scenario read(const std::string &text) {
    try {
      auto root = YAML::Load(text);
      for (const auto &it : root)
        readTop(it.first, it.second);
    } catch (const YAML::Exception &e) {
      Found.push_back({Out.File, e.mark.line + 1, e.mark.column + 1, e.msg});
    }
    if (Out.Name.empty() || Out.Steps.empty())
      Found.push_back({Out.File, 0, 0, "a scenario needs a name and steps"});
    return std::move(Out);
  }

private:
  void report(const YAML::Node &at, const std::string &message) {
    Found.push_back({Out.File, at.Mark().line + 1, at.Mark().column + 1, message});
  }

  Duration time(const YAML::Node &node) {
    auto out = parseTime(node.as<std::string>());
    if (!out)
      report(node, "'" + node.as<std::string>() + "' must be a time such as 500ms or 3s");
    return out.value_or(0ms);
  }

  void readTop(const YAML::Node &key, const YAML::Node &value) {
    auto name = key.as<std::string>();
    if (name == "name")
      Out.Name = value.as<std::string>();
    else if (name == "deployment")
      Out.Deployment = value.as<std::string>();
    else if (name == "nodes")
      Out.Nodes = value.as<std::size_t>();
    else if (name == "databases")
      Out.Databases = value.as<std::size_t>();
    else if (name == "callers")
      Out.Callers = value.as<std::size_t>();
    else if (name == "think")
      Out.Think = time(value);
    else if (name == "settling")
      Out.Settling = time(value);
    else if (name == "seeds")
      Out.Seeds = value.as<std::uint64_t>();
    else if (name == "steps")
      for (const auto &it : value)
        readStep(it);
    else
      report(key, "unknown key '" + name + "'");
  }

  void readStep(const YAML::Node &node) {
    Step step;
    step.Line = node.Mark().line + 1;
    for (const auto &it : node) {
      auto name = it.first.as<std::string>();
      if (name == "at")
        step.At = time(it.second);
      else if (name == "when")
        step.When = it.second.as<std::string>();
      else if (name == "within")
        step.Within = time(it.second);
      else if (std::find(Actions.begin(), Actions.end(), name) != Actions.end())
        readAction(name, it.first, it.second, step);
      else
        step.Fields[name] = it.second.as<std::string>();
    }
    if (step.Action.empty())
      report(node, "a step needs an action");
    Out.Steps.push_back(std::move(step));
  }

  void readAction(const std::string &name, const YAML::Node &key, const YAML::Node &value, Step &step) {
    if (!step.Action.empty())
      report(key, "a step has one action");
    step.Action = name;
    if (value.IsScalar())
      step.Subjects.push_back(value.as<std::string>());
    else if (value.IsSequence())
      for (const auto &it : value)
        step.Subjects.push_back(it.as<std::string>());
    else if (value.IsMap())
      for (const auto &it : value)
        step.Fields[it.first.as<std::string>()] = it.second.as<std::string>();
  }

  Diagnostics &Found;
  Scenario Out;
};

} // namespace

Scenario parseScenario(const std::string &file, const std::string &text, Diagnostics &findings) {
  return Reader(file, findings).read(text);
}

} // namespace rosemaryhinge::scenario
