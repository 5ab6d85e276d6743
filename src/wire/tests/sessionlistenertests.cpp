// Tests of callers' connections with real sockets on loopback.

#include "wire/wire.h"

#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

using namespace rosemaryhinge;

namespace {

using asio::ip::tcp;

/// Each byte of a caller starts a session.
struct ByteCodec : ICallerCodec {
  void decode(std::string_view bytes, std::vector<CallerMessage> &out) override {
    for (const char it : bytes)
      out.emplace_back(SessionStart{std::string(1, it), "caller"});
  }
  [[nodiscard]] std::string greeting() override { return "+"; }
  [[nodiscard]] std::string refusal(const StatementRejection &) override { return "-"; }
  [[nodiscard]] std::string answer(const AnswerStatement &) override { return "a"; }
};

struct ByteCodecs : ICodecs {
  [[nodiscard]] std::unique_ptr<ICallerCodec> caller() const override {
    return std::make_unique<ByteCodec>();
  }
  [[nodiscard]] std::unique_ptr<IServerCodec> server() const override { return nullptr; }
};

struct NoMetrics : IMetrics {
  void count(std::string_view, double) override {}
  void observe(std::string_view, Duration) override {}
};

struct Fixture {
  asio::io_context Io;
  ByteCodecs Codecs;
  NoMetrics Counters;
  std::vector<Event> Events;
  std::unique_ptr<ISessionListener> Subject = makeSessionListener(
      Io, {{"127.0.0.1", 0}}, Codecs, [this](Event event) { Events.push_back(std::move(event)); }, Counters);
  asio::io_context CallerIo;

  tcp::socket connect() {
    tcp::socket out(CallerIo);
    out.connect({asio::ip::make_address("127.0.0.1"), Subject->port()});
    return out;
  }
  template <typename T> [[nodiscard]] std::size_t count() const {
    return static_cast<std::size_t>(std::count_if(
        Events.begin(), Events.end(), [](const Event &it) { return std::holds_alternative<T>(it); }));
  }
};

} // namespace

TEST_CASE("callers that have connected before the listener stops are reported, and none after it") {
  // Guards against connections that are accepted and reset when the process ends.
  Fixture f;
  constexpr std::size_t CallerCount = 20;
  std::vector<tcp::socket> callers;
  callers.reserve(CallerCount);
  for (std::size_t n = 0; n < CallerCount; ++n)
    callers.push_back(f.connect());
  const auto port = f.Subject->port();
  f.Subject->stopAccepting();
  f.Subject->stopAccepting();
  f.Io.run_for(std::chrono::milliseconds(50));
  CHECK(f.count<CallerConnected>() == callers.size());
  CHECK(f.count<AcceptingStopped>() == 1);
  CHECK(std::holds_alternative<AcceptingStopped>(f.Events.back()));
  tcp::socket late(f.CallerIo);
  std::error_code ec;
  late.connect({asio::ip::make_address("127.0.0.1"), port}, ec);
  CHECK(ec);

  asio::write(callers.back(), asio::buffer("d", 1));
  f.Io.run_for(std::chrono::milliseconds(50));
  CHECK(f.count<SessionOpened>() == 1);
}

TEST_CASE("the end of a connection is reported, whether a session has started on it or not") {
  Fixture f;
  auto unused = f.connect();
  auto broken = f.connect();
  asio::write(broken, asio::buffer("dd", 2));
  f.Io.run_for(std::chrono::milliseconds(50));
  CHECK(f.count<SessionOpened>() == 1);
  CHECK(f.count<SessionClosed>() == 1);
  unused.close();
  f.Io.run_for(std::chrono::milliseconds(50));
  CHECK(f.count<SessionClosed>() == 2);
}
