// Tests of sessions that run on connections lent by another proxy.

#include "reducer/tests/sessionharness.h"

#include <doctest/doctest.h>

using namespace rosemaryhinge;

namespace {

/// A proxy of a fleet that is large for its servers' connections, so that it borrows from another one.
class Borrower : public SessionHarness {
public:
  Borrower() {
    // The rendezvous order decides who lends; a fleet of one other proxy in this zone and many elsewhere.
    for (int n = 0; n < 20; ++n)
      Peers.push_back("n" + std::to_string(n + 2));
    Logic.Self.PeerAddress = "10.0.0.1:7000";
    apply(Started{1, 7});
    pass(400ms);
    std::vector<DirectoryObject> proxies;
    for (std::size_t n = 0; n < Peers.size(); ++n)
      proxies.push_back(
          {Peers[n], false, ProxyEntry{NodeId(Peers[n]), AvailabilityZone("z1"), "10.0.0.2:7000"}});
    answerList(DirectoryKind::Proxies, proxies);
    pass(100ms);
    Out.clear();
  }

  /// Takes the oldest message of a kind to another proxy.
  template <typename T> std::optional<std::pair<NodeId, T>> takeMessage() {
    for (auto it = Out.begin(); it != Out.end(); ++it)
      if (const auto *sent = std::get_if<SendToPeer>(&*it))
        if (const auto *message = std::get_if<T>(&sent->Message)) {
          std::pair<NodeId, T> out{sent->To, *message};
          Out.erase(it);
          return out;
        }
    return std::nullopt;
  }
  void receive(const NodeId &from, PeerMessage message) { apply(PeerReceived{from, std::move(message)}); }

  std::vector<std::string> Peers;
};

Rejection codeOf(Borrower &proxy, const std::string &statement) {
  while (const auto it = proxy.take<AnswerStatement>())
    if (it->StatementId == statement)
      if (const auto *why = std::get_if<StatementRejection>(&it->Outcome))
        return why->Code;
  return Rejection::Unknown;
}

} // namespace

TEST_CASE("where connections are scarce, a write runs on a connection of another proxy of the zone") {
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

TEST_CASE("a write whose lender was lost is in doubt, and is not sent again") {
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

TEST_CASE("a lender that gives no sign is left alone, and the next one is asked") {
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

TEST_CASE("a request that waits at a lender with a sign of life is not given to another one") {
  Borrower proxy;
  const auto session = proxy.open("settle");
  proxy.write(session, "w1");
  const auto first = proxy.takeMessage<LoanRequest>();
  REQUIRE(first);
  proxy.receive(first->first, LoanQueued{first->second.Loan});
  proxy.pass(300ms);
  CHECK_FALSE(proxy.takeMessage<LoanRequest>());
}

TEST_CASE("a grant that comes too late is given back and runs nothing") {
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

TEST_CASE("an answer to the process that ran here before is not taken for an own one") {
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

TEST_CASE("the primary is not suspected because a lender is silent") {
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

TEST_CASE("orders of a change of primary are not sent on borrowed connections") {
  Borrower proxy;
  const auto session = proxy.open("settle");
  proxy.write(session, "w1");
  const auto request = proxy.takeMessage<LoanRequest>();
  REQUIRE(request);
  proxy.apply(SessionClosed{session});
  // The loan is granted while nobody waits; a change of primary asks for a link in the same moment.
  proxy.Logic.Links.onOpened(*std::make_unique<Context>(Context{
                                 proxy.Now, proxy.Logic.Self, 7, proxy.Logic.Rules, proxy.Logic.Random,
                                 proxy.Extra, proxy.Records, proxy.Logic.NextNumber}),
                             LinkId{request->second.Loan.Number});
  CHECK_FALSE(proxy.Logic.Links.acquire(TargetId("p"), {SessionId(), true}, {}, proxy.Now));
}
