// A TCP server on the test's own loop that answers as the test says.

#pragma once

#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace rosemaryhinge::testing {

class ScriptedServer {
public:
  struct Connection {
    explicit Connection(asio::ip::tcp::socket socket) : Socket(std::move(socket)) {}

    void send(const std::string &bytes) {
      std::error_code ec;
      asio::write(Socket, asio::buffer(bytes), ec);
    }
    void close() {
      std::error_code ec;
      Socket.close(ec);
    }

    asio::ip::tcp::socket Socket;
    std::string In; ///< Bytes that the script has not taken yet.
    int Stage = 0;  ///< For the script.
    std::array<char, 65536> Buf{};
  };
  using Script = std::function<void(Connection &)>;

  ScriptedServer(asio::io_context &io, Script script)
      : Acceptor(io, {asio::ip::make_address("127.0.0.1"), 0}), OnData(std::move(script)) {
    accept();
  }

  /// Refuses connections from now on.
  void refuse() {
    std::error_code ec;
    Acceptor.close(ec);
  }

  [[nodiscard]] std::uint16_t port() const { return Acceptor.local_endpoint().port(); }
  [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(port()); }
  std::vector<std::shared_ptr<Connection>> Connections; ///< All that were ever accepted.

private:
  void accept() {
    Acceptor.async_accept([this](std::error_code ec, asio::ip::tcp::socket socket) {
      if (ec)
        return;
      Connections.push_back(std::make_shared<Connection>(std::move(socket)));
      read(Connections.back());
      accept();
    });
  }
  void read(const std::shared_ptr<Connection> &it) {
    it->Socket.async_read_some(asio::buffer(it->Buf), [this, it](std::error_code ec, std::size_t size) {
      if (ec)
        return;
      it->In.append(it->Buf.data(), size);
      OnData(*it);
      if (it->Socket.is_open())
        read(it);
    });
  }

  asio::ip::tcp::acceptor Acceptor;
  Script OnData;
};

/// Runs the loop until the condition holds, at most five seconds. Returns whether it holds.
template <typename F> bool runUntil(asio::io_context &io, F condition) {
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(5);
  while (!condition() && std::chrono::steady_clock::now() < end) {
    io.restart();
    io.run_one_for(std::chrono::milliseconds(20));
  }
  return condition();
}

} // namespace rosemaryhinge::testing
