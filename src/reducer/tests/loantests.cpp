// Tests of sessions that run on connections borrowed from another proxy.

#include "reducer/tests/sessionharness.h"

#include <doctest/doctest.h>

using namespace rosemaryhinge;

namespace {

/// A proxy in a fleet that is large relative to the connection limit of the servers, so that it borrows
/// connections from another proxy.
class Borrower : public SessionHarness {
public:
  Borrower() {
    // 20 other proxies in the same availability zone; the rendezvous order among them decides which one
    // lends.
    for (int n = 0; n < 20; ++n)
      Peers.push_back("n" + std::to_string(n + 2));
    joinFleet(Peers);
    pass(100ms);
    Out.clear();
  }

  std::vector<std::string> Peers;
};

/// Rejection code of a statement; Unknown if it was not rejected or not answered.
Rejection codeOf(Borrower &proxy, const std::string &statement) {
  while (const auto it = proxy.take<AnswerStatement>())
    if (it->StatementId == statement)
      if (const auto *why = std::get_if<StatementRejection>(&it->Outcome))
        return why->Code;
  return Rejection::Unknown;
}

} // namespace

TEST_CASE(
    "when connections are scarce, a write runs on a connection borrowed from a proxy of the same zone") {
  Borrower proxy;
  const auto session = proxy.open("settle");
  proxy.write(session, "w1");
  const auto request = proxy.takeMessage<LoanRequest>();
  REQUIRE(request);
  CHECK_FALSE(proxy.take<OpenLink>());
  CHECK(request->second.Target == TargetId("p"));
  const auto &[lender, asked] = *request;
  proxy.receive(lender, LoanGrant{asked.Loan});
  const auto commands = proxy.takeMessage<LoanCommands>();
  REQUIRE(commands);
  CHECK(commands->second.Commands.size() == 1);
  proxy.receive(lender, LoanReply{asked.Loan, StatementResultRows{{}, "signed"}, TransactionState::Idle,
                                  Position{1, 9}});
  const auto answer = proxy.take<AnswerStatement>();
  REQUIRE(answer);
  CHECK(std::holds_alternative<StatementResultRows>(answer->Outcome));
  const auto end = proxy.takeMessage<LoanEnd>();
  REQUIRE(end);
  CHECK((end->second.Why == LoanEndReason::Returned));
}

TEST_CASE("a write is in doubt and is not retried when the connection to its lender is lost") {
  Borrower proxy;
  const auto session = proxy.open("settle");
  proxy.write(session, "w1");
  const auto request = proxy.takeMessage<LoanRequest>();
  REQUIRE(request);
  proxy.receive(request->first, LoanGrant{request->second.Loan});
  REQUIRE(proxy.takeMessage<LoanCommands>());
  proxy.apply(PeerLost{request->first});
  CHECK((codeOf(proxy, "w1") == Rejection::InDoubt));
  proxy.pass(500ms);
  CHECK_FALSE(proxy.takeMessage<LoanCommands>());
  CHECK_FALSE(proxy.take<SendOnLink>());
}

TEST_CASE("a loan request that gets no response is sent to the next lender") {
  Borrower proxy;
  const auto session = proxy.open("settle");
  proxy.write(session, "w1");
  const auto first = proxy.takeMessage<LoanRequest>();
  REQUIRE(first);
  proxy.pass(300ms);
  const auto second = proxy.takeMessage<LoanRequest>();
  REQUIRE(second);
  CHECK(first->first != second->first);
}

TEST_CASE("a loan request that the lender has queued is not sent to another lender") {
  Borrower proxy;
  const auto session = proxy.open("settle");
  proxy.write(session, "w1");
  const auto first = proxy.takeMessage<LoanRequest>();
  REQUIRE(first);
  proxy.receive(first->first, LoanQueued{first->second.Loan});
  proxy.pass(300ms);
  CHECK_FALSE(proxy.takeMessage<LoanRequest>());
}

TEST_CASE("a grant that arrives after the session has closed is returned unused") {
  Borrower proxy;
  const auto session = proxy.open("settle");
  proxy.write(session, "w1");
  const auto request = proxy.takeMessage<LoanRequest>();
  REQUIRE(request);
  proxy.apply(SessionClosed{session});
  proxy.receive(request->first, LoanGrant{request->second.Loan});
  CHECK_FALSE(proxy.takeMessage<LoanCommands>());
  CHECK(proxy.takeMessage<LoanEnd>());
}

TEST_CASE("a loan reply with another incarnation of this node is ignored") {
  Borrower proxy;
  const auto session = proxy.open("settle");
  proxy.write(session, "w1");
  const auto request = proxy.takeMessage<LoanRequest>();
  REQUIRE(request);
  proxy.receive(request->first, LoanGrant{request->second.Loan});
  REQUIRE(proxy.takeMessage<LoanCommands>());
  auto former = request->second.Loan;
  former.Incarnation += 1;
  proxy.receive(request->first,
                LoanReply{former, StatementResultRows{{}, "other"}, TransactionState::Idle, Position{1, 9}});
  CHECK_FALSE(proxy.take<AnswerStatement>());
}

TEST_CASE("silent lenders do not make the primary suspect") {
  Borrower proxy;
  for (int n = 0; n < 20; ++n) {
    const auto session = proxy.open("settle");
    proxy.write(session, "w" + std::to_string(n));
    proxy.pass(100ms);
    while (const auto open = proxy.take<OpenLink>())
      proxy.apply(LinkOpened{open->Link});
  }
  CHECK(proxy.Logic.Links.health(TargetId("p")).silence(proxy.Now) < 500ms);
}

TEST_CASE("a change of primary does not send its commands on borrowed connections") {
  Borrower proxy;
  const auto session = proxy.open("settle");
  proxy.write(session, "w1");
  const auto request = proxy.takeMessage<LoanRequest>();
  REQUIRE(request);
  proxy.apply(SessionClosed{session});
  // The loan is granted when no session waits for it, and a change of primary requests a link at that moment.
  proxy.Logic.Links.onOpened(*std::make_unique<Context>(Context{
                                 proxy.Now, proxy.Logic.Self, 7, proxy.Logic.Rules, proxy.Logic.Random,
                                 proxy.Extra, proxy.Records, proxy.Logic.NextNumber}),
                             LinkId{request->second.Loan.Number});
  CHECK_FALSE(proxy.Logic.Links.acquire(TargetId("p"), {SessionId(), true}, {}, proxy.Now));
}
