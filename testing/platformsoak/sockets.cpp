// Blocking sockets on 127.0.0.1, and lines that end with CR LF.

#include "platformsoak/sockets.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <map>
#include <mutex>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace rosemaryhinge::platformsoak {

namespace {

constexpr int Backlog = 512;
constexpr int FirstPort = 12'000;
/// A run takes a block of ports. The listener at the first one keeps other runs away from the whole block,
/// also from ports whose proxy or server is down for the moment.
constexpr int BlockPorts = 128;
constexpr int Blocks = 140;
constexpr std::size_t ChunkBytes = 16'384;

sockaddr_in loopback(int port) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(static_cast<std::uint16_t>(port));
  out.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return out;
}

void setOption(int fd, int level, int name, int value) {
  ::setsockopt(fd, level, name, &value, sizeof value);
}

/// Listeners that keep reserved ports from other programs.
struct Reservations {
  std::mutex Lock;
  std::map<int, int> Fds;
  int Next = 0, End = 0; ///< Of the present block.
};

Reservations &reservations() {
  static Reservations all;
  return all;
}

} // namespace

int listenOn(int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setOption(fd, SOL_SOCKET, SO_REUSEADDR, 1);
  const auto at = loopback(port);
  if (::bind(fd, reinterpret_cast<const sockaddr *>(&at), sizeof at) == 0 && ::listen(fd, Backlog) == 0)
    return fd;
  ::close(fd);
  return -1;
}

int portOf(int fd) {
  sockaddr_in at{};
  socklen_t size = sizeof at;
  ::getsockname(fd, reinterpret_cast<sockaddr *>(&at), &size);
  return ntohs(at.sin_port);
}

int connectTo(int port, int receiveBuffer) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setOption(fd, IPPROTO_TCP, TCP_NODELAY, 1);
  if (receiveBuffer > 0)
    setOption(fd, SOL_SOCKET, SO_RCVBUF, receiveBuffer);
  const auto at = loopback(port);
  if (::connect(fd, reinterpret_cast<const sockaddr *>(&at), sizeof at) == 0)
    return fd;
  ::close(fd);
  return -1;
}

int acceptFrom(int fd) {
  const int out = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
  if (out >= 0)
    setOption(out, IPPROTO_TCP, TCP_NODELAY, 1);
  return out;
}

bool sendAll(int fd, std::string_view bytes) {
  while (!bytes.empty()) {
    const auto n = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (n <= 0)
      return false;
    bytes.remove_prefix(static_cast<std::size_t>(n));
  }
  return true;
}

bool peerGone(int fd) {
  char byte = 0;
  const auto n = ::recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

int reservePort() {
  static std::mt19937 random(std::random_device{}());
  auto &all = reservations();
  const std::lock_guard hold(all.Lock);
  for (;;) {
    if (all.Next == all.End) {
      const int first = FirstPort + BlockPorts * std::uniform_int_distribution<int>(0, Blocks - 1)(random);
      if (listenOn(first) < 0)
        continue;
      all.Next = first + 1;
      all.End = first + BlockPorts;
    }
    const int port = all.Next++;
    if (const int fd = listenOn(port); fd >= 0) {
      all.Fds[port] = fd;
      return port;
    }
  }
}

void releasePort(int port) {
  auto &all = reservations();
  const std::lock_guard hold(all.Lock);
  if (const auto it = all.Fds.find(port); it != all.Fds.end() && it->second >= 0)
    ::close(std::exchange(it->second, -1));
}

std::vector<std::string> words(std::string_view text) {
  std::vector<std::string> out;
  while (!text.empty()) {
    const auto end = std::min(text.find(' '), text.size());
    if (end > 0)
      out.emplace_back(text.substr(0, end));
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  return out;
}

std::string takeWord(std::string &rest) {
  const auto end = rest.find(' ');
  auto out = rest.substr(0, end);
  rest = end == std::string::npos ? std::string() : rest.substr(end + 1);
  return out;
}

ReadResult LineSocket::read(std::string &line, Millis timeoutMs) {
  const auto until = nowMs() + timeoutMs;
  for (;;) {
    if (const auto end = Buf.find("\r\n"); end != std::string::npos) {
      line = Buf.substr(0, end);
      Buf.erase(0, end + 2);
      return ReadResult::Line;
    }
    if (!waitReadable(timeoutMs < 0 ? -1 : std::max<Millis>(0, until - nowMs())))
      return ReadResult::TimedOut;
    std::array<char, ChunkBytes> chunk{};
    const auto n = ::recv(Fd, chunk.data(), chunk.size(), 0);
    if (n <= 0)
      return ReadResult::Ended;
    Buf.append(chunk.data(), static_cast<std::size_t>(n));
  }
}

bool LineSocket::waitReadable(Millis timeoutMs) const {
  if (!Buf.empty() && Buf.find("\r\n") != std::string::npos)
    return true;
  pollfd wait{Fd, POLLIN, 0};
  return ::poll(&wait, 1, static_cast<int>(timeoutMs)) != 0;
}

bool LineSocket::waitEnd(Millis timeoutMs) const {
  pollfd wait{Fd, POLLRDHUP, 0};
  return ::poll(&wait, 1, static_cast<int>(timeoutMs)) != 0;
}

} // namespace rosemaryhinge::platformsoak
