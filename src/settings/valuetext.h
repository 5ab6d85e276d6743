// Text forms of durations and numbers in settings.

#pragma once

#include "base/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace rosemaryhinge {

/// Reads a whole number with the unit us, ms, s, min or h.
[[nodiscard]] std::optional<Duration> parseDuration(std::string_view text);
/// Writes the largest unit that gives a whole number.
[[nodiscard]] std::string formatDuration(Duration value);
[[nodiscard]] std::optional<double> parseNumber(std::string_view text);
[[nodiscard]] std::optional<std::uint32_t> parseCount(std::string_view text);
[[nodiscard]] std::string formatNumber(double value);

} // namespace rosemaryhinge
