// The network between callers and a proxy.

#include "platformsoak/forwarder.h"

#include <asio/buffer.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include <algorithm>
#include <array>
#include <deque>
#include <memory>
#include <string>

namespace rosemaryhinge::platformsoak {

namespace {

using asio::ip::tcp;

constexpr std::size_t ChunkBytes = 16'384;
constexpr Millis HoldCheckMs = 10;
/// Bytes that one direction keeps at most; it reads no more until some have been passed on.
constexpr std::size_t MaxChunks = 16;
/// Small, so that a caller that does not read leaves most of an answer with the proxy.
constexpr int HeldReceiveBuffer = 16'384;

/// One direction of a connection. Chunks keep the time at which they may be passed on; an empty one is the
/// end.
class Direction : public std::enable_shared_from_this<Direction> {
public:
  Direction(std::shared_ptr<tcp::socket> from, std::shared_ptr<tcp::socket> to, Network &network,
            bool answers)
      : From(std::move(from)), To(std::move(to)), Now(network), Answers(answers),
        ReadTimer(From->get_executor()), WriteTimer(From->get_executor()) {}

  void read() {
    if (Chunks.size() >= MaxChunks) {
      ReadWaits = true;
      return;
    }
    if (Answers && Now.HoldAnswersUntil > nowMs()) {
      ReadTimer.expires_after(std::chrono::milliseconds(HoldCheckMs));
      ReadTimer.async_wait([self = shared_from_this()](std::error_code) { self->read(); });
      return;
    }
    From->async_read_some(asio::buffer(Buf), [self = shared_from_this()](std::error_code ec, std::size_t n) {
      self->take(ec ? 0 : n);
      if (!ec)
        self->read();
    });
  }

private:
  struct Chunk {
    Millis PassAt;
    std::string Bytes;
  };

  void take(std::size_t n) {
    Chunks.push_back({std::max(nowMs() + Now.DelayMs, Now.CutUntil.load()), std::string(Buf.data(), n)});
    if (!Writing)
      pass();
  }

  void pass() {
    Writing = !Chunks.empty();
    if (!Writing)
      return;
    const auto wait = std::max<Millis>(0, Chunks.front().PassAt - nowMs());
    WriteTimer.expires_after(std::chrono::milliseconds(wait));
    WriteTimer.async_wait([self = shared_from_this()](std::error_code) { self->write(); });
  }

  void write() {
    if (Chunks.front().Bytes.empty()) {
      std::error_code ignored;
      To->shutdown(tcp::socket::shutdown_send, ignored);
      if (Answers) {
        // The proxy has ended the connection: nothing more is taken from the caller.
        From->close(ignored);
        To->close(ignored);
      }
      return;
    }
    asio::async_write(*To, asio::buffer(Chunks.front().Bytes),
                      [self = shared_from_this()](std::error_code ec, std::size_t) {
                        self->Chunks.pop_front();
                        if (ec)
                          return;
                        if (std::exchange(self->ReadWaits, false))
                          self->read();
                        self->pass();
                      });
  }

  std::shared_ptr<tcp::socket> From, To;
  Network &Now;
  bool Answers;
  asio::steady_timer ReadTimer, WriteTimer;
  std::array<char, ChunkBytes> Buf{};
  std::deque<Chunk> Chunks;
  bool Writing = false;
  bool ReadWaits = false;
};

} // namespace

Forwarder::Forwarder(int proxyPort, NetworkOf networkOf)
    : Target(proxyPort), OfConnection(std::move(networkOf)),
      Acceptor(Io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
      Port(Acceptor.local_endpoint().port()) {
  accept();
  Thread = std::thread([this] { Io.run(); });
  Thread.detach();
}

void Forwarder::accept() {
  Acceptor.async_accept([this](std::error_code ec, tcp::socket socket) {
    if (!ec) {
      auto caller = std::make_shared<tcp::socket>(std::move(socket));
      auto proxy = std::make_shared<tcp::socket>(Io);
      std::error_code ignored;
      proxy->open(tcp::v4(), ignored);
      if (Now.HoldAnswersUntil > 0)
        proxy->set_option(asio::socket_base::receive_buffer_size(HeldReceiveBuffer), ignored);
      const tcp::endpoint at(asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(Target));
      auto *chosen = OfConnection ? OfConnection(caller->native_handle()) : nullptr;
      auto &network = chosen ? *chosen : Now;
      proxy->async_connect(at, [caller, proxy, &network](std::error_code failed) {
        if (failed)
          return;
        std::error_code none;
        caller->set_option(tcp::no_delay(true), none);
        proxy->set_option(tcp::no_delay(true), none);
        std::make_shared<Direction>(caller, proxy, network, false)->read();
        std::make_shared<Direction>(proxy, caller, network, true)->read();
      });
    }
    accept();
  });
}

} // namespace rosemaryhinge::platformsoak
