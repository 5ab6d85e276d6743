// Tests of callers' sessions: which server runs a statement, and how failures are reported to the caller.

#include "reducer/tests/sessionharness.h"

#include <doctest/doctest.h>

#include <set>

using namespace rosemaryhinge;

namespace {

/// Rejection code of a statement; Unknown if it was not rejected or not answered.
Rejection codeOf(SessionHarness &proxy, const std::string &statement) {
  while (const auto it = proxy.take<AnswerStatement>())
    if (it->StatementId == statement)
      if (const auto *why = std::get_if<StatementRejection>(&it->Outcome))
        return why->Code;
  return Rejection::Unknown;
}

/// Rejection code of a statement that is answered before its session is closed; Unknown in all other cases.
Rejection answerBeforeClose(const SessionHarness &proxy, SessionId session, const std::string &statement) {
  for (const auto &it : proxy.Out) {
    if (const auto *close = std::get_if<CloseSession>(&it); close && close->Session == session)
      return Rejection::Unknown;
    const auto *answer = std::get_if<AnswerStatement>(&it);
    if (!answer || answer->Session != session || answer->StatementId != statement)
      continue;
    const auto *why = std::get_if<StatementRejection>(&answer->Outcome);
    return why ? why->Code : Rejection::Unknown;
  }
  return Rejection::Unknown;
}

/// A proxy that has not read a configuration yet.
SessionHarness startWithoutConfiguration() {
  SessionHarness out;
  State logic;
  logic.Self = out.Logic.Self;
  out.Logic = std::move(logic);
  out.Out.clear();
  out.apply(Started{1, 8});
  return out;
}

/// Opens a session with a transaction. Its connection keeps a leaving proxy running.
SessionId openTransaction(SessionHarness &proxy) {
  const auto session = proxy.open("settle");
  proxy.send(session, "b", BeginStatement{});
  return session;
}

/// Asks the proxy to shut down, and lets time pass. A session with a transaction keeps it running.
void shutDownFor(SessionHarness &proxy, Duration time) {
  openTransaction(proxy);
  proxy.apply(ShutdownRequested{});
  proxy.pass(time);
}

/// Completes a read on a route with primary consistency, which proves the primary's log position to the
/// proxy.
void provePrimaryPosition(SessionHarness &proxy, Position at) {
  const auto session = proxy.open("settle");
  proxy.read(session, "proof");
  const auto [link, target] = proxy.acceptLink();
  proxy.take<SendOnLink>();
  proxy.reply(link, SessionHarness::done(), TransactionState::Open, at);
  proxy.take<SendOnLink>();
  proxy.reply(link, SessionHarness::done(), TransactionState::Open, at);
  proxy.reply(link, SessionHarness::done(), TransactionState::Idle, at);
  proxy.apply(SessionClosed{session});
  proxy.Out.clear();
}

} // namespace

TEST_CASE("a read is sent only after its BEGIN has succeeded, since it would otherwise run outside the "
          "transaction") {
  SessionHarness proxy;
  const auto session = proxy.open("settle");
  proxy.read(session, "r1");
  const auto [link, target] = proxy.acceptLink();
  CHECK(target == TargetId("p"));
  const auto begin = proxy.take<SendOnLink>();
  REQUIRE(begin);
  CHECK(SessionHarness::command<BeginTransaction>(*begin));
  CHECK_FALSE(SessionHarness::command<RunStatement>(*begin));
  proxy.reply(link, SessionHarness::rejected(Rejection::ReadOnly), TransactionState::Idle);
  // The server is no longer the primary, so the read is not sent to it.
  while (const auto sent = proxy.take<SendOnLink>())
    CHECK_FALSE(SessionHarness::command<RunStatement>(*sent));
}

TEST_CASE(
    "a link whose session closed while BEGIN was in flight is rolled back before another session uses it") {
  SessionHarness proxy;
  const auto first = proxy.open("settle");
  proxy.read(first, "r1");
  const auto [link, target] = proxy.acceptLink();
  proxy.take<SendOnLink>();
  proxy.apply(SessionClosed{first});
  const auto second = proxy.open("settle");
  proxy.write(second, "w2");
  proxy.reply(link, SessionHarness::done(), TransactionState::Open, Position{1, 5});
  const auto sent = proxy.take<SendOnLink>();
  REQUIRE(sent);
  CHECK(sent->Link == link);
  CHECK(SessionHarness::command<RollbackTransaction>(*sent));
  CHECK_FALSE(SessionHarness::command<RunStatement>(*sent));
}

