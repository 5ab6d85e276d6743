// Tests of sessions whose callers belong to workspaces.

#include "reducer/tests/sessionharness.h"

#include <doctest/doctest.h>

using namespace rosemaryhinge;

namespace {

const WorkspaceId North("north");
const WorkspaceId South("south");
const KeyDigest NorthKey{{1}};
const KeyDigest SouthKey{{2}};

/// A proxy whose configuration has two workspaces. The route "open" is anonymous.
class Proxy : public SessionHarness {
public:
  explicit Proxy(std::optional<Duration> revocationBound = std::nullopt) {
    Logic.Self.RevocationBound = revocationBound;
    // While a fleet starts, watches are paused after each change.
    pass(DirectoryModule::StartupPeriod + 1s);
    Configuration next = Logic.Catalog.configuration();
    auto open = route("open", Consistency::Primary);
    open.Anonymous = true;
    next.Routes.push_back(open);
    next.Workspaces = {{North, {NorthKey}, 0, 100, 100}, {South, {SouthKey}, 0, 100, 100}};
    configure(next);
    answerWatch(DirectoryKind::Configuration, {}, Revision);
  }

  void configure(Configuration next) {
    next.Version = Logic.Catalog.configuration().Version + 1;
    answerWatch(DirectoryKind::Configuration, {{"main", false, next}}, ++Revision);
  }
  void withdrawNorthKey() {
    auto next = Logic.Catalog.configuration();
    next.Workspaces->front().Keys.clear();
    configure(next);
  }
  SessionId open(const std::string &database, const KeyDigest &key) {
    const auto id = connect();
    apply(SessionOpened{id, database, key});
    return id;
  }
  /// Accepts the oldest link that is being opened, and returns its workspace.
  std::pair<LinkId, WorkspaceId> accept() {
    const auto it = take<OpenLink>();
    if (!it)
      return {};
    apply(LinkOpened{it->Link});
    return {it->Link, it->Workspace};
  }
  /// Rejection code of a statement; Unknown if it was not rejected or not answered.
  Rejection codeOf(const std::string &statement) {
    while (const auto it = take<AnswerStatement>())
      if (it->StatementId == statement)
        if (const auto *why = std::get_if<StatementRejection>(&it->Outcome))
          return why->Code;
    return Rejection::Unknown;
  }

private:
  std::uint64_t Revision = 100;
};

} // namespace

TEST_CASE("a caller with an unknown key is refused, and nothing is run for it") {
  Proxy proxy;
  const auto session = proxy.open("settle", KeyDigest{{9}});
  const auto refused = proxy.take<RefuseSession>();
  REQUIRE(refused);
  CHECK(refused->Session == session);
  CHECK((refused->Why.Code == Rejection::Unauthorized));
  CHECK_FALSE(proxy.take<AcceptSession>());
  // An anonymous route needs no key.
  proxy.open("open", KeyDigest{{9}});
  CHECK(proxy.take<AcceptSession>());
}

TEST_CASE("a statement runs on a link that was opened for its caller's workspace") {
  Proxy proxy;
  const auto north = proxy.open("settle", NorthKey);
  proxy.write(north, "w1");
  const auto [link, workspace] = proxy.accept();
  CHECK(workspace == North);
  REQUIRE(proxy.take<SendOnLink>());
  proxy.reply(link, SessionHarness::done(), TransactionState::Idle, Position{1, 5});
  const auto south = proxy.open("settle", SouthKey);
  proxy.write(south, "w2");
  CHECK_FALSE(proxy.take<SendOnLink>());
  CHECK(proxy.accept().second == South);
  CHECK(proxy.take<SendOnLink>());
  const auto anonymous = proxy.open("open", NorthKey);
  proxy.write(anonymous, "w3");
  CHECK(proxy.accept().second == WorkspaceId());
}

TEST_CASE("a session that is open when its key is withdrawn starts nothing any more") {
  Proxy proxy;
  const auto session = proxy.open("settle", NorthKey);
  proxy.write(session, "w1");
  const auto link = proxy.accept().first;
  proxy.take<SendOnLink>();
  proxy.reply(link, SessionHarness::done(), TransactionState::Idle, Position{1, 5});
  proxy.withdrawNorthKey();
  proxy.write(session, "w2");
  CHECK((proxy.codeOf("w2") == Rejection::Unauthorized));
  CHECK_FALSE(proxy.take<SendOnLink>());
}

TEST_CASE("a transaction whose key is withdrawn is rolled back and not committed") {
  Proxy proxy;
  const auto session = proxy.open("settle", NorthKey);
  proxy.send(session, "b", BeginStatement{});
  proxy.write(session, "w1");
  const auto link = proxy.accept().first;
  proxy.take<SendOnLink>();
  proxy.reply(link, SessionHarness::done(), TransactionState::Open);
  proxy.take<SendOnLink>();
  proxy.reply(link, SessionHarness::done(), TransactionState::Open);
  proxy.withdrawNorthKey();
  proxy.send(session, "c", CommitStatement{});
  CHECK((proxy.codeOf("c") == Rejection::Unauthorized));
  const auto sent = proxy.take<SendOnLink>();
  REQUIRE(sent);
  CHECK(SessionHarness::command<RollbackTransaction>(*sent));
  CHECK_FALSE(SessionHarness::command<RunStatement>(*sent));
}

TEST_CASE("a statement that waits for a link while its key is withdrawn is not sent") {
  Proxy proxy;
  const auto session = proxy.open("settle", NorthKey);
  proxy.write(session, "w1");
  const auto opening = proxy.take<OpenLink>();
  REQUIRE(opening);
  proxy.withdrawNorthKey();
  proxy.apply(LinkOpened{opening->Link});
  CHECK((proxy.codeOf("w1") == Rejection::Unauthorized));
  CHECK_FALSE(proxy.take<SendOnLink>());
}

TEST_CASE("without a proof of the configuration's age, a keyed statement is refused as not run at once") {
  // Guards against a key that was withdrawn while this proxy heard nothing of the store.
  Proxy proxy(5s);
  const auto session = proxy.open("settle", NorthKey);
  const auto anonymous = proxy.open("open", KeyDigest{});
  proxy.write(session, "w1");
  CHECK(proxy.accept().second == North);
  CHECK(proxy.take<SendOnLink>());
  // The watch that is in progress is not answered.
  proxy.pass(5s);
  proxy.write(session, "w2");
  CHECK((proxy.codeOf("w2") == Rejection::Busy));
  proxy.open("settle", NorthKey);
  const auto refused = proxy.take<RefuseSession>();
  REQUIRE(refused);
  CHECK((refused->Why.Code == Rejection::Busy));
  proxy.Out.clear();
  proxy.write(anonymous, "w3");
  CHECK(proxy.accept().second == WorkspaceId());
  CHECK(proxy.take<SendOnLink>());
}
