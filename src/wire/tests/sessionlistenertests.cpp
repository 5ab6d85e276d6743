// Tests of callers' connections with real sockets on loopback.

#include "wire/wire.h"

#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <map>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace rosemaryhinge;

namespace {

using asio::ip::tcp;

/// The byte d starts a session, ( begins a message that any other byte completes and that means nothing; any
/// other byte is a statement of that name.
struct ByteCodec : ICallerCodec {
  void decode(std::string_view bytes, std::vector<CallerMessage> &out) override {
    for (const char it : bytes)
      if (Incomplete || it == '(')
        Incomplete = !Incomplete;
      else if (it == 'd')
        out.emplace_back(SessionStart{"d", {}});
      else
        out.emplace_back(SessionStatement{std::string(1, it), "text", MalformedStatement{}});
  }
  [[nodiscard]] std::size_t incomplete() const override { return Incomplete ? 1 : 0; }
  [[nodiscard]] std::string greeting() override { return "+"; }
  [[nodiscard]] std::string refusal(const StatementRejection &) override { return "-"; }
  [[nodiscard]] std::string answer(const AnswerStatement &it) override {
    const auto *why = std::get_if<StatementRejection>(&it.Outcome);
    return it.StatementId + (why && why->Code == Rejection::Busy ? "!" : "?");
  }

  bool Incomplete = false; ///< The last byte was (.
};

struct ByteCodecs : ICodecs {
  [[nodiscard]] std::unique_ptr<ICallerCodec> caller() const override {
    return std::make_unique<ByteCodec>();
  }
  [[nodiscard]] std::unique_ptr<IServerCodec> server() const override { return nullptr; }
};

struct Counts : IMetrics {
  void count(std::string_view name, double value) override { Values[std::string(name)] += value; }
  void observe(std::string_view, Duration) override {}

  std::map<std::string, double> Values;
};

/// The usual times, a hundredth as long.
CallerLimits shortTimes() {
  CallerLimits out;
  out.SessionStart = std::chrono::milliseconds(100);
  out.Message = out.Answer = std::chrono::milliseconds(150);
  out.CheckInterval = std::chrono::milliseconds(10);
  return out;
}

struct Fixture {
  explicit Fixture(const CallerLimits &limits = {}) : Limits(limits) {}