TEST_CASE("a bounded-staleness read goes to a replica only with a log position that proves the bound") {
  SessionHarness proxy;
  const auto session = proxy.open("look");
  proxy.read(session, "r1");
  // No position of the primary's log is known yet, so only the primary can serve the read.
  CHECK(proxy.acceptLink().second == TargetId("p"));
  proxy.Out.clear();

  SessionHarness proven;
  provePrimaryPosition(proven, {1, 40});
  const auto other = proven.open("look");
  proven.read(other, "r1");
  const auto sent = proven.take<SendOnLink>();
  REQUIRE(sent);
  const auto *run = SessionHarness::command<RunStatement>(*sent);
  REQUIRE(run);
  CHECK((run->After == Position{1, 40}));
  // This read uses the idle link to the primary; a link to the replica in this availability zone is opened
  // for the next read.
  const auto opening = proven.take<OpenLink>();
  REQUIRE(opening);
  CHECK((opening->Target == TargetId("a")));
}

TEST_CASE("a position proof older than the staleness bound is not used, even after a pause of the machine") {
  SessionHarness proxy;
  provePrimaryPosition(proxy, {1, 40});
  proxy.Now += 1600ms; // No timer fires, as when the machine is paused.
  const auto session = proxy.open("look");
  proxy.read(session, "r1");
  const auto sent = proxy.take<SendOnLink>();
  REQUIRE(sent);
  CHECK(SessionHarness::command<BeginTransaction>(*sent));
  CHECK_FALSE(SessionHarness::command<RunStatement>(*sent));
}

TEST_CASE("a session reads its own writes even if the staleness bound allows an older position") {
  SessionHarness proxy;
  provePrimaryPosition(proxy, {1, 40});
  const auto session = proxy.open("book");
  proxy.write(session, "w1");
  const auto sent = proxy.take<SendOnLink>();
  REQUIRE(sent);
  proxy.reply(sent->Link, SessionHarness::done(), TransactionState::Idle, Position{1, 55});
  proxy.Out.clear();
  proxy.read(session, "r2");
  const auto [link, target] = proxy.acceptLink();
  const auto read = proxy.take<SendOnLink>();
  REQUIRE(read);
  const auto *run = SessionHarness::command<RunStatement>(*read);
  REQUIRE(run);
  CHECK(run->After == Position{1, 55});
}

TEST_CASE("a write without an answer is in doubt and is not retried") {
  SessionHarness proxy;
  const auto session = proxy.open("settle");
  proxy.write(session, "w1");
  const auto [link, target] = proxy.acceptLink();
  proxy.take<SendOnLink>();
  proxy.apply(LinkClosed{link, LinkFailure::Lost});
  CHECK((codeOf(proxy, "w1") == Rejection::InDoubt));
  CHECK_FALSE(proxy.take<SendOnLink>());
}

TEST_CASE("an unanswered statement of a transaction is aborted, since its commit was never sent") {
  SessionHarness proxy;
  const auto session = proxy.open("settle");
  proxy.send(session, "b", BeginStatement{});
  proxy.write(session, "w1");
  const auto [link, target] = proxy.acceptLink();
  proxy.take<SendOnLink>();
  proxy.reply(link, SessionHarness::done(), TransactionState::Open, Position{1, 5});
  proxy.take<SendOnLink>();
  proxy.Out.clear();
  proxy.pass(900ms);
  CHECK((codeOf(proxy, "w1") == Rejection::Aborted));
  // Further statements of the transaction are rejected; its ROLLBACK is accepted.
  proxy.read(session, "r2");
  CHECK((codeOf(proxy, "r2") == Rejection::Malformed));
  proxy.send(session, "e", RollbackStatement{});
  const auto end = proxy.take<AnswerStatement>();
  REQUIRE(end);
  CHECK(end->State == TransactionState::Idle);
}

