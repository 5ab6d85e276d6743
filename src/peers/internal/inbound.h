// A connection over which a peer sends to this proxy.

#pragma once

#include "metrics/imetrics.h"
#include "peers/peercodec.h"
#include "peers/peers.h"

#include <array>
#include <asio/ip/tcp.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace rosemaryhinge::detail {

class Inbound : public std::enable_shared_from_this<Inbound> {
public:
  using Clock = std::chrono::steady_clock;
  using OnEnvelope = std::function<void(PeerEnvelope)>;
  /// Called once at the end, with the sender's name or an empty one.
  using OnEnd = std::function<void(const std::shared_ptr<Inbound> &, const NodeId &)>;

  Inbound(asio::ip::tcp::socket socket, const PeerOptions &options, IMetrics &metrics, OnEnvelope onEnvelope,
          OnEnd onEnd);

  void start();
  /// Ends the connection if a deadline has passed.
  void check(Clock::time_point now);
  void stop();

private:
  void read();
  [[nodiscard]] bool take();
  [[nodiscard]] bool takeFrame(std::string_view frame);
  void drop(std::string_view why);
  void end();

  static constexpr std::size_t ChunkBytes = std::size_t{64} << 10;

  asio::ip::tcp::socket Socket;
  const PeerOptions &Options;
  IMetrics &Metrics;
  OnEnvelope Deliver;
  OnEnd Ended;
  std::array<char, ChunkBytes> Chunk{};
  std::string Buffer; ///< Bytes of a frame that is not complete; at most one frame and one chunk.
  NodeId From;
  Clock::time_point LastFrame;
  Clock::time_point PartialSince; ///< Meaningful while Buffer is not empty.
  bool Stopped = false;
};

} // namespace rosemaryhinge::detail
