// The local settings file: what a proxy has to know before it reaches the platform.

#pragma once

#include "base/finding.h"
#include "net/address.h"
#include "protocol/effect.h"
#include "protocol/nodeconfig.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace rosemaryhinge {

enum class LogFormat : std::uint8_t { KeyValue, Json };

struct LocalSettings {
  NodeConfig Self;
  SocketAddress Callers;
  SocketAddress Peers;
  SocketAddress Admin;
  std::string PlatformUrl;
  std::string DutiesUrl; ///< Sessions: where promotions are ordered.
  std::optional<SocketAddress>
      MetricsOnly; ///< Sessions: a further listener with the paths of the admin address.
  std::optional<std::uint32_t> MemoryMb;       ///< Memory that the process may use; empty if unknown.
  std::optional<std::uint32_t> MaxDescriptors; ///< Descriptors that it may open; empty if unknown.
  rosemaryhinge::LogFormat LogFormat = LogFormat::KeyValue;
  rosemaryhinge::LogLevel LogLevel = LogLevel::Info;
};

/// Reads YAML text. File is the name that the findings carry. All findings are reported together.
[[nodiscard]] std::variant<LocalSettings, Diagnostics> parseLocalSettings(std::string_view yaml,
                                                                          const std::string &file);
/// Reads a file of at most 256 KB.
[[nodiscard]] std::variant<LocalSettings, Diagnostics> loadLocalSettings(const std::string &file);
/// The settings in effect, defaults included, as YAML that parseLocalSettings accepts.
[[nodiscard]] std::string formatLocalSettings(const LocalSettings &settings);

} // namespace rosemaryhinge
