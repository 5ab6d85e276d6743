// Replies to operators' commands on settings.

#pragma once

#include "protocol/context.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace rosemaryhinge::detail {

/// Sends the reply to the command with this request id.
void replyAdmin(Context &ctx, std::uint64_t id, int status, const nlohmann::json &body);
/// Body of a reply that reports an error.
[[nodiscard]] nlohmann::json errorBody(std::string_view error, std::string message);

} // namespace rosemaryhinge::detail
