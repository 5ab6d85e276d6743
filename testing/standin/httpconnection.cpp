// One HTTP connection.

#include "standin/httpconnection.h"

#include <asio/buffer.hpp>
#include <asio/post.hpp>
#include <asio/read.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>
#include <utility>

namespace rosemaryhinge::standin {

namespace {

constexpr std::size_t MaxHeadBytes = 16'384;
/// Above the store's limit, so that the store itself can answer 413 to a slightly larger value.
constexpr std::size_t MaxBodyBytes = 2'000'000;

} // namespace

HttpConnection::HttpConnection(asio::ip::tcp::socket socket, const HttpHandler &handler)
    : Socket(std::move(socket)), Handler(handler) {
  std::error_code ec;
  Socket.set_option(asio::ip::tcp::no_delay(true), ec);
}

void HttpConnection::start() { readHead(); }

void HttpConnection::readHead() {
  asio::async_read_until(Socket, asio::dynamic_buffer(In, MaxHeadBytes + MaxBodyBytes), "\r\n\r\n",
                         [self = shared_from_this()](std::error_code ec, std::size_t bytes) {
                           if (!ec)
                             self->onHead(bytes);
                         });
}

void HttpConnection::onHead(std::size_t bytes) {
  auto head = bytes <= MaxHeadBytes ? parseHttpHead(std::string_view(In).substr(0, bytes)) : std::nullopt;
  auto length = head ? parseNumber(head->header("content-length").value_or("0")) : std::nullopt;
  if (!length || head->header("transfer-encoding"))
    return write({400, "malformed request\n", {}}, false);
  if (*length > MaxBodyBytes)
    return write({413, "body too large\n", {}}, false);
  In.erase(0, bytes);
  Request = std::move(*head);
  if (Request.header("expect") && In.size() < *length) {
    static constexpr std::string_view Continue = "HTTP/1.1 100 Continue\r\n\r\n";
    asio::async_write(Socket, asio::buffer(Continue),
                      [self = shared_from_this(), n = *length](std::error_code ec, std::size_t) {
                        if (!ec)
                          self->readBody(n);
                      });
    return;
  }
  readBody(*length);
}

void HttpConnection::readBody(std::size_t length) {
  if (In.size() >= length)
    return handle(length);
  asio::async_read(Socket, asio::dynamic_buffer(In), asio::transfer_exactly(length - In.size()),
                   [self = shared_from_this(), length](std::error_code ec, std::size_t) {
                     if (!ec)
                       self->handle(length);
                   });
}

void HttpConnection::handle(std::size_t length) {
  Request.Body = In.substr(0, length);
  In.erase(0, length);
  auto keep = Request.header("connection").value_or("") != "close";
  // Posted, because the reply may come before the handler returns.
  Handler(Request, [self = shared_from_this(), keep](HttpResponse response) {
    asio::post(self->Socket.get_executor(),
               [self, keep, response = std::move(response)] { self->write(response, keep); });
  });
}

void HttpConnection::write(const HttpResponse &response, bool keep) {
  if (response.Drop) {
    std::error_code ec;
    Socket.close(ec);
    return;
  }
  Out = formatHttp(response);
  asio::async_write(Socket, asio::buffer(Out),
                    [self = shared_from_this(), keep](std::error_code ec, std::size_t) {
                      if (ec)
                        return;
                      if (keep)
                        return self->readHead();
                      self->Socket.shutdown(asio::ip::tcp::socket::shutdown_both, ec);
                    });
}

} // namespace rosemaryhinge::standin
