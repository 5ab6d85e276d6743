// One HTTP connection to a proxy, used for one request at a time.

#pragma once

#include "load/reply.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace rosemaryhinge::load {

class HttpClient : public std::enable_shared_from_this<HttpClient> {
public:
  using Callback = std::function<void(Reply)>;

  HttpClient(asio::io_context &io, asio::ip::tcp::endpoint to);

  /// Sends a POST. No answer within the timeout counts as cut.
  void post(const std::string &path, const std::string &body, std::chrono::milliseconds timeout,
            Callback done);
  /// Whether it can take another request: it is open, idle and the proxy has not closed it.
  [[nodiscard]] bool usable();

private:
  void connect();
  void write();
  void readHead();
  void readBodyOf(const ResponseHead &head);
  void finish(Exchange exchange);

  asio::ip::tcp::socket Socket;
  asio::ip::tcp::endpoint To;
  asio::steady_timer Deadline;
  std::string Out;
  std::string In;
  Reply Answer;
  Callback Done;
  bool Keep = true;
};

} // namespace rosemaryhinge::load