TEST_CASE("an unanswered commit is in doubt if its transaction wrote, and aborted if it only read") {
  for (const bool writes : {true, false}) {
    SessionHarness proxy;
    const auto session = proxy.open("settle");
    proxy.send(session, "b", BeginStatement{});
    proxy.send(session, "s", DataStatement{writes ? AccessMode::Write : AccessMode::Read});
    const auto [link, target] = proxy.acceptLink();
    proxy.reply(link, SessionHarness::done(), TransactionState::Open, Position{1, 5});
    proxy.reply(link, SessionHarness::done(), TransactionState::Open, Position{1, 5});
    proxy.Out.clear();
    proxy.send(session, "c", CommitStatement{});
    proxy.apply(LinkClosed{link, LinkFailure::Lost});
    CHECK((codeOf(proxy, "c") == (writes ? Rejection::InDoubt : Rejection::Aborted)));
  }
}

TEST_CASE("a statement that was not sent to a server in time is rejected as busy") {
  SessionHarness proxy;
  const auto session = proxy.open("settle");
  proxy.write(session, "w1");
  proxy.pass(900ms);
  CHECK((codeOf(proxy, "w1") == Rejection::Busy));
}

TEST_CASE("after a server rejects a write as read-only, it is no longer listed as the primary") {
  SessionHarness proxy;
  const auto session = proxy.open("settle");
  proxy.write(session, "w1");
  const auto [link, target] = proxy.acceptLink();
  proxy.take<SendOnLink>();
  proxy.reply(link, SessionHarness::rejected(Rejection::ReadOnly), TransactionState::Idle);
  proxy.Out.clear();
  proxy.answerWatch(DirectoryKind::Servers, {}, 21);
  CHECK_FALSE(proxy.Logic.Catalog.primary(DatabaseId("yard")));
}

TEST_CASE("a session's values and prepared statements are set up on the link that runs its statement") {
  SessionHarness proxy;
  const auto session = proxy.open("settle");
  proxy.send(session, "s", SetStatement{"zone", "north"});
  proxy.send(session, "p", PrepareStatement{"s1", AccessMode::Write, "q2"});
  proxy.send(session, "x", ExecuteStatement{"s1", "item data"});
  const auto [link, target] = proxy.acceptLink();
  const auto sent = proxy.take<SendOnLink>();
  REQUIRE(sent);
  const auto *value = SessionHarness::command<SetSessionValue>(*sent);
  REQUIRE(value);
  CHECK(value->Value == "north");
  const auto *prepared = SessionHarness::command<PrepareOnServer>(*sent);
  REQUIRE(prepared);
  const auto *run = SessionHarness::command<RunStatement>(*sent);
  REQUIRE(run);
  CHECK(std::get<ExecuteStatement>(run->Body).Name == prepared->Name);
}

TEST_CASE("a link that holds another session's values is cleared before use") {
  SessionHarness proxy;
  const auto first = proxy.open("settle");
  proxy.send(first, "s", SetStatement{"zone", "north"});
  proxy.write(first, "w1");
  const auto [link, target] = proxy.acceptLink();
  proxy.reply(link, SessionHarness::done(), TransactionState::Idle);
  proxy.reply(link, SessionHarness::done(), TransactionState::Idle, Position{1, 2});
  proxy.Out.clear();
  const auto second = proxy.open("settle");
  proxy.write(second, "w2");
  const auto sent = proxy.take<SendOnLink>();
  REQUIRE(sent);
  CHECK(SessionHarness::command<DiscardSession>(*sent));
}

