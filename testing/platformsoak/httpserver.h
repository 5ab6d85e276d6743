// A small HTTP/1.1 server on loopback: one thread a connection, JSON bodies.

#pragma once

#include <functional>
#include <map>
#include <string>

namespace rosemaryhinge::platformsoak {

struct HttpRequest {
  std::string Method, Path, Body;
  std::map<std::string, std::string> Query;
  std::map<std::string, std::string> Headers; ///< Names in lower case.
};

struct HttpReply {
  /// 0 closes the connection without an answer.
  int Status = 200;
  std::string Body = "{}";
  std::map<std::string, std::string> Headers{};
};

/// Serves until the program ends.
class HttpServer {
public:
  using Handler = std::function<HttpReply(const HttpRequest &)>;
  explicit HttpServer(Handler handler);
  [[nodiscard]] int port() const { return Port; }

private:
  void serve(int fd);
  Handler Handle;
  int Fd, Port;
};

} // namespace rosemaryhinge::platformsoak
