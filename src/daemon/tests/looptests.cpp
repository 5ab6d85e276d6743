// Tests of the event loop with a small decision logic, and of log lines.

#include "daemon/internal/shutdownsignals.h"
#include "daemon/logger.h"
#include "daemon/loop.h"
#include "net/bootclock.h"

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include <algorithm>
#include <csignal>
#include <doctest/doctest.h>
#include <functional>
#include <thread>
#include <vector>

using namespace rosemaryhinge;

namespace {

struct TestReducer : IReducer {
  std::function<Effects(const Event &, TimePoint)> Rule;
  std::optional<TimePoint> Next;
  std::vector<TimePoint> Times;
  std::size_t TimersFired = 0;

  [[nodiscard]] Effects apply(const Event &event, TimePoint now) override {
    Times.push_back(now);
    TimersFired += std::holds_alternative<TimerFired>(event) ? 1 : 0;
    return Rule ? Rule(event, now) : Effects{};
  }
  [[nodiscard]] std::optional<TimePoint> nextTimer() const override { return Next; }
  [[nodiscard]] bool ready() const override { return true; }
};

struct TestLogger : ILogger {
  std::vector<Log> Entries;
  void log(const Log &entry) override { Entries.push_back(entry); }
};

struct TestCallers : ICallers {
  std::vector<std::pair<RequestId, Answer>> Answers;
  std::optional<SessionKeys> Keys;
  std::size_t Unwritten = 0;
  bool Stopped = false;

  void start() override {}
  void respond(RequestId id, const Answer &answer) override { Answers.emplace_back(id, answer); }
  void setKeys(SessionKeys keys) override { Keys = std::move(keys); }
  [[nodiscard]] bool hasKeys() const override { return Keys.has_value(); }
  void stop() override { Stopped = true; }
  [[nodiscard]] std::uint16_t port() const override { return 1; }
  [[nodiscard]] std::size_t pending() const override { return Unwritten; }
  [[nodiscard]] std::size_t connections() const override { return 0; }
};

struct TestPeers : IPeers {
  std::vector<SendToPeer> Sent;
  void setAddress(const PeerAddress &) override {}
  void send(const SendToPeer &effect) override { Sent.push_back(effect); }
  void stop() override {}
  [[nodiscard]] std::uint16_t port() const override { return 1; }
  [[nodiscard]] std::size_t pending() const override { return 0; }
};

struct TestTargets : ITargets {
  void setAddress(const TargetAddress &) override {}
  void open(const OpenConnection &) override {}
  void close(const CloseConnection &) override {}
  void execute(const Execute &) override {}
  void control(const ControlCall &) override {}
  void stop() override {}
};

struct TestPlatform : IPlatform {
  std::vector<PlatformCall> Calls;
  std::string Keys = R"({"current":"k","keys":{"k":"MDEyMzQ1Njc4OWFiY2RlZg=="}})";

  void call(const PlatformCall &effect, Handler handler) override {
    Calls.push_back(effect);
    const auto *get = std::get_if<GetObject>(&effect.Request);
    if (get && get->Key == "keys/session")
      handler({effect.Call, Keys.empty() ? decltype(PlatformAnswer::Result)(PlatformFailure{"down"})
                                         : ObjectValue{get->Key, 1, Keys}});
    else
      handler({effect.Call, PutDone{7}});
  }
  void stop() override {}
};

struct TestAdmin : IAdmin {
  void start() override {}
  void reply(const AdminReply &) override {}
  void stop() override {}
  [[nodiscard]] std::uint16_t port() const override { return 1; }
  [[nodiscard]] std::size_t pending() const override { return 0; }
};

struct Fixture {
  asio::io_context Io;
  TestReducer Reducer;
  Metrics Counters;
  TestLogger Logger;
  TestCallers Callers;
  TestPeers Peers;
  TestTargets Targets;
  TestPlatform Platform;
  TestAdmin Admin;
  Loop Subject{Io, Reducer, Counters, Logger};

