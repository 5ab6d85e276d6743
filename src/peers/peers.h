// Makes the adapter for connections to other proxies.

#pragma once

#include "metrics/imetrics.h"
#include "net/address.h"
#include "net/eventsink.h"
#include "peers/ipeers.h"

#include <asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>

namespace rosemaryhinge {

struct PeerOptions {
  NodeId Self;
  SocketAddress Listen;
  std::string Advertised; ///< Address that peers connect to.
  std::chrono::milliseconds ConnectTimeout{1'000};
  /// Pause after a failure, so that an unreachable peer costs few attempts. Below the probe interval of 1 s.
  std::chrono::milliseconds RetryPause{200};
  /// Time for queued messages to be taken by the peer's socket.
  std::chrono::milliseconds WriteTimeout{5'000};
  /// Time from the first byte of a frame to its last.
  std::chrono::milliseconds FrameTimeout{10'000};
  /// Longer than any deadline of a request, so that no forwarded request waits on a connection closed as
  /// idle.
  std::chrono::milliseconds IdleTimeout{900'000};
  std::chrono::milliseconds SweepInterval{1'000};
  std::size_t MaxQueuedBytes = std::size_t{16} << 20; ///< Per peer.
  std::size_t MaxInbound = 8'192;
  std::size_t MaxPeers = 16'384;
};

/// Binds and listens at once; throws std::exception if the address cannot be bound. The loop, the sink and
/// the metrics must outlive the adapter.
[[nodiscard]] std::unique_ptr<IPeers> makePeers(asio::io_context &io, PeerOptions options, EventSink sink,
                                                IMetrics &metrics);

} // namespace rosemaryhinge
