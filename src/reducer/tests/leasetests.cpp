// Tests of current reads where a former primary goes on answering after a promotion.

#include "reducer/tests/sessionharness.h"

#include <doctest/doctest.h>

using namespace rosemaryhinge;

namespace {

/// Accepts links and answers BEGIN and status queries of a proxy without promotion fencing. Statements of
/// callers are only counted.
struct Servers {
  Term PrimaryTerm = 1;
  Term ReplicaTerm = 1;
  bool Paused = false;
  bool ReplicasAnswer = true;
  std::string Only; ///< If set, only this server answers.
  bool StatementsAnswer = true;
  int Statements = 0;
  int StatusQueries = 0;
  LinkId LastBegin;       ///< Link on which a transaction was last begun.
  LinkId LastStatusQuery; ///< Link on which a replica was last asked for its status.

  void run(SessionHarness &proxy, Duration time) {
    for (Duration passed{}; passed < time; passed += 10ms) {
      while (const auto open = proxy.take<OpenLink>())
        proxy.apply(LinkOpened{open->Link});
      while (const auto sent = proxy.take<SendOnLink>())
        answer(proxy, *sent);
      proxy.pass(10ms);
    }
  }

  /// Answers the last status query for a replica that follows a term.
  void answerStatus(SessionHarness &proxy, Term term) {
    ReplicaTerm = term;
    ReplicasAnswer = true;
    reportStatus(proxy, LastStatusQuery);
  }

private:
  void reportStatus(SessionHarness &proxy, LinkId link) const {
    const TargetStatus status{
        TargetRole::Replica, ReplicaTerm + (Paused ? 1 : 0), {ReplicaTerm, 5}, {}, false, {}, Paused};
    proxy.apply(
        LinkReplied{link, SessionHarness::done(), TransactionState::Idle, Position{ReplicaTerm, 5}, status});
  }

  void answer(SessionHarness &proxy, const SendOnLink &sent) {
    const auto target = proxy.Logic.Links.targetOf(sent.Link).value_or(TargetId());
    if (!Only.empty() && target.str() != Only)
      return;
    for (const auto &it : sent.Commands) {
      if (std::holds_alternative<BeginTransaction>(it)) {
        LastBegin = sent.Link;
        proxy.reply(sent.Link, SessionHarness::done(), TransactionState::Open, Position{PrimaryTerm, 5});
      } else if (std::holds_alternative<ReadServerStatus>(it)) {
        ++StatusQueries;
        LastStatusQuery = sent.Link;
        if (ReplicasAnswer)
          reportStatus(proxy, sent.Link);
      } else if (std::holds_alternative<RollbackTransaction>(it)) {
        proxy.reply(sent.Link, SessionHarness::done(), TransactionState::Idle, Position{PrimaryTerm, 5});
      } else if (std::holds_alternative<RunStatement>(it)) {
        CHECK(target.str() == "p");
        ++Statements;
        if (StatementsAnswer)
          proxy.reply(sent.Link, SessionHarness::done(), TransactionState::Open, Position{PrimaryTerm, 5});
      }
    }
  }
};

} // namespace

TEST_CASE("a current read runs once a replica confirms that the primary leads") {
  SessionHarness proxy(false);
  Servers servers;
  proxy.read(proxy.open("settle"), "r1");
  servers.run(proxy, 100ms);
  CHECK(servers.Statements == 1);
  CHECK(servers.StatusQueries >= 1);
}

TEST_CASE("a current read does not run while no replica confirms the primary, and is refused as not run") {
  // Guards against stale reads: a former primary that does not know of the promotion answers BEGIN.
  for (const bool paused : {true, false}) {
    SessionHarness proxy(false);
    Servers servers;
    servers.Paused = paused;
    servers.ReplicasAnswer = paused;
    proxy.read(proxy.open("settle"), "r1");
    servers.run(proxy, 1s);
    CHECK(servers.Statements == 0);
    const auto answer = proxy.take<AnswerStatement>();
    REQUIRE(answer);
    const auto *why = std::get_if<StatementRejection>(&answer->Outcome);
    REQUIRE(why);
    CHECK((why->Code == Rejection::Busy));
  }
}

TEST_CASE("a current read does not run at a server of an earlier term than a replica follows") {
  SessionHarness proxy(false);
  Servers servers;
  servers.ReplicaTerm = 2;
  proxy.read(proxy.open("settle"), "r1");
  servers.run(proxy, 300ms);
  CHECK(servers.Statements == 0);
}