TEST_CASE("a value that a server refused after the caller has left is set again for the next session") {
  // Guards against statements that run without the values that their session was told are set.
  SessionHarness proxy;
  const auto first = proxy.open("settle");
  proxy.send(first, "b", BeginStatement{});
  proxy.write(first, "w");
  const auto [link, target] = proxy.acceptLink();
  proxy.reply(link, SessionHarness::done(), TransactionState::Open, Position{1, 5});
  proxy.reply(link, SessionHarness::done(), TransactionState::Open, Position{1, 5});
  proxy.send(first, "s", SetStatement{"lang", "nl"});
  proxy.Out.clear();
  proxy.read(first, "r1");
  const auto refused = proxy.take<SendOnLink>();
  REQUIRE(refused);
  REQUIRE(SessionHarness::command<SetSessionValue>(*refused));
  proxy.apply(SessionClosed{first});
  proxy.reply(link, SessionHarness::rejected(Rejection::ReadOnly), TransactionState::Failed);
  proxy.reply(link, SessionHarness::rejected(Rejection::ReadOnly), TransactionState::Failed);
  const auto closed = proxy.take<CloseLink>();
  REQUIRE(closed);
  CHECK(closed->Link == link);
  const auto second = proxy.open("settle");
  proxy.send(second, "s", SetStatement{"lang", "nl"});
  proxy.Out.clear();
  proxy.read(second, "r2");
  proxy.acceptLink();
  const auto sent = proxy.take<SendOnLink>();
  REQUIRE(sent);
  CHECK(sent->Link != link);
  CHECK(SessionHarness::command<SetSessionValue>(*sent));
}

TEST_CASE("statements for a database whose route was removed are rejected from the next transaction on") {
  SessionHarness proxy;
  const auto session = proxy.open("look");
  Configuration next;
  next.Version = 5;
  next.Routes = {SessionHarness::route("settle", Consistency::Primary)};
  proxy.answerWatch(DirectoryKind::Configuration, {{"main", false, next}}, 30);
  proxy.read(session, "r1");
  CHECK((codeOf(proxy, "r1") == Rejection::NoDatabase));
}

TEST_CASE("a leaving proxy serves until the load balancer stops sending sessions, then closes idle sessions "
          "and exits") {
  SessionHarness proxy;
  const auto resting = proxy.open("settle");
  proxy.write(resting, "w1");
  const auto [link, target] = proxy.acceptLink();
  proxy.reply(link, SessionHarness::done(), TransactionState::Idle, Position{1, 2});
  proxy.Out.clear();
  proxy.apply(ShutdownRequested{});
  CHECK_FALSE(isReady(proxy.Logic));
  // The load balancer still sends sessions here, so a session closed now would be sent back to this proxy.
  const auto late = proxy.open("settle");
  proxy.pass(1s);
  CHECK(proxy.take<AcceptSession>());
  CHECK_FALSE(proxy.take<CloseSession>());
  const auto working = proxy.open("settle");
  proxy.write(working, "w2");
  proxy.pass(700ms);
  proxy.reply(link, SessionHarness::done(), TransactionState::Idle, Position{1, 3});
  CHECK(proxy.take<AnswerStatement>());
  proxy.pass(1s);
  std::set<SessionId> closed;
  while (const auto it = proxy.take<CloseSession>())
    closed.insert(it->Session);
  CHECK(closed == std::set<SessionId>{resting, late, working});
  CHECK(proxy.take<ShutdownComplete>());
}

TEST_CASE("a leaving proxy does not close a session between the statements of one operation") {
  SessionHarness proxy;
  const auto session = proxy.open("settle");
  proxy.apply(ShutdownRequested{});
  proxy.pass(2190ms);
  proxy.send(session, "s", SetStatement{"zone", "north"});
  proxy.pass(100ms);
  proxy.write(session, "w1");
  CHECK_FALSE(proxy.take<CloseSession>());
  const auto [link, target] = proxy.acceptLink();
  proxy.reply(link, SessionHarness::done(), TransactionState::Idle);
  proxy.reply(link, SessionHarness::done(), TransactionState::Idle, Position{1, 2});
  CHECK(proxy.take<AnswerStatement>());
  proxy.pass(300ms);
  CHECK(proxy.take<CloseSession>());
}

TEST_CASE("a leaving proxy closes a session in steady use right after the answer that ends an operation") {
  // Guards against statements cut off at the end of the shutdown grace: a session whose caller never paused
  // for the idle time was served until then, and closed while a server worked on its next statement.
  SessionHarness proxy;
  const auto session = proxy.open("settle");
  proxy.write(session, "w0");
  const auto [link, target] = proxy.acceptLink();
  proxy.reply(link, SessionHarness::done(), TransactionState::Idle, Position{1, 2});
  proxy.apply(ShutdownRequested{});
  bool closed = false;
  for (int n = 1; n <= 40 && !closed; ++n) {
    proxy.pass(50ms);
    REQUIRE_FALSE(proxy.take<CloseSession>());
    proxy.Out.clear();
    proxy.write(session, "w" + std::to_string(n));
    proxy.pass(40ms);
    REQUIRE_FALSE(proxy.take<CloseSession>());
    proxy.reply(link, SessionHarness::done(), TransactionState::Idle, Position{1, 2U + n});
    REQUIRE(proxy.take<AnswerStatement>());
    closed = proxy.take<CloseSession>().has_value();
  }
  CHECK(closed);
}

