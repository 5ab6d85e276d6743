// Text output of answers.

#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace rosemaryhinge::ctl {

/// Lists fields line by line and arrays of objects as tables.
[[nodiscard]] std::string renderText(const nlohmann::json &value);
/// The report of a shift: promised, changed, happened, refused.
[[nodiscard]] std::string renderReport(const nlohmann::json &settings, const nlohmann::json &history,
                                       const nlohmann::json &report);
/// Effective settings, one table per node.
[[nodiscard]] std::string renderSettings(const nlohmann::json &value);
/// Wall time as the middle of an interval with its uncertainty.
[[nodiscard]] std::string renderTime(const nlohmann::json &record);
/// Microseconds since the epoch for "10h" before now or an ISO time in UTC. Empty if it is neither.
[[nodiscard]] std::optional<std::int64_t> parseSince(std::string_view text, std::int64_t nowMicros);

} // namespace rosemaryhinge::ctl