TEST_CASE("an acknowledged commit confirms the primary for the length of a lease") {
  SessionHarness proxy(false);
  Servers servers;
  const auto writer = proxy.open("settle");
  proxy.write(writer, "w1");
  servers.run(proxy, 50ms);
  servers.StatusQueries = 0;
  servers.ReplicasAnswer = false;
  proxy.read(writer, "r1");
  servers.run(proxy, 50ms);
  CHECK(servers.Statements == 2);
  CHECK(servers.StatusQueries == 0);
  servers.run(proxy, PrimaryLease::Length);
  proxy.read(proxy.open("settle"), "r2");
  servers.run(proxy, 100ms);
  CHECK(servers.Statements == 2);
}

TEST_CASE("single writes need no confirmation") {
  SessionHarness proxy(false);
  Servers servers;
  servers.ReplicasAnswer = false;
  proxy.write(proxy.open("settle"), "w1");
  servers.run(proxy, 50ms);
  CHECK(servers.Statements == 1);
}

TEST_CASE("a read of bounded staleness runs at the primary within its bound after the last confirmation") {
  SessionHarness proxy(false);
  Servers servers;
  proxy.read(proxy.open("settle"), "r1");
  servers.run(proxy, 100ms);
  servers.ReplicasAnswer = false;
  servers.run(proxy, 1s);
  const auto session = proxy.open("look");
  proxy.send(session, "b", BeginStatement{});
  proxy.read(session, "r2");
  servers.run(proxy, 100ms);
  CHECK(servers.Statements == 2);
}

TEST_CASE("a former primary that reports itself as a replica of its own term does not confirm its lease") {
  // Guards against stale reads: after a partition, the former primary had become a replica and did not know
  // of the next term yet. Its report made old positions count as recent.
  SessionHarness proxy(false);
  Servers servers;
  servers.Only = "p";
  proxy.read(proxy.open("settle"), "r1");
  servers.run(proxy, 100ms);
  CHECK(servers.Statements == 0);
  // Its entry changes, and the other servers do not answer.
  const auto a = SessionHarness::server("a", TargetRole::Primary, 30);
  proxy.Logic.Catalog.updateServer(std::get<ServerEntry>(a.Value), proxy.Now);
  proxy.read(proxy.open("look"), "r2");
  servers.run(proxy, 1500ms);
  CHECK(servers.Statements == 0);
}

namespace {

/// Sends a read, and closes its link to the primary while the read awaits the lease.
void loseLinkOfWaitingRead(SessionHarness &proxy, Servers &servers, SessionId session) {
  servers.ReplicasAnswer = false;
  proxy.read(session, "r1");
  servers.run(proxy, 50ms);
  REQUIRE(servers.StatusQueries == 1);
  proxy.apply(LinkClosed{servers.LastBegin, LinkFailure::Lost});
}

} // namespace

TEST_CASE("a read whose link is lost while it awaits a lease is sent on another link") {
  // Guards against the end of the whole proxy: the confirmation sent the read on the link that was lost.
  SessionHarness proxy(false);
  Servers servers;
  loseLinkOfWaitingRead(proxy, servers, proxy.open("settle"));
  servers.answerStatus(proxy, 1);
  CHECK(servers.Statements == 0);
  servers.run(proxy, 300ms);
  CHECK(servers.Statements == 1);
  const auto answer = proxy.take<AnswerStatement>();
  REQUIRE(answer);
  CHECK(std::holds_alternative<StatementResultRows>(answer->Outcome));
}

TEST_CASE("a write is sent once after a read of its session has lost its link and its lease") {
  // Guards against writes that take effect twice: the read was answered, but stayed in the queue of waiting
  // statements, from which the session's next statement was sent again and again.
  SessionHarness proxy(false);
  Servers servers;
  const auto session = proxy.open("settle");
  loseLinkOfWaitingRead(proxy, servers, session);
  servers.answerStatus(proxy, 2);
  servers.PrimaryTerm = 2;
  servers.run(proxy, 300ms);
  REQUIRE(proxy.take<AnswerStatement>());
  servers.Statements = 0;
  servers.StatementsAnswer = false;
  proxy.write(session, "w1");
  servers.run(proxy, 500ms);
  CHECK(servers.Statements == 1);
}
