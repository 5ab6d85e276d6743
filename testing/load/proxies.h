// Connections to the proxies. Plays the balancer: picks a proxy, and the next one if it cannot be reached or
// is leaving.

#pragma once

#include "load/httpclient.h"
#include "load/reply.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace rosemaryhinge::load {

class Proxies {
public:
  using Callback = HttpClient::Callback;

  Proxies(asio::io_context &io, std::vector<asio::ip::tcp::endpoint> addresses, std::size_t maxConnections);

  /// Sends a request, or queues it if all connections are in use.
  void post(std::string path, std::string body, std::chrono::milliseconds timeout, Callback done);
  [[nodiscard]] std::size_t queued() const { return Queue.size(); }

  /// Told each refusal that made the balancer try the next proxy.
  std::function<void(const Reply &)> Diverted = [](const Reply &) {};

private:
  struct Request {
    std::string Path;
    std::string Body;
    std::chrono::milliseconds Timeout{};
    Callback Done;
    std::size_t Proxy = 0;
    std::size_t Tries = 0;
  };

  void send(const std::shared_ptr<Request> &request);
  void answered(const std::shared_ptr<Request> &request, const std::shared_ptr<HttpClient> &connection,
                Reply reply);
  std::shared_ptr<HttpClient> take(std::size_t proxy);

  asio::io_context &Io;
  std::vector<asio::ip::tcp::endpoint> Addresses;
  std::vector<std::vector<std::shared_ptr<HttpClient>>> Idle; ///< Per proxy.
  std::size_t MaxConnections;
  std::size_t InUse = 0;
  std::size_t Next = 0;
  std::deque<std::shared_ptr<Request>> Queue;
};

} // namespace rosemaryhinge::load
