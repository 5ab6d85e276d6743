// JSON forms of history entries, differences and findings.

#include "settings/internal/settingsjson.h"

namespace rosemaryhinge::detail {

using nlohmann::json;

json toJson(const SettingsHistoryEntry &entry) {
  return {{"revision", entry.Revision},
          {"change_id", entry.ChangeId},
          {"author", entry.Author},
          {"time", entry.Time},
          {"why", entry.Why},
          {"path", entry.Change.Path},
          {"key", entry.Change.Key},
          {"old_value", entry.Change.Old},
          {"new_value", entry.Change.New}};
}

json toJson(const SettingsDifference &difference) {
  return {{"path", difference.Path},
          {"key", difference.Key},
          {"old_value", difference.Old},
          {"new_value", difference.New}};
}

json toJson(const Diagnostics &findings) {
  json out = json::array();
  for (const auto &it : findings)
    out.push_back(it.str());
  return out;
}

} // namespace rosemaryhinge::detail
