// Reads operators' commands on settings.

#pragma once

#include "settings/internal/settingsstate.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace rosemaryhinge::detail {

/// Kind of a command's session; none if the command is unknown.
[[nodiscard]] std::optional<AdminSession::Kind> sessionKind(std::string_view command);
/// Reads the body of a command into its session. Throws json::exception if a field is missing or of another
/// type.
void readBody(AdminSession &session, const nlohmann::json &body, const std::string &command);

} // namespace rosemaryhinge::detail
