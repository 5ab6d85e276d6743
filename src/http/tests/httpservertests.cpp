// Tests of the HTTP server, on loopback.

#include "http/httpserver.h"

#include "metrics/metrics.h"
#include "net/tests/scriptedserver.h"

#include <doctest/doctest.h>

#include <array>
#include <optional>

using namespace rosemaryhinge;
using namespace std::chrono_literals;

namespace {

/// A caller's connection that collects what the server sends.
class Caller {
public:
  Caller(asio::io_context &io, std::uint16_t port) : Socket(io) {
    Socket.connect({asio::ip::make_address("127.0.0.1"), port});
    read();
  }
  void send(const std::string &bytes) { asio::write(Socket, asio::buffer(bytes)); }
  void close() { Socket.close(); }
  [[nodiscard]] bool got(std::string_view part) const { return In.find(part) != std::string::npos; }

  std::string In;
  bool Closed = false;

private:
  void read() {
    Socket.async_read_some(asio::buffer(Buf), [this](std::error_code ec, std::size_t size) {
      In.append(Buf.data(), size);
      Closed = static_cast<bool>(ec);
      if (!ec)
        read();
    });
  }
  asio::ip::tcp::socket Socket;
  std::array<char, 4096> Buf{};
};

struct Fixture {
  asio::io_context Io;
  Metrics Counters;
  std::vector<HttpRequest> Requests;
  std::vector<HttpExchange> Gone;
  std::unique_ptr<IHttpServer> Server;