  CallerLimits Limits;
  asio::io_context Io;
  ByteCodecs Codecs;
  Counts Counters;
  std::vector<Event> Events;
  std::unique_ptr<ISessionListener> Subject = makeSessionListener(
      Io, {{"127.0.0.1", 0}, Limits}, Codecs, [this](Event event) { Events.push_back(std::move(event)); },
      Counters);
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

namespace {

/// A caller with a session.
struct OpenSession {
  explicit OpenSession(Fixture &fixture) : F(fixture), Socket(fixture.connect()) {
    send('d');
    F.Io.run_for(std::chrono::milliseconds(50));
    REQUIRE(F.count<SessionOpened>() == 1);
    Id = std::get<SessionOpened>(F.Events.back()).Session;
  }
  void send(char byte) {
    asio::write(Socket, asio::buffer(&byte, 1));
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  /// What is received until the end of the connection.
  std::string rest() {
    std::string out;
    asio::read(Socket, asio::dynamic_buffer(out), Error);
    return out;
  }

  Fixture &F;
  tcp::socket Socket;
  SessionId Id;
  std::error_code Error; ///< After rest(): how the connection ended.
};

} // namespace

TEST_CASE("a statement that has arrived when its session is closed is refused as not run") {
  // Guards against writes that end without an answer because a leaving proxy found their session idle.
  Fixture f;
  OpenSession caller(f);
  caller.send('w');
  f.Subject->close({caller.Id});
  f.Io.run_for(std::chrono::milliseconds(50));
  CHECK(caller.rest() == "w!");
  CHECK(caller.Error == asio::error::eof);
  CHECK(f.count<StatementArrived>() == 0);
}

TEST_CASE("a statement that follows the answer with which its session is closed is refused as not run") {
  Fixture f;
  OpenSession caller(f);
  asio::post(f.Io, [&] {
    const StatementRejection failed{Rejection::Failed, ""};
    f.Subject->answer({caller.Id, "a", failed, TransactionState::Idle, std::nullopt});
    f.Subject->close({caller.Id});
    std::array<char, 2> buf{};
    asio::read(caller.Socket, asio::buffer(buf));
    CHECK(std::string(buf.data(), buf.size()) == "a?");
    caller.send('w');
  });
  f.Io.run_for(std::chrono::milliseconds(100));
  CHECK(caller.rest() == "w!");
  CHECK(caller.Error == asio::error::eof);
}

TEST_CASE("nothing is answered on a connection that leaves a statement unanswered") {
  // Guards against a refusal that the caller takes for that of an earlier write.
  Fixture f;
  OpenSession caller(f);
  caller.send('w');
  f.Subject->close({caller.Id, true});
  f.Subject->answer({caller.Id, "w", StatementRejection{Rejection::Busy, ""}, TransactionState::Idle, {}});
  f.Io.run_for(std::chrono::milliseconds(50));
  CHECK(caller.rest().empty());
}

TEST_CASE("statements beyond the limit wait until earlier ones are answered, in their order") {
  // Guards against a queue without a bound, and against closing a caller that only sends ahead.
  Fixture f;
  OpenSession caller(f);
  std::string sent;
  for (int n = 0; n < 100; ++n)
    sent += static_cast<char>('A' + n % 26);
  asio::write(caller.Socket, asio::buffer(sent));
  f.Io.run_for(std::chrono::milliseconds(50));
  CHECK(f.count<StatementArrived>() == ReceivedStatements::MaxStatements);
  std::string arrived;
  for (std::size_t n = 0; n < f.Events.size(); ++n) {
    const auto *it = std::get_if<StatementArrived>(&f.Events[n]);
    if (!it)
      continue;
    arrived += it->Statement.Id;
    const auto id = it->Statement.Id;
    f.Subject->answer({caller.Id, id, StatementRejection{Rejection::Failed, ""}, TransactionState::Idle, {}});
    f.Io.run_for(std::chrono::milliseconds(1));
  }
  CHECK(arrived == sent);
}

TEST_CASE("statements that wait when their session is closed are refused as not run") {
  // Guards against writes that end without an answer because they waited in the proxy.
  Fixture f;
  OpenSession caller(f);
  asio::write(caller.Socket, asio::buffer(std::string(ReceivedStatements::MaxStatements, 'a') + "w"));
  f.Io.run_for(std::chrono::milliseconds(50));
  f.Subject->close({caller.Id});
  f.Io.run_for(std::chrono::milliseconds(50));
  CHECK(caller.rest() == "w!");
}

TEST_CASE("connections that start no session, or do not complete a message, are closed after a time") {
  // Guards against groups of clients that stop half-way and are kept for ever.
  Fixture f(shortTimes());
  auto silent = f.connect();
  auto incomplete = f.connect();
  auto idle = f.connect();
  asio::write(incomplete, asio::buffer("d(", 2));
  asio::write(idle, asio::buffer("d((", 3));
  f.Io.run_for(std::chrono::milliseconds(400));
  CHECK(f.count<SessionOpened>() == 2);
  CHECK(f.count<SessionClosed>() == 2);
  CHECK(f.Counters.Values["callers_closed_total{reason=\"no_session\"}"] == 1);
  CHECK(f.Counters.Values["callers_closed_total{reason=\"incomplete_message\"}"] == 1);
}

TEST_CASE("a caller that accepts none of its answer is closed after a time, one that reads slowly is not") {
  // Guards against answers that are kept for callers that have stopped reading.
  constexpr std::size_t Large = std::size_t{32} << 20;
  auto limits = shortTimes();
  limits.MaxUnsent = limits.UnreadBytes = 3 * Large;
  Fixture f(limits);
  OpenSession stopped(f);
  const auto answer = [&f](SessionId id) {
    const StatementRejection failed{Rejection::Failed, ""};
    f.Subject->answer({id, std::string(Large, 'x'), failed, TransactionState::Idle, std::nullopt});
  };
  auto slow = f.connect();
  asio::write(slow, asio::buffer("d", 1));
  f.Io.run_for(std::chrono::milliseconds(20));
  answer(stopped.Id);
  answer(std::get<SessionOpened>(f.Events.back()).Session);
  std::vector<char> buf(std::size_t{512} << 10);
  for (int n = 0; n < 40; ++n) {
    if (slow.available() > 0)
      slow.read_some(asio::buffer(buf));
    f.Io.run_for(std::chrono::milliseconds(10));
  }
  CHECK(f.count<SessionClosed>() == 1);
  CHECK(f.Counters.Values["callers_closed_total{reason=\"answer_not_accepted\"}"] == 1);
}

TEST_CASE("the caller with the most unread answers is closed when their budget is used up") {
  // Guards against a budget that closes callers that read.
  constexpr std::size_t Large = std::size_t{8} << 20;
  CallerLimits limits;
  limits.MaxUnsent = 2 * Large;
  limits.UnreadBytes = Large;
  Fixture f(limits);
  OpenSession caller(f);
  const StatementRejection failed{Rejection::Failed, ""};
  f.Subject->answer({caller.Id, std::string(Large, 'x'), failed, TransactionState::Idle, std::nullopt});
  CHECK(f.count<SessionClosed>() == 1);
  CHECK(f.Counters.Values["callers_closed_total{reason=\"unread_answers\"}"] == 1);
}
