// The log file of a proxy's process: what it tells about a request and about its end.

#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace rosemaryhinge::platformsoak {

[[nodiscard]] std::vector<std::string> readLines(const std::string &file);
/// Whether the last line says that the process ended in an orderly way.
[[nodiscard]] bool endsWithEnded(std::span<const std::string> lines);
[[nodiscard]] bool names(std::span<const std::string> lines, std::string_view request);
/// Log lines that the process says it left out.
[[nodiscard]] std::uint64_t leftOut(std::span<const std::string> lines);

} // namespace rosemaryhinge::platformsoak
