// A small HTTP/1.1 server interface: the callers' and the admin listeners stand on it.

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace rosemaryhinge {

/// Names one request until it is answered or its connection is closed; never reused.
using HttpExchange = std::uint64_t;
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

struct HttpRequest {
  HttpExchange Exchange = 0;
  std::string Method;
  std::string Path; ///< Still percent-encoded, without the query.
  HttpHeaders Headers;
  std::string Body;
  std::string RemoteIp;

  /// First value of a header, by its name in any case. Empty if absent.
  [[nodiscard]] std::string_view header(std::string_view name) const;
};

struct HttpResponse {
  int Status = 200;
  std::string ContentType = "application/json";
  HttpHeaders Headers;
  std::string Body;
  bool Close = false; ///< Ends the connection after the answer.
};

struct HttpOptions {
  std::string Ip = "127.0.0.1";
  std::uint16_t Port = 0; ///< 0: any free port.
  /// Metric label of this listener.
  std::string Name = "http";
  std::size_t MaxBodyBytes = std::size_t{1} << 20;
  std::size_t MaxConnections = 10'000;
  /// Time for a whole message to arrive; also how long an idle connection is kept.
  std::chrono::milliseconds ReadTimeout{30'000};
  std::chrono::milliseconds WriteTimeout{10'000};
  /// Time within which a request must be answered. Afterwards its connection is closed.
  std::chrono::milliseconds HandleTimeout{660'000};
  std::chrono::milliseconds TimerResolution{1'000};
};

class IHttpServer {
public:
  virtual ~IHttpServer() = default;

  using RequestHandler = std::function<void(HttpRequest)>;
  /// The connection closed before the answer.
  using GoneHandler = std::function<void(HttpExchange)>;

  /// Binds and listens. Throws std::exception if the address cannot be bound.
  virtual void start(RequestHandler onRequest, GoneHandler onGone) = 0;
  /// Answers a request. An answer to an exchange that is not open is counted and dropped.
  virtual void respond(HttpExchange exchange, HttpResponse response) = 0;
  /// Stops accepting connections.
  virtual void stop() = 0;
  /// Port that the server listens on.
  [[nodiscard]] virtual std::uint16_t port() const = 0;
  /// Answers that are not written to their sockets yet, and requests that are not answered yet.
  [[nodiscard]] virtual std::size_t pending() const = 0;
  /// Open connections, idle ones included.
  [[nodiscard]] virtual std::size_t connections() const = 0;
};

} // namespace rosemaryhinge
