// Platform calls as HTTP requests, and HTTP responses as results.

#pragma once

#include "protocol/platform.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace rosemaryhinge::detail {

/// Largest body that is taken: an object of 1 MB, or the list of VMs.
inline constexpr std::size_t MaxPlatformBody = std::size_t{2} << 20;

struct PlatformRequest {
  bool Put = false;
  std::string Path; ///< With the query.
  std::string Body;
  std::optional<ObjectVersion> IfVersion;
};

struct PlatformResponse {
  int Status = 0;
  std::string Version; ///< Header X-Version; empty if absent.
  std::string Body;
};

[[nodiscard]] PlatformRequest encodePlatform(const PlatformCall &call);
/// A response that does not follow the protocol is a PlatformFailure that says what is wrong.
[[nodiscard]] decltype(PlatformAnswer::Result) decodePlatform(const PlatformCall &call,
                                                              const PlatformResponse &response);

} // namespace rosemaryhinge::detail
