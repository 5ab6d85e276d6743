// Connections to other proxies.

#pragma once

#include "protocol/effect.h"

namespace rosemaryhinge {

class IPeers {
public:
  virtual ~IPeers() = default;

  virtual void setAddress(const PeerAddress &address) = 0;
  /// Queues a message. A message that cannot be delivered is followed by a PeerLost event, never by silence.
  virtual void send(const SendToPeer &effect) = 0;
  /// Closes all connections and accepts none any more.
  virtual void stop() = 0;
};

} // namespace rosemaryhinge
