// HTTP server without sockets, for tests of what stands on it.

#pragma once

#include "http/ihttpserver.h"

#include <map>

namespace rosemaryhinge::testing {

class FakeHttpServer : public IHttpServer {
public:
  RequestHandler OnRequest;
  GoneHandler OnGone;
  std::map<HttpExchange, HttpResponse> Answers;
  std::size_t DoubleAnswers = 0;

  HttpExchange request(std::string method, std::string path, std::string body, HttpHeaders headers = {}) {
    OnRequest({++Last, std::move(method), std::move(path), std::move(headers), std::move(body), "10.0.0.9"});
    return Last;
  }

  void start(RequestHandler onRequest, GoneHandler onGone) override {
    OnRequest = std::move(onRequest);
    OnGone = std::move(onGone);
  }
  void respond(HttpExchange exchange, HttpResponse response) override {
    if (!Answers.emplace(exchange, std::move(response)).second)
      ++DoubleAnswers;
  }
  void stop() override {}
  [[nodiscard]] std::uint16_t port() const override { return 1; }
  [[nodiscard]] std::size_t pending() const override { return Last - Answers.size(); }
  [[nodiscard]] std::size_t connections() const override { return 0; }

private:
  HttpExchange Last = 0;
};

} // namespace rosemaryhinge::testing
