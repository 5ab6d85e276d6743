// One HTTP connection to a proxy.

#include "load/httpclient.h"

#include <asio/buffer.hpp>
#include <asio/read.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>
#include <utility>

namespace rosemaryhinge::load {

namespace {

constexpr std::size_t MaxAnswerBytes = 16'000'000;

} // namespace

HttpClient::HttpClient(asio::io_context &io, asio::ip::tcp::endpoint to)
    : Socket(io), To(std::move(to)), Deadline(io) {}

void HttpClient::post(const std::string &path, const std::string &body, std::chrono::milliseconds timeout,
                      Callback done) {
  Done = std::move(done);
  Answer = {};
  In.clear();
  Out = "POST " + path + " HTTP/1.1\r\nHost: " + To.address().to_string() +
        "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
        body;
  Deadline.expires_after(timeout);
  Deadline.async_wait([self = shared_from_this()](std::error_code ec) {
    if (!ec)
      self->finish(self->Socket.is_open() ? Exchange::Cut : Exchange::NotSent);
  });
  if (Socket.is_open())
    write();
  else
    connect();
}

void HttpClient::connect() {
  Socket.async_connect(To, [self = shared_from_this()](std::error_code ec) {
    if (ec)
      return self->finish(Exchange::NotSent);
    self->Socket.set_option(asio::ip::tcp::no_delay(true), ec);
    self->write();
  });
}

void HttpClient::write() {
  asio::async_write(Socket, asio::buffer(Out), [self = shared_from_this()](std::error_code ec, std::size_t) {
    if (ec)
      self->finish(Exchange::Cut);
    else
      self->readHead();
  });
}

void HttpClient::readHead() {
  asio::async_read_until(Socket, asio::dynamic_buffer(In, MaxAnswerBytes), "\r\n\r\n",
                         [self = shared_from_this()](std::error_code ec, std::size_t bytes) {
                           auto head = ec ? std::nullopt
                                          : parseResponseHead(std::string_view(self->In).substr(0, bytes));
                           if (!head || head->Length > MaxAnswerBytes)
                             return self->finish(Exchange::Cut);
                           self->In.erase(0, bytes);
                           self->readBodyOf(*head);
                         });
}

void HttpClient::readBodyOf(const ResponseHead &head) {
  Answer.Status = head.Status;
  Keep = !head.Close;
  auto missing = head.Length > In.size() ? head.Length - In.size() : 0;
  asio::async_read(Socket, asio::dynamic_buffer(In), asio::transfer_exactly(missing),
                   [self = shared_from_this()](std::error_code ec, std::size_t) {
                     self->finish(ec ? Exchange::Cut : Exchange::Answered);
                   });
}

void HttpClient::finish(Exchange exchange) {
  if (!Done)
    return;
  Deadline.cancel();
  if (exchange != Exchange::Answered || !Keep) {
    std::error_code ec;
    Socket.close(ec);
  }
  Answer.Transport = exchange;
  if (exchange == Exchange::Answered) {
    Answer.Body = std::move(In);
    readBody(Answer);
  } else {
    Answer.Outcome = exchange == Exchange::NotSent ? Effect::NotRun : Effect::Unknown;
    Answer.Reason = exchange == Exchange::NotSent ? "no_connection" : "cut";
  }
  auto done = std::exchange(Done, nullptr);
  done(std::move(Answer));
}

bool HttpClient::usable() {
  if (!Socket.is_open() || Done)
    return false;
  // An idle connection that is readable was closed by the proxy.
  std::error_code ec;
  char byte = 0;
  Socket.non_blocking(true, ec);
  Socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, ec);
  return ec == asio::error::would_block;
}

} // namespace rosemaryhinge::load
