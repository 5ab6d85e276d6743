// Addresses of the form "ip:port" or "[ipv6]:port".

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace rosemaryhinge {

struct SocketAddress {
  std::string Ip; ///< Without brackets.
  std::uint16_t Port = 0;
};

/// None unless the text is a numeric IP address and a port. Names are not resolved: that would block the
/// loop.
[[nodiscard]] std::optional<SocketAddress> parseAddress(std::string_view text);

} // namespace rosemaryhinge