  Fixture() { Subject.setAdapters({&Callers, &Peers, &Targets, &Platform, &Admin}); }
  /// Runs with a stop after the given time, in case the test's rule does not end the loop.
  void run(std::chrono::milliseconds limit = std::chrono::milliseconds(2'000)) {
    asio::steady_timer guard(Io, limit);
    guard.async_wait([this](std::error_code ec) {
      if (!ec)
        Subject.stop();
    });
    Subject.run({1, 2});
  }
};

} // namespace

TEST_CASE("effects go to their adapters, and their results come back as events") {
  Fixture f;
  std::vector<std::size_t> kinds;
  f.Reducer.Rule = [&](const Event &event, TimePoint) -> Effects {
    kinds.push_back(event.index());
    if (std::holds_alternative<Started>(event))
      return {PlatformCall{{Module::Slots, 5}, 1s, PutObject{"k", 1, "v"}},
              SendToPeer{NodeId("p"), JournalAck{1}}, CountRefusal{RefusalReason::NoPrimary},
              Count{"things_total", 2}};
    if (const auto *answer = std::get_if<PlatformAnswer>(&event)) {
      CHECK(answer->Call == CallId{Module::Slots, 5});
      return {ShutdownComplete{}};
    }
    return {};
  };
  f.run();
  CHECK(kinds.front() == Event(Started{}).index());
  CHECK(f.Peers.Sent.size() == 1);
  CHECK(f.Counters.value("refusals_total{reason=\"no_primary\"}") == 1);
  CHECK(f.Counters.value("things_total") == 2);
  // The keys' answer is the daemon's own and no event.
  CHECK(std::count(kinds.begin(), kinds.end(), Event(PlatformAnswer{}).index()) == 1);
  CHECK(f.Callers.hasKeys());
}

TEST_CASE("without keys from the platform none are set, and they are asked for again") {
  Fixture f;
  f.Platform.Keys.clear();
  f.run(std::chrono::milliseconds(1'300));
  CHECK(!f.Callers.hasKeys());
  CHECK(f.Counters.value("session_keys_failures_total") == 2);
}

TEST_CASE("the timer fires at its time, and a time that has passed does not spin the loop") {
  Fixture f;
  const auto start = bootNow();
  f.Reducer.Next = start + 30ms;
  f.Reducer.Rule = [&](const Event &event, TimePoint now) -> Effects {
    if (std::holds_alternative<TimerFired>(event) && f.Reducer.TimersFired == 1) {
      CHECK(now >= start + 30ms);
      f.Reducer.Next = TimePoint();
    }
    return {};
  };
  f.run(std::chrono::milliseconds(80));
  CHECK(f.Reducer.TimersFired > 2);
  CHECK(f.Reducer.TimersFired <= 101); // 50 ms at most every 500 us, and the first.
  CHECK(std::is_sorted(f.Reducer.Times.begin(), f.Reducer.Times.end()));
}

TEST_CASE("events that were received before a timer fired are handled before it") {
  // Guards against sessions that are closed as idle while their next statement is in the queue.
  Fixture f;
  std::vector<std::size_t> kinds;
  f.Reducer.Next = bootNow() + 20ms;
  f.Reducer.Rule = [&](const Event &event, TimePoint) -> Effects {
    kinds.push_back(event.index());
    if (!std::holds_alternative<TimerFired>(event))
      return {};
    f.Reducer.Next.reset();
    return {ShutdownComplete{}};
  };
  // Both become ready while the loop is held up.
  asio::steady_timer held(f.Io, std::chrono::milliseconds(5));
  held.async_wait([&](std::error_code) {
    std::this_thread::sleep_for(std::chrono::milliseconds(40));
    asio::post(f.Io, [&] { asio::post(f.Io, [&] { f.Subject.post(PeerLost{NodeId("p")}); }); });
  });
  f.run();
  const auto place = [&](const Event &it) { return std::find(kinds.begin(), kinds.end(), it.index()); };
  REQUIRE(place(PeerLost{}) != kinds.end());
  CHECK(place(PeerLost{}) < place(TimerFired{}));
}

TEST_CASE("a timer waits for all events that were received before it fired, and for no others") {
  Fixture f;
  constexpr std::size_t Received = 1'000;
  std::size_t before = 0;
  f.Reducer.Next = bootNow() + 20ms;
  f.Reducer.Rule = [&](const Event &event, TimePoint) -> Effects {
    before += std::holds_alternative<PeerLost>(event) ? 1 : 0;
    if (std::holds_alternative<PeerLost>(event) && before >= Received)
      f.Subject.post(PeerLost{NodeId("p")}); // Events go on without end.
    if (!std::holds_alternative<TimerFired>(event))
      return {};
    f.Reducer.Next.reset();
    f.Subject.stop();
    return {};
  };
  asio::steady_timer held(f.Io, std::chrono::milliseconds(5));
  held.async_wait([&](std::error_code) {
    std::this_thread::sleep_for(std::chrono::milliseconds(40));
    for (std::size_t n = 0; n < Received; ++n)
      f.Subject.post(PeerLost{NodeId("p")});
  });
  f.run();
  CHECK(f.Reducer.TimersFired == 1);
  CHECK(before >= Received);
}

TEST_CASE("a broken invariant is counted and logged with the trail of events") {
  Fixture f;
  f.Reducer.Rule = [](const Event &event, TimePoint) -> Effects {
    if (std::holds_alternative<PeerLost>(event))
      return {InvariantBroken{"answer_matching", "detail"}, ShutdownComplete{}};
    return {};
  };
  for (std::uint64_t n = 1; n <= 100; ++n) {
    RequestArrived arrived;
    arrived.Request.Id = RequestId{n};
    arrived.Request.Database = DatabaseId("db");
    arrived.Request.Statements = {"SELECT secret"};
    f.Subject.post(arrived);
  }
  f.Subject.post(PeerLost{NodeId("p")});
  f.run();
  CHECK(f.Counters.value("invariant_broken_total{invariant=\"answer_matching\"}") == 1);
  REQUIRE(!f.Logger.Entries.empty());
  const auto &entry = f.Logger.Entries.front();
  CHECK((entry.Level == LogLevel::Error));
  CHECK(entry.Fields.size() == 2 + detail::Trail::Size);
  CHECK(entry.Fields.back().Value.find("peer_lost p") != std::string::npos);
  CHECK(entry.Fields[entry.Fields.size() - 2].Value.find("request write 100 db") != std::string::npos);
  for (const auto &it : entry.Fields)
    CHECK(it.Value.find("secret") == std::string::npos);
}

TEST_CASE("requests beyond the queue's bound are refused") {
  Fixture f;
  for (std::size_t n = 0; n < Loop::MaxQueued; ++n)
    f.Subject.post(TimerFired{});
  RequestArrived arrived;
  arrived.Request.Id = RequestId{9};
  f.Subject.post(arrived);
  REQUIRE(f.Callers.Answers.size() == 1);
  CHECK((std::get<Refusal>(f.Callers.Answers[0].second).Reason == RefusalReason::Overloaded));
  CHECK(f.Counters.value("refusals_total{reason=\"overloaded\"}") == 1);
}

TEST_CASE("the end of a shutdown waits for the last answers, but not for ever") {
  Fixture f;
  f.Callers.Unwritten = 1;
  asio::steady_timer written(f.Io, std::chrono::milliseconds(50));
  written.async_wait([&](std::error_code) { f.Callers.Unwritten = 0; });
  f.Subject.post(ShutdownRequested{});
  f.Reducer.Rule = [](const Event &event, TimePoint) -> Effects {
    if (std::holds_alternative<ShutdownRequested>(event))
      return {ShutdownComplete{}};
    return {};
  };
  const auto start = bootNow();
  f.run();
  CHECK(f.Callers.Stopped);
  CHECK(bootNow() - start >= 50ms);
  CHECK(bootNow() - start < 1s);
}

TEST_CASE("log lines are one line each, as key=value or JSON") {
  const Log entry{LogLevel::Warn, "two\nlines", {{"db", "a b"}, {"n", "1"}, {"bad", "\xff"}}};
  const auto at = std::chrono::system_clock::time_point(std::chrono::milliseconds(1'700'000'000'123));
  CHECK(
      formatLog(entry, LogFormat::KeyValue, at) ==
      "time=2023-11-14T22:13:20.123Z level=warn message=\"two\\nlines\" db=\"a b\" n=1 bad=\"\xef\xbf\xbd\"");
  CHECK(
      formatLog(entry, LogFormat::Json, at) ==
      "{\"time\":\"2023-11-14T22:13:20.123Z\",\"level\":\"warn\",\"message\":\"two\\nlines\",\"db\":\"a b\","
      "\"n\":\"1\",\"bad\":\"\xef\xbf\xbd\"}");
}

TEST_CASE("a second SIGTERM does not end a process that is shutting down") {
  // Guards against statements that are cut off without an answer before the shutdown grace has ended.
  asio::io_context io;
  TestReducer reducer;
  std::size_t requested = 0;
  reducer.Rule = [&](const Event &event, TimePoint) {
    requested += std::holds_alternative<ShutdownRequested>(event) ? 1 : 0;
    return Effects{};
  };
  Metrics metrics;
  TestLogger logger;
  Loop loop(io, reducer, metrics, logger);
  const detail::ShutdownSignals signals(io, loop, logger);
  for (int n = 0; n < 3; ++n) {
    std::raise(SIGTERM);
    io.run_for(20ms);
  }
  CHECK(requested == 1);
  CHECK_FALSE(io.stopped());
  std::raise(SIGINT);
  io.run_for(20ms);
  CHECK(io.stopped());
}

TEST_CASE("an effect whose adapter the proxy does not have is counted and logged, and the loop goes on") {
  // Guards against the end of the process by a decision that belongs to the other caller interface.
  Fixture f;
  f.Subject.setAdapters({});
  const Effects lost = {Respond{},         SendToPeer{},      PeerAddress{},   TargetAddress{},
                        OpenConnection{},  CloseConnection{}, Execute{},       ControlCall{},
                        PlatformCall{},    AdminReply{},      AcceptSession{}, RefuseSession{},
                        AnswerStatement{}, CloseSession{},    StopAccepting{}, OpenLink{},
                        SendOnLink{},      CloseLink{},       DirectoryCall{}, PromotionCall{}};
  f.Reducer.Rule = [&](const Event &event, TimePoint) -> Effects {
    if (!std::holds_alternative<Started>(event))
      return {};
    auto out = lost;
    out.emplace_back(ShutdownComplete{});
    return out;
  };
  f.run();
  CHECK(f.Counters.text().find("effects_without_adapter_total " + std::to_string(lost.size())) !=
        std::string::npos);
  const auto &entries = f.Logger.Entries;
  CHECK(std::any_of(entries.begin(), entries.end(),
                    [](const Log &it) { return it.Message == "effect without an adapter"; }));
}
