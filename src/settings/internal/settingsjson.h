// JSON forms of history entries, differences and findings.

#pragma once

#include "settings/object.h"

#include <nlohmann/json.hpp>

namespace rosemaryhinge::detail {

[[nodiscard]] nlohmann::json toJson(const SettingsHistoryEntry &entry);
[[nodiscard]] nlohmann::json toJson(const SettingsDifference &difference);
[[nodiscard]] nlohmann::json toJson(const Diagnostics &findings);

} // namespace rosemaryhinge::detail