TEST_CASE("a leaving proxy answers pipelined statements before it closes their session") {
  SessionHarness proxy;
  proxy.apply(ShutdownRequested{});
  proxy.pass(2300ms);
  const auto session = proxy.open("settle");
  proxy.write(session, "w1");
  proxy.write(session, "w2");
  const auto [link, target] = proxy.acceptLink();
  proxy.reply(link, SessionHarness::done(), TransactionState::Idle, Position{1, 2});
  CHECK_FALSE(proxy.take<CloseSession>());
  proxy.reply(link, SessionHarness::done(), TransactionState::Idle, Position{1, 3});
  CHECK(proxy.take<AnswerStatement>());
  CHECK(proxy.take<AnswerStatement>());
  CHECK(proxy.take<CloseSession>());
}

TEST_CASE("near the end of the shutdown grace each statement in progress is answered before its session is "
          "closed") {
  // Guards against connections that end without an answer to a statement that the proxy has read.
  SessionHarness proxy;
  shutDownFor(proxy, 4900ms);
  const auto writer = proxy.open("settle");
  proxy.write(writer, "w1");
  proxy.acceptLink();
  proxy.write(writer, "w2");
  const auto reader = proxy.open("settle");
  proxy.read(reader, "r1");
  const auto [link, target] = proxy.acceptLink();
  proxy.reply(link, SessionHarness::done(), TransactionState::Open, Position{1, 2});
  const auto waiting = proxy.open("settle");
  proxy.write(waiting, "w3");
  proxy.Out.clear();
  proxy.pass(400ms);
  CHECK((answerBeforeClose(proxy, writer, "w1") == Rejection::InDoubt));
  CHECK((answerBeforeClose(proxy, writer, "w2") == Rejection::Busy));
  CHECK((answerBeforeClose(proxy, reader, "r1") == Rejection::Aborted));
  CHECK((answerBeforeClose(proxy, waiting, "w3") == Rejection::Busy));
}

TEST_CASE("a leaving proxy refuses at once, as not run, what it could not finish within the shutdown grace") {
  // Guards against writes in doubt that were sent to a server just before the proxy stopped waiting for them.
  SessionHarness proxy;
  shutDownFor(proxy, 4800ms);
  const auto waiting = proxy.open("settle");
  proxy.pass(300ms);
  proxy.write(waiting, "w1");
  const auto late = proxy.open("settle");
  proxy.pass(90ms);
  proxy.write(late, "w2");
  CHECK((answerBeforeClose(proxy, late, "w2") == Rejection::Busy));
  CHECK((answerBeforeClose(proxy, waiting, "w1") == Rejection::Busy));
  CHECK(proxy.take<CloseSession>());
}

TEST_CASE("a leaving proxy refuses a transaction that it would roll back at once") {
  SessionHarness proxy;
  shutDownFor(proxy, 3100ms);
  const auto session = proxy.open("settle");
  proxy.send(session, "b", BeginStatement{});
  CHECK((answerBeforeClose(proxy, session, "b") == Rejection::Busy));
  CHECK(proxy.take<CloseSession>());
}

TEST_CASE(
    "a statement of a transaction in progress at half of the shutdown grace sets no timer in the past") {
  // Guards against a timer that fired without pause until the server had answered.
  SessionHarness proxy;
  const auto session = openTransaction(proxy);
  proxy.apply(ShutdownRequested{});
  proxy.pass(2900ms);
  proxy.Out.clear();
  proxy.read(session, "r1");
  const auto [link, target] = proxy.acceptLink();
  proxy.reply(link, SessionHarness::done(), TransactionState::Open, Position{1, 2});
  proxy.pass(200ms);
  REQUIRE_FALSE(proxy.take<AnswerStatement>());
  const auto next = nextTimer(proxy.Logic);
  REQUIRE(next);
  CHECK(*next > proxy.Now);
}

