// Connections to other proxies.

#pragma once

#include "protocol/effect.h"

#include <cstdint>

namespace rosemaryhinge {

class IPeers {
public:
  virtual ~IPeers() = default;

  virtual void setAddress(const PeerAddress &address) = 0;
  /// Queues a message. If it may not arrive, a PeerLost event follows.
  virtual void send(const SendToPeer &effect) = 0;
  /// Closes all connections and accepts none any more.
  virtual void stop() = 0;
  [[nodiscard]] virtual std::uint16_t port() const = 0;
  /// Messages that are not written to their sockets yet.
  [[nodiscard]] virtual std::size_t pending() const = 0;
};

} // namespace rosemaryhinge
