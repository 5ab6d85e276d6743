// Parses addresses.

#include "net/address.h"

#include <asio/ip/address.hpp>
#include <charconv>

namespace rosemaryhinge {

std::optional<SocketAddress> parseAddress(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos)
    return std::nullopt;
  auto ip = text.substr(0, colon);
  const auto port = text.substr(colon + 1);
  const bool brackets = ip.size() > 2 && ip.front() == '[' && ip.back() == ']';
  if (brackets)
    ip = ip.substr(1, ip.size() - 2);
  SocketAddress out{std::string(ip), 0};
  const auto [end, ec] = std::from_chars(port.data(), port.data() + port.size(), out.Port);
  if (ec != std::errc() || end != port.data() + port.size())
    return std::nullopt;
  std::error_code bad;
  const auto address = asio::ip::make_address(out.Ip, bad);
  if (bad || address.is_v6() != brackets)
    return std::nullopt;
  return out;
}

} // namespace rosemaryhinge