TEST_CASE("a transaction without statements is aborted after half of the shutdown grace period, without "
          "blocking the proxy") {
  // Guards against an endless loop that blocked the proxy: the alarm of such a transaction was repeatedly set
  // for the same time in the past (paali-host, scale-2).
  SessionHarness proxy;
  const auto session = proxy.open("settle");
  proxy.send(session, "b", BeginStatement{});
  proxy.apply(ShutdownRequested{});
  proxy.pass(3100ms);
  proxy.Out.clear();
  proxy.read(session, "r1");
  CHECK((codeOf(proxy, "r1") == Rejection::Aborted));
}

TEST_CASE("a leaving proxy without sessions keeps running while the load balancer may still send some") {
  SessionHarness proxy;
  proxy.apply(ShutdownRequested{});
  proxy.pass(1900ms);
  CHECK_FALSE(proxy.take<ShutdownComplete>());
  proxy.pass(300ms);
  CHECK(proxy.take<ShutdownComplete>());
}

TEST_CASE("a statement that its caller leaves is logged with its id") {
  SessionHarness proxy;
  const auto session = proxy.open("settle");
  proxy.write(session, "w1");
  proxy.Out.clear();
  proxy.apply(SessionClosed{session});
  const auto line = proxy.take<Log>();
  REQUIRE(line);
  CHECK(line->Message == "caller left during a statement");
  CHECK(line->Fields.front().Value == "w1");
}

TEST_CASE("a leaving proxy serves a caller that connected before its last session ended") {
  // Guards against a process that ends while a caller whose connection it has accepted starts its session.
  SessionHarness proxy;
  proxy.apply(ShutdownRequested{});
  proxy.pass(2100ms);
  const auto session = proxy.connect();
  proxy.pass(300ms);
  REQUIRE_FALSE(proxy.take<ShutdownComplete>());
  proxy.start(session, "settle");
  REQUIRE(proxy.take<AcceptSession>());
  proxy.write(session, "w1");
  const auto [link, target] = proxy.acceptLink();
  proxy.pass(300ms);
  REQUIRE_FALSE(proxy.take<ShutdownComplete>());
  proxy.reply(link, SessionHarness::done(), TransactionState::Idle, Position{1, 2});
  CHECK(proxy.take<AnswerStatement>());
  CHECK(proxy.take<CloseSession>());
  proxy.pass(100ms);
  CHECK(proxy.take<ShutdownComplete>());
}

TEST_CASE("a leaving proxy serves callers that connect until the listener has stopped") {
  SessionHarness proxy;
  proxy.HoldAccepting = true;
  proxy.apply(ShutdownRequested{});
  proxy.pass(2300ms);
  REQUIRE(proxy.take<StopAccepting>());
  const auto session = proxy.open("settle");
  proxy.apply(AcceptingStopped{});
  REQUIRE_FALSE(proxy.take<ShutdownComplete>());
  proxy.write(session, "w1");
  const auto [link, target] = proxy.acceptLink();
  proxy.reply(link, SessionHarness::done(), TransactionState::Idle, Position{1, 2});
  CHECK(proxy.take<AnswerStatement>());
  proxy.pass(100ms);
  CHECK(proxy.take<ShutdownComplete>());
  CHECK_FALSE(proxy.take<StopAccepting>());
}

TEST_CASE("a leaving proxy closes connections on which no session starts, and ignores a late start") {
  SessionHarness proxy;
  const auto session = proxy.connect();
  proxy.apply(ShutdownRequested{});
  proxy.pass(2100ms);
  REQUIRE_FALSE(proxy.take<CloseSession>());
  proxy.pass(200ms);
  const auto closed = proxy.take<CloseSession>();
  REQUIRE(closed);
  CHECK((closed->Session == session));
  proxy.start(session, "settle");
  CHECK_FALSE(proxy.take<AcceptSession>());
  proxy.pass(100ms);
  CHECK(proxy.take<ShutdownComplete>());
}

