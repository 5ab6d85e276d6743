// Connections to the proxies.

#include "load/proxies.h"

#include <utility>

namespace rosemaryhinge::load {

Proxies::Proxies(asio::io_context &io, std::vector<asio::ip::tcp::endpoint> addresses,
                 std::size_t maxConnections)
    : Io(io), Addresses(std::move(addresses)), Idle(Addresses.size()), MaxConnections(maxConnections) {}

void Proxies::post(std::string path, std::string body, std::chrono::milliseconds timeout, Callback done) {
  auto request = std::make_shared<Request>(
      Request{std::move(path), std::move(body), timeout, std::move(done), Next++ % Addresses.size(), 0});
  if (InUse >= MaxConnections) {
    Queue.push_back(std::move(request));
    return;
  }
  ++InUse;
  send(request);
}

std::shared_ptr<HttpClient> Proxies::take(std::size_t proxy) {
  auto &idle = Idle[proxy];
  while (!idle.empty()) {
    auto out = std::move(idle.back());
    idle.pop_back();
    if (out->usable())
      return out;
  }
  return std::make_shared<HttpClient>(Io, Addresses[proxy]);
}

void Proxies::send(const std::shared_ptr<Request> &request) {
  ++request->Tries;
  auto connection = take(request->Proxy);
  connection->post(request->Path, request->Body, request->Timeout, [this, request, connection](Reply reply) {
    answered(request, connection, std::move(reply));
  });
}

void Proxies::answered(const std::shared_ptr<Request> &request, const std::shared_ptr<HttpClient> &connection,
                       Reply reply) {
  if (connection->usable())
    Idle[request->Proxy].push_back(connection);
  auto divert =
      reply.Transport == Exchange::NotSent || reply.Reason == "shutting_down" || reply.Reason == "not_ready";
  if (divert && request->Tries < Addresses.size()) {
    Diverted(reply);
    request->Proxy = (request->Proxy + 1) % Addresses.size();
    return send(request);
  }
  if (Queue.empty()) {
    --InUse;
  } else {
    auto next = std::move(Queue.front());
    Queue.pop_front();
    send(next);
  }
  request->Done(std::move(reply));
}

} // namespace rosemaryhinge::load