  explicit Fixture(HttpOptions options = {}) {
    options.MaxBodyBytes = 1'000;
    options.TimerResolution = 20ms;
    Server = makeHttpServer(Io, Counters, options);
    Server->start([this](HttpRequest it) { Requests.push_back(std::move(it)); },
                  [this](HttpExchange it) { Gone.push_back(it); });
  }
  template <typename F> bool until(F condition) { return testing::runUntil(Io, condition); }
};

std::string post(const std::string &path, const std::string &body) {
  return "POST " + path +
         " HTTP/1.1\r\nHost: x\r\nX-Session-Token: t\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

} // namespace

TEST_CASE("a request is taken in and answered on the same connection, also when split up") {
  Fixture f;
  Caller caller(f.Io, f.Server->port());
  const auto whole = post("/a%20b?x=1", "{}");
  for (const char it : whole) {
    caller.send(std::string(1, it));
    f.Io.poll();
  }
  REQUIRE(f.until([&] { return f.Requests.size() == 1; }));
  CHECK(f.Requests[0].Method == "POST");
  CHECK(f.Requests[0].Path == "/a%20b");
  CHECK(f.Requests[0].Body == "{}");
  CHECK(f.Requests[0].header("x-SESSION-token") == "t");
  f.Server->respond(f.Requests[0].Exchange, {200, "application/json", {{"X-A", "b"}}, "[1]", false});
  CHECK(f.until([&] { return caller.got("[1]"); }));
  CHECK(caller.got("X-A: b"));
  caller.send(post("/second", ""));
  CHECK(f.until([&] { return f.Requests.size() == 2; }));
}

// Guards answer_matching on the last hop.
TEST_CASE("a doubled, late or unknown answer is dropped and reaches nobody") {
  Fixture f;
  Caller one(f.Io, f.Server->port());
  Caller two(f.Io, f.Server->port());
  one.send(post("/one", ""));
  REQUIRE(f.until([&] { return f.Requests.size() == 1; }));
  two.send(post("/two", ""));
  REQUIRE(f.until([&] { return f.Requests.size() == 2; }));
  f.Server->respond(f.Requests[1].Exchange, {200, "text/plain", {}, "answer-two", false});
  f.Server->respond(f.Requests[1].Exchange, {200, "text/plain", {}, "doubled", false});
  f.Server->respond(999, {200, "text/plain", {}, "unknown", false});
  REQUIRE(f.until([&] { return two.got("answer-two"); }));
  one.close();
  REQUIRE(f.until([&] { return f.Gone.size() == 1; }));
  CHECK(f.Gone[0] == f.Requests[0].Exchange);
  f.Server->respond(f.Requests[0].Exchange, {200, "text/plain", {}, "late", false});
  f.Io.run_for(50ms);
  CHECK(!two.got("late"));
  CHECK(!two.got("doubled"));
  CHECK(f.Counters.value("http_answers_dropped_total{listener=\"http\"}") == 3);
  CHECK(f.Server->pending() == 0);
}

TEST_CASE("a body over the limit is answered with 413, a huge one ends the connection") {
  Fixture f;
  Caller over(f.Io, f.Server->port());
  over.send(post("/", std::string(1'001, 'x')));
  CHECK(f.until([&] { return over.got("413") && over.got("not_run"); }));
  CHECK(f.until([&] { return over.Closed; }));
  CHECK(f.Counters.value("http_body_too_large_total{listener=\"http\"}") == 1);
  Caller huge(f.Io, f.Server->port());
  huge.send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 100000000\r\n\r\n");
  huge.send(std::string(100'000, 'x'));
  CHECK(f.until([&] { return huge.Closed; }));
  CHECK(f.Requests.empty());
  Caller exact(f.Io, f.Server->port());
  exact.send(post("/", std::string(1'000, 'x')));
  CHECK(f.until([&] { return f.Requests.size() == 1; }));
}

TEST_CASE("half a request, a slow sender and bytes that are no HTTP end the connection without a request") {
  HttpOptions options;
  options.ReadTimeout = 100ms;
  Fixture f(options);
  Caller half(f.Io, f.Server->port());
  const auto whole = post("/", "0123456789");
  half.send(whole.substr(0, whole.size() - 1));
  f.Io.run_for(20ms);
  half.close();
  Caller halfHead(f.Io, f.Server->port());
  halfHead.send("POST / HTTP/1.1\r\nHost: x\r\n");
  f.Io.run_for(20ms);
  halfHead.close();
  Caller slow(f.Io, f.Server->port());
  slow.send("POST / HTTP/1.1\r\nHo");
  CHECK(f.until([&] { return slow.Closed; }));
  Caller noise(f.Io, f.Server->port());
  noise.send("\x16\x03\x01 this is not HTTP\r\n\r\n");
  CHECK(f.until([&] { return noise.Closed; }));
  CHECK(f.Requests.empty());
  CHECK(f.Counters.value("http_connection_errors_total{listener=\"http\"}") >= 2);
}

TEST_CASE("a request that is not answered in time is given up") {
  HttpOptions options;
  options.HandleTimeout = 50ms;
  Fixture f(options);
  Caller caller(f.Io, f.Server->port());
  caller.send(post("/", ""));
  CHECK(f.until([&] { return caller.Closed && f.Gone.size() == 1; }));
}

TEST_CASE("connections beyond the bound are closed until another one has gone") {
  HttpOptions options;
  options.MaxConnections = 1;
  Fixture f(options);
  auto first = std::make_unique<Caller>(f.Io, f.Server->port());
  first->send(post("/1", ""));
  REQUIRE(f.until([&] { return f.Requests.size() == 1; }));
  Caller second(f.Io, f.Server->port());
  CHECK(f.until([&] { return second.Closed; }));
  CHECK(f.Requests.size() == 1);
  CHECK(f.Counters.value("http_connections_refused_total{listener=\"http\"}") == 1);
  first->close();
  REQUIRE(f.until([&] { return f.Gone.size() == 1; }));
  Caller third(f.Io, f.Server->port());
  third.send(post("/3", ""));
  CHECK(f.until([&] { return f.Requests.size() == 2; }));
}

// Guards against connections that refer to parts of a server which is stopped before them.
TEST_CASE("a stopped server still answers what is open and takes no new connection") {
  Fixture f;
  Caller caller(f.Io, f.Server->port());
  caller.send(post("/", ""));
  REQUIRE(f.until([&] { return f.Requests.size() == 1; }));
  const auto port = f.Server->port();
  f.Server->stop();
  f.Server->respond(f.Requests[0].Exchange, {200, "text/plain", {}, "answer", false});
  CHECK(f.until([&] { return caller.got("answer") && f.Server->pending() == 0; }));
  asio::ip::tcp::socket late(f.Io);
  std::error_code ec;
  late.connect({asio::ip::make_address("127.0.0.1"), port}, ec);
  CHECK(ec);
}

// Guards the end of a daemon, which waits for its last connections.
TEST_CASE("open connections are counted, also after the server accepts no more") {
  Fixture f;
  CHECK(f.Server->connections() == 0);
  Caller idle(f.Io, f.Server->port());
  Caller busy(f.Io, f.Server->port());
  REQUIRE(f.until([&] { return f.Server->connections() == 2; }));
  f.Server->stop();
  CHECK(f.Server->connections() == 2);
  busy.send(post("/late", ""));
  REQUIRE(f.until([&] { return f.Requests.size() == 1; }));
  f.Server->respond(f.Requests[0].Exchange, {503, "text/plain", {}, "late-answer", true});
  CHECK(f.until([&] { return busy.got("late-answer") && busy.Closed; }));
  CHECK(f.until([&] { return f.Server->connections() == 1; }));
  idle.close();
  CHECK(f.until([&] { return f.Server->connections() == 0; }));
}
