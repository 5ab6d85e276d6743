// HTTP/1.1 server on loopback with persistent connections.

#pragma once

#include "standin/httpmessage.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstdint>

namespace rosemaryhinge::standin {

class HttpServer {
public:
  /// Listens at once. Port 0 takes a free one. Throws std::system_error if the port is taken.
  HttpServer(asio::io_context &io, std::uint16_t port, HttpHandler handler);

  [[nodiscard]] std::uint16_t port() const { return Acceptor.local_endpoint().port(); }

private:
  void accept();

  asio::ip::tcp::acceptor Acceptor;
  HttpHandler Handler;
};

} // namespace rosemaryhinge::standin