TEST_CASE("a leaving proxy lets no caller connect once it serves no more, also if it cannot end yet") {
  SessionHarness proxy;
  openTransaction(proxy);
  proxy.apply(ShutdownRequested{});
  proxy.pass(5100ms);
  REQUIRE_FALSE(proxy.take<StopAccepting>());
  proxy.pass(200ms);
  CHECK(proxy.take<StopAccepting>());
}

TEST_CASE("a leaving proxy does not end while a session waits for the first configuration") {
  auto started = startWithoutConfiguration();
  started.apply(ShutdownRequested{});
  started.pass(2000ms);
  started.open("settle");
  started.pass(500ms);
  CHECK_FALSE(started.take<ShutdownComplete>());
  started.pass(1500ms);
  CHECK(started.take<RefuseSession>());
  CHECK(started.take<ShutdownComplete>());
}

TEST_CASE("a leaving proxy without a configuration ends within its grace") {
  auto started = startWithoutConfiguration();
  started.apply(ShutdownRequested{});
  started.pass(5000ms);
  started.open("settle");
  started.pass(500ms);
  CHECK(started.take<RefuseSession>());
  CHECK(started.take<ShutdownComplete>());
}

TEST_CASE("a statement that is in the queue of events when its session is closed is refused as not run") {
  SessionHarness proxy;
  const auto session = proxy.open("settle");
  proxy.apply(ShutdownRequested{});
  proxy.pass(2300ms);
  REQUIRE(proxy.take<CloseSession>());
  proxy.write(session, "w1");
  CHECK((codeOf(proxy, "w1") == Rejection::Busy));
}

TEST_CASE("a session that is closed with an unanswered statement says so") {
  // Guards against a refusal of a later statement that the caller takes for that of a committed write.
  SessionHarness proxy;
  const auto session = proxy.open("settle");
  proxy.write(session, "w0");
  proxy.acceptLink();
  for (int n = 1; n <= 33; ++n)
    proxy.write(session, "w" + std::to_string(n));
  const auto closed = proxy.take<CloseSession>();
  REQUIRE(closed);
  CHECK(closed->LeavesUnanswered);
}

TEST_CASE("a session opened before the first configuration is loaded waits for it instead of being refused "
          "for an unknown database") {
  auto started = startWithoutConfiguration();
  const auto session = started.open("settle");
  CHECK_FALSE(started.take<RefuseSession>());
  Configuration configuration;
  configuration.Version = 3;
  configuration.Routes = {SessionHarness::route("settle", Consistency::Primary)};
  started.answerList(DirectoryKind::Configuration, {{"main", false, configuration}});
  const auto greeted = started.take<AcceptSession>();
  REQUIRE(greeted);
  CHECK((greeted->Session == session));
}

TEST_CASE("without a configuration, a session is refused as busy before its caller times out") {
  auto started = startWithoutConfiguration();
  started.open("settle");
  started.pass(1900ms);
  const auto refused = started.take<RefuseSession>();
  REQUIRE(refused);
  CHECK((refused->Why.Code == Rejection::Busy));
}

TEST_CASE("the session whose values and prepared statements take the most is closed beyond their budget") {
  // Guards against callers that fill the memory with legal statements, and against closing the others.
  SessionHarness proxy;
  constexpr std::size_t Budget = 10'000;
  proxy.Logic.Self.SessionStateBytes = Budget;
  const auto small = proxy.open("settle");
  const auto large = proxy.open("settle");
  proxy.send(small, "s0", SetStatement{"name", "value"});
  for (int n = 0; n < 10; ++n) {
    // Replacing and removing frees what was taken.
    proxy.send(large, "s1", SetStatement{"name", std::string(Budget / 2, 'x')});
    proxy.send(large, "s2", PrepareStatement{"p", AccessMode::Read, std::string(Budget / 4, 'x')});
    proxy.send(large, "s3", DeallocateStatement{"p"});
  }
  CHECK_FALSE(proxy.take<CloseSession>());
  proxy.send(large, "s4", PrepareStatement{"p", AccessMode::Read, std::string(Budget / 2, 'x')});
  proxy.send(small, "s5", SetStatement{"name", "other"});
  const auto closed = proxy.take<CloseSession>();
  REQUIRE(closed);
  CHECK((closed->Session == large));
  CHECK_FALSE(closed->LeavesUnanswered);
  CHECK_FALSE(proxy.take<CloseSession>());
}
