// Which process a connection on loopback comes from.

#pragma once

#include <optional>
#include <span>

namespace rosemaryhinge::platformsoak {

/// Index of the process, among these, that holds the other end of the connection. Reads the system's list of
/// sockets, which takes milliseconds.
[[nodiscard]] std::optional<std::size_t> findPeer(int fd, std::span<const int> processes);

} // namespace rosemaryhinge::platformsoak
