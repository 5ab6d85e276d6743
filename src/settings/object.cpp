// JSON form of the settings object.

#include "settings/object.h"

#include "settings/internal/settingsjson.h"
#include "json/jsonparse.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <yaml-cpp/yaml.h>

namespace rosemaryhinge {

namespace {

using nlohmann::json;

SettingsHistoryEntry entryFromJson(const json &in) {
  SettingsHistoryEntry out;
  out.Revision = in.at("revision").get<std::uint64_t>();
  out.ChangeId = in.value("change_id", "");
  out.Author = in.value("author", "");
  out.Time = in.value("time", "");
  out.Why = in.value("why", "");
  out.Change = {in.value("path", ""), in.value("key", ""), in.value("old_value", ""),
                in.value("new_value", "")};
  return out;
}

std::optional<SettingsObject> fromJson(const json &in) {
  SettingsObject out;
  out.Revision = in.at("revision").get<std::uint64_t>();
  out.ChangeId = in.value("change_id", "");
  out.Author = in.value("author", "");
  out.Time = in.value("time", "");
  out.Tree = in.at("tree").get<std::string>();
  out.HistoryDropped = in.value("history_dropped", std::uint64_t{0});
  if (in.contains("history"))
    for (const auto &it : in.at("history"))
      out.History.push_back(entryFromJson(it));
  return out.Revision == 0 ? std::nullopt : std::optional(std::move(out));
}

/// Turns the YAML form of the object into its JSON form; values are text except the two numbers.
json fromYaml(const YAML::Node &in) {
  json out = json::object();
  for (const auto &it : in) {
    auto key = it.first.as<std::string>();
    if (key == "history") {
      out[key] = json::array();
      for (const auto &entry : it.second)
        out[key].push_back(fromYaml(entry));
    } else if (key == "revision" || key == "history_dropped") {
      out[key] = it.second.as<std::uint64_t>();
    } else if (it.second.IsScalar()) {
      out[key] = it.second.as<std::string>();
    }
  }
  return out;
}

} // namespace

std::optional<std::uint64_t> SettingsObject::revisionOf(std::string_view changeId) const {
  if (changeId.empty())
    return std::nullopt;
  if (ChangeId == changeId)
    return Revision;
  auto it =
      std::find_if(History.begin(), History.end(), [&](const auto &h) { return h.ChangeId == changeId; });
  return it == History.end() ? std::nullopt : std::optional(it->Revision);
}

std::optional<SettingsObject> parseSettingsObject(std::string_view text) {
  try {
    if (auto it = tryParseJson(text); it.is_object() && it.contains("tree"))
      return fromJson(it);
    auto it = YAML::Load(std::string(text));
    if (it.IsMap() && it["tree"] && it["revision"])
      return fromJson(fromYaml(it));
    if (!it.IsMap())
      return std::nullopt;
  } catch (const json::exception &) {
    return std::nullopt;
  } catch (const YAML::Exception &) {
    // Not readable here; parseTree reports the place.
  }
  SettingsObject out;
  out.Revision = 1;
  out.Tree = std::string(text);
  out.Plain = true;
  return out;
}

std::optional<std::string> formatSettingsObject(SettingsObject &object, std::size_t historyLimit) {
  while (object.History.size() > historyLimit) {
    object.History.pop_front();
    ++object.HistoryDropped;
  }
  while (true) {
    json out = {{"revision", object.Revision},
                {"change_id", object.ChangeId},
                {"author", object.Author},
                {"time", object.Time},
                {"tree", object.Tree},
                {"history", json::array()},
                {"history_dropped", object.HistoryDropped}};
    for (const auto &it : object.History)
      out["history"].push_back(detail::toJson(it));
    auto text = out.dump(-1, ' ', false, json::error_handler_t::replace);
    if (text.size() < MaxSettingsObject)
      return text;
    if (object.History.empty())
      return std::nullopt;
    auto drop = std::max<std::size_t>(1, object.History.size() / 4);
    object.History.erase(object.History.begin(), object.History.begin() + static_cast<std::ptrdiff_t>(drop));
    object.HistoryDropped += drop;
  }
}

} // namespace rosemaryhinge
