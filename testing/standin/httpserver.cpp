// HTTP/1.1 server on loopback.

#include "standin/httpserver.h"

#include "standin/httpconnection.h"

#include <memory>
#include <utility>

namespace rosemaryhinge::standin {

using asio::ip::tcp;

HttpServer::HttpServer(asio::io_context &io, std::uint16_t port, HttpHandler handler)
    : Acceptor(io, tcp::endpoint(asio::ip::address_v4::loopback(), port)), Handler(std::move(handler)) {
  accept();
}

void HttpServer::accept() {
  Acceptor.async_accept([this](std::error_code ec, tcp::socket socket) {
    if (ec == asio::error::operation_aborted)
      return;
    if (!ec)
      std::make_shared<HttpConnection>(std::move(socket), Handler)->start();
    accept();
  });
}

} // namespace rosemaryhinge::standin
