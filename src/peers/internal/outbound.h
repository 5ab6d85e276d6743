// The connection over which this proxy sends to one peer.

#pragma once

#include "metrics/imetrics.h"
#include "peers/peers.h"

#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace rosemaryhinge::detail {

/// Connects when there is something to send. After a failure what was queued is dropped and OnLost called.
class Outbound : public std::enable_shared_from_this<Outbound> {
public:
  Outbound(asio::io_context &io, const PeerOptions &options, IMetrics &metrics, std::function<void()> onLost);

  void setAddress(const std::string &address);
  void send(std::string frame);
  /// Reports the peer as lost without closing anything: a message was dropped.
  void lost();
  void stop();
  [[nodiscard]] std::size_t pending() const { return Queue.size() + Writing.size(); }

private:
  enum class Phase : std::uint8_t { Closed, Connecting, Open };

  void connect();
  void write();
  void watch();
  void fail(std::string_view why);
  void close();

  asio::ip::tcp::socket Socket;
  asio::steady_timer Deadline;
  const PeerOptions &Options;
  IMetrics &Metrics;
  std::function<void()> OnLost;
  std::string Address;
  Phase State = Phase::Closed;
  std::uint64_t Round = 0; ///< Grows with each close; handlers of earlier rounds do nothing.
  std::chrono::steady_clock::time_point RetryAt;
  std::deque<std::string> Queue;
  std::size_t QueuedBytes = 0; ///< Of Queue and Writing.
  std::vector<std::string> Writing;
  std::array<char, 1> Byte{};
  bool Stopped = false;
  bool LostPosted = false;
};

} // namespace rosemaryhinge::detail
