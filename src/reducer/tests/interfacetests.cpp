// Tests of events that a proxy of the other caller interface handles.

#include "reducer/tests/sessionharness.h"

#include <doctest/doctest.h>

using namespace rosemaryhinge;

namespace {

/// Effects of the adapters that a proxy whose callers keep sessions does not have.
bool lacksAdapter(const Effect &effect) {
  return std::holds_alternative<Respond>(effect) || std::holds_alternative<TargetAddress>(effect) ||
         std::holds_alternative<OpenConnection>(effect) || std::holds_alternative<CloseConnection>(effect) ||
         std::holds_alternative<Execute>(effect) || std::holds_alternative<ControlCall>(effect) ||
         std::holds_alternative<PlatformCall>(effect);
}

constexpr int HttpNotImplemented = 501;

} // namespace

TEST_CASE("commands on settings and the journal are refused where callers keep sessions") {
  // Guards against the end of the process: the store that these commands read is not connected.
  const auto change = R"({"revision":1,"change_id":"c","author":"a","path":"/","key":"k","value":"1"})";
  for (const auto *command : {"settings.get", "settings.verify", "settings.history", "settings.diff",
                              "settings.set", "settings.unset", "settings.none", "report", "report.none"}) {
    CAPTURE(command);
    SessionHarness proxy;
    proxy.Out.clear();
    proxy.apply(AdminRequest{5, command, change});
    CHECK(std::none_of(proxy.Out.begin(), proxy.Out.end(), lacksAdapter));
    const auto reply = proxy.take<AdminReply>();
    REQUIRE(reply);
    CHECK(reply->Id == 5);
    CHECK(reply->HttpStatus == HttpNotImplemented);
    proxy.pass(30s);
    CHECK(std::none_of(proxy.Out.begin(), proxy.Out.end(), lacksAdapter));
  }
}

TEST_CASE("views of the state are answered where callers keep sessions") {
  for (const auto *command : {"status", "targets", "sessions"}) {
    SessionHarness proxy;
    proxy.apply(AdminRequest{5, command, "{}"});
    const auto reply = proxy.take<AdminReply>();
    REQUIRE(reply);
    CHECK(reply->HttpStatus == 200);
  }
}

TEST_CASE("an event of the other caller interface changes nothing and is counted") {
  const auto ignored = [](const Effects &effects) {
    return effects.size() == 1 && std::holds_alternative<InvariantBroken>(effects.front());
  };
  SessionHarness proxy;
  for (const Event &event : {Event(RequestArrived{}), Event(CallerDisconnected{}), Event(ConnectionOpened{}),
                             Event(ConnectionClosed{}), Event(ExecutionFinished{}), Event(ControlAnswer{}),
                             Event(PlatformAnswer{})})
    CHECK(ignored(reduce(proxy.Logic, event, proxy.Now)));
  State requests;
  for (const Event &event :
       {Event(CallerConnected{}), Event(SessionOpened{}), Event(StatementArrived{}), Event(SessionClosed{}),
        Event(LinkOpened{}), Event(LinkClosed{}), Event(DirectoryAnswer{}), Event(PromotionAnswer{})})
    CHECK(ignored(reduce(requests, event, proxy.Now)));
}
