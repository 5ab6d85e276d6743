// Which process a connection on loopback comes from.

#include "platformsoak/peerprocess.h"

#include <array>
#include <cstdint>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <sstream>
#include <string>
#include <sys/socket.h>

namespace rosemaryhinge::platformsoak {

namespace {

using Socket = std::uint64_t; ///< Its inode.

std::string hexPort(std::uint16_t networkOrder) {
  std::array<char, 5> out{};
  std::snprintf(out.data(), out.size(), "%04X", static_cast<unsigned>(ntohs(networkOrder)));
  return out.data();
}

/// The socket at the other end of a connection: its local port is this one's remote port, and the other way
/// round.
std::optional<Socket> otherEnd(int fd) {
  sockaddr_in here{}, there{};
  socklen_t hereSize = sizeof here, thereSize = sizeof there;
  if (::getsockname(fd, reinterpret_cast<sockaddr *>(&here), &hereSize) != 0 ||
      ::getpeername(fd, reinterpret_cast<sockaddr *>(&there), &thereSize) != 0)
    return std::nullopt;
  const auto local = ":" + hexPort(there.sin_port);
  const auto remote = ":" + hexPort(here.sin_port);
  std::ifstream in("/proc/net/tcp");
  for (std::string line; std::getline(in, line);) {
    std::istringstream fields(line);
    std::string number, from, to, state, queues, timer, retries, user, timeout;
    Socket socket = 0;
    if (fields >> number >> from >> to && from.ends_with(local) && to.ends_with(remote) &&
        fields >> state >> queues >> timer >> retries >> user >> timeout >> socket)
      return socket;
  }
  return std::nullopt;
}

bool holds(int process, Socket socket) {
  const auto wanted = "socket:[" + std::to_string(socket) + "]";
  std::error_code ec;
  const std::filesystem::directory_iterator all("/proc/" + std::to_string(process) + "/fd", ec);
  for (const auto &it : all)
    if (std::error_code none; std::filesystem::read_symlink(it.path(), none) == wanted)
      return true;
  return false;
}

} // namespace

std::optional<std::size_t> findPeer(int fd, std::span<const int> processes) {
  const auto socket = otherEnd(fd);
  if (!socket)
    return std::nullopt;
  for (std::size_t n = 0; n < processes.size(); ++n)
    if (holds(processes[n], *socket))
      return n;
  return std::nullopt;
}

} // namespace rosemaryhinge::platformsoak
