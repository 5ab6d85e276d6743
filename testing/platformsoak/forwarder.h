// The network between callers and a proxy, or to the store or another proxy: a listener that forwards bytes,
// with a delay, and pauses of reading.

#pragma once

#include "platformsoak/clock.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <atomic>
#include <functional>
#include <thread>

namespace rosemaryhinge::platformsoak {

/// What the network does to the connections of one proxy at present.
struct Network {
  std::atomic<Millis> DelayMs{1}; ///< One way.
  /// Nothing is read from the proxy until this time, so that its answers stay with it.
  std::atomic<Millis> HoldAnswersUntil{0};
  /// What arrives from either side is passed on only at this time.
  std::atomic<Millis> CutUntil{0};
};

/// Forwards until the program ends. An end of either side is passed on after the bytes before it.
class Forwarder {
public:
  /// The network of a connection, by its socket at the forwarder. Null for network().
  using NetworkOf = std::function<Network *(int fd)>;
  explicit Forwarder(int proxyPort, NetworkOf networkOf = {});
  [[nodiscard]] int port() const { return Port; }
  [[nodiscard]] Network &network() { return Now; }

private:
  void accept();
  int Target;
  NetworkOf OfConnection;
  Network Now;
  asio::io_context Io;
  asio::ip::tcp::acceptor Acceptor;
  int Port;
  std::thread Thread;
};

} // namespace rosemaryhinge::platformsoak
