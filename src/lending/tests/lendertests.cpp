// Tests of the lender side of connection loans.

#include "lending/lender.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace rosemaryhinge;

namespace {

const TargetId A("a");
const NodeId Near("n2");
const NodeId Other("n3");

class Fixture {
public:
  Fixture() {
    Configuration configuration;
    configuration.Version = 1;
    configuration.Services = {{DatabaseId("yard"), 4, 1}};
    Known.accept(configuration);
    Known.updateServer(
        {A, DatabaseId("yard"), "10.0.0.1:80", AvailabilityZone("z"), TargetRole::Primary, false, 1}, Now);
  }

  Context &ctx() {
    Ctx.emplace(Context{Now, Self, 1, Allowed, Random, Out, Journal, Number});
    return *Ctx;
  }
  static LoanId loan(std::uint64_t number) { return {7, number}; }

  void request(const NodeId &from, std::uint64_t number, std::uint32_t priority = 1,
               const WorkspaceId &workspace = {}) {
    Lending.onRequest(ctx(), Services, from, {loan(number), A, priority, workspace});
  }
  /// Puts a configuration in force in which links belong to workspaces.
  void addWorkspaces() {
    auto next = Known.configuration();
    ++next.Version;
    next.Workspaces.emplace();
    Known.accept(next);
  }
  /// Completes the opening of all pending links, then serves waiting requests.
  void accept() {
    const auto effects = Out;
    for (const auto &it : effects)
      if (const auto *open = std::get_if<OpenLink>(&it); open && Accepted.insert(open->Link).second)
        Links.onOpened(ctx(), open->Link);
    Lending.onCapacity(ctx(), Services);
  }
  void answer(LinkId link, StatementOutcome outcome, TransactionState state) {
    const LinkReplied event{link, std::move(outcome), state, std::nullopt, std::nullopt};
    if (const auto reply = Links.onReply(ctx(), event); reply && reply->User.Loan != 0)
      Lending.onReply(ctx(), Services, *reply, event);
    Lending.onCapacity(ctx(), Services);
  }
  void run(const NodeId &from, std::uint64_t number, LinkCommand command) {
    Lending.onCommands(ctx(), Services, from, {loan(number), {}, std::nullopt, {std::move(command)}});
  }
  void end(const NodeId &from, std::uint64_t number, LoanEndReason why = LoanEndReason::Returned) {
    Lending.onEnd(ctx(), Services, from, {loan(number), why});
    Lending.onCapacity(ctx(), Services);
  }

  /// Messages of type T sent to a proxy, oldest first.
  template <typename T> std::vector<T> told(const NodeId &to) const {
    std::vector<T> out;
    for (const auto &it : Out)
      if (const auto *sent = std::get_if<SendToPeer>(&it); sent && sent->To == to)
        if (const auto *message = std::get_if<T>(&sent->Message))
          out.push_back(*message);
    return out;
  }
  /// Command batches sent on links, oldest first.
  std::vector<SendOnLink> sent() const {
    std::vector<SendOnLink> out;
    for (const auto &it : Out)
      if (const auto *one = std::get_if<SendOnLink>(&it))
        out.push_back(*one);
    return out;
  }

  LinkPool Links;
  Catalog Known;
  Lender Lending;
  LendingServices Services{Known, Links};
  Effects Out;
  TimePoint Now{50s};

private:
  NodeConfig Self;
  Rules Allowed;
  std::mt19937_64 Random;
  std::vector<JournalEntry> Journal;
  std::uint64_t Number = 0;
  std::set<LinkId> Accepted;
  std::optional<Context> Ctx;
};

StatementOutcome done() { return StatementResultRows{{}, "signed"}; }

} // namespace

TEST_CASE("a request waits for a connection, and its borrower is told at once that it waits") {
  Fixture it;
  it.request(Near, 1);
  CHECK(it.told<LoanQueued>(Near).size() == 1);
  CHECK(it.told<LoanGrant>(Near).empty());
  it.accept();
  REQUIRE(it.told<LoanGrant>(Near).size() == 1);
  CHECK((it.told<LoanGrant>(Near).front().Loan == Fixture::loan(1)));
}

TEST_CASE("waiting requests are served by priority, then by arrival") {
  Fixture it;
  it.request(Near, 1);
  it.accept();
  it.Out.clear();
  it.request(Near, 2, 5);
  it.Now += 1ms;
  it.request(Other, 3, 1);
  it.end(Near, 1);
  CHECK(it.told<LoanGrant>(Other).size() == 1);
  CHECK(it.told<LoanGrant>(Near).empty());
}

TEST_CASE("a connection that comes back with an open transaction is rolled back before it is lent again") {
  Fixture it;
  it.request(Near, 1);
  it.accept();
  it.run(Near, 1, BeginTransaction{});
  const auto link = it.sent().back().Link;
  it.answer(link, done(), TransactionState::Open);
  it.request(Other, 2);
  it.Out.clear();
  it.end(Near, 1);
  CHECK(it.told<LoanGrant>(Other).empty());
  REQUIRE(it.sent().size() == 1);
  CHECK(std::holds_alternative<RollbackTransaction>(it.sent().front().Commands.front()));
  it.answer(link, done(), TransactionState::Idle);
  CHECK(it.told<LoanGrant>(Other).size() == 1);
}

TEST_CASE("an answer that is still due when a loan ends never reaches the next borrower") {
  Fixture it;
  it.request(Near, 1);
  it.accept();
  it.run(Near, 1, RunStatement{"s1", "READ 1", std::nullopt});
  const auto link = it.sent().back().Link;
  it.request(Other, 2);
  it.end(Near, 1);
  it.answer(link, done(), TransactionState::Idle);
  CHECK(it.told<LoanReply>(Near).empty());
  CHECK(it.told<LoanReply>(Other).empty());
  CHECK(it.told<LoanGrant>(Other).size() == 1);
}

TEST_CASE("values and prepared statements come onto the lent connection under the lender's names") {
  Fixture it;
  it.request(Near, 1);
  it.accept();
  const PreparedShape shape{AccessMode::Write, "q2"};
  it.Lending.onCommands(it.ctx(), it.Services, Near,
                        {Fixture::loan(1),
                         {{"zone", "north"}},
                         shape,
                         {RunStatement{"s1", ExecuteStatement{"theirs", "item data"}, std::nullopt}}});
  const auto commands = it.sent().back().Commands;
  REQUIRE(commands.size() == 3);
  CHECK(std::get<SetSessionValue>(commands[0]).Value == "north");
  const auto name = std::get<PrepareOnServer>(commands[1]).Name;
  CHECK(std::get<ExecuteStatement>(std::get<RunStatement>(commands[2]).Body).Name == name);
  // The borrower sent one command and gets one reply; replies to the preparation steps are not forwarded.
  const auto link = it.sent().back().Link;
  for (int n = 0; n < 3; ++n)
    it.answer(link, done(), TransactionState::Idle);
  CHECK(it.told<LoanReply>(Near).size() == 1);
}

TEST_CASE("a connection that does not take the session's values ends the loan before anything is answered") {
  Fixture it;
  it.request(Near, 1);
  it.accept();
  it.Lending.onCommands(
      it.ctx(), it.Services, Near,
      {Fixture::loan(1), {{"zone", "north"}}, std::nullopt, {RunStatement{"s1", "READ 1", std::nullopt}}});
  it.answer(it.sent().back().Link, StatementRejection{Rejection::Failed, ""}, TransactionState::Idle);
  CHECK(it.told<LoanReply>(Near).empty());
  REQUIRE(it.told<LoanEnd>(Near).size() == 1);
  CHECK((it.told<LoanEnd>(Near).front().Why == LoanEndReason::Lost));
}

TEST_CASE("loans of a borrower that was lost end, and it is told in case that it lives") {
  Fixture it;
  it.request(Near, 1);
  it.accept();
  it.request(Other, 2);
  it.Lending.onPeerLost(it.ctx(), it.Services, Near);
  it.Lending.onCapacity(it.ctx(), it.Services);
  CHECK(it.told<LoanEnd>(Near).size() == 1);
  CHECK(it.told<LoanGrant>(Other).size() == 1);
}

TEST_CASE("commands for a loan that has ended run nothing") {
  Fixture it;
  it.request(Near, 1);
  it.accept();
  it.end(Near, 1);
  it.Out.clear();
  it.run(Near, 1, RunStatement{"s1", "WRITE 1 x", std::nullopt});
  CHECK(it.sent().empty());
  REQUIRE(it.told<LoanEnd>(Near).size() == 1);
  CHECK((it.told<LoanEnd>(Near).front().Why == LoanEndReason::Lost));
}

TEST_CASE("a loan whose borrower is silent for longer than any transaction may rest is closed") {
  Fixture it;
  it.request(Near, 1);
  it.accept();
  it.Now += 9s;
  it.Lending.onTimer(it.ctx(), it.Services);
  CHECK(it.Lending.loans() == 0);
  CHECK(std::any_of(it.Out.begin(), it.Out.end(),
                    [](const Effect &one) { return std::holds_alternative<CloseLink>(one); }));
}

TEST_CASE("a leaving lender takes no requests, and goes on with its loans") {
  Fixture it;
  it.request(Near, 1);
  it.accept();
  it.Lending.startLeaving();
  it.request(Other, 2);
  REQUIRE(it.told<LoanEnd>(Other).size() == 1);
  CHECK((it.told<LoanEnd>(Other).front().Why == LoanEndReason::Refused));
  it.run(Near, 1, RunStatement{"s1", "READ 1", std::nullopt});
  CHECK(it.sent().size() == 1);
  CHECK(it.Lending.loans() == 1);
}

TEST_CASE("a leaving lender refuses the requests that wait, instead of granting them near its end") {
  Fixture it;
  it.request(Near, 1);
  it.accept();
  it.request(Other, 2);
  it.Out.clear();
  it.Lending.startLeaving();
  it.Lending.onCapacity(it.ctx(), it.Services);
  REQUIRE(it.told<LoanEnd>(Other).size() == 1);
  CHECK((it.told<LoanEnd>(Other).front().Why == LoanEndReason::Refused));
  it.end(Near, 1);
  CHECK(it.told<LoanGrant>(Other).empty());
  CHECK(it.Lending.loans() == 0);
}

TEST_CASE("a loan at a leaving lender runs and answers commands until its borrower ends it") {
  // Guards against transactions of borrowers that are cut off by a planned stop of their lender.
  Fixture it;
  it.request(Near, 1);
  it.accept();
  it.run(Near, 1, BeginTransaction{});
  const auto link = it.sent().back().Link;
  it.Lending.startLeaving();
  it.Lending.onCapacity(it.ctx(), it.Services);
  it.answer(link, done(), TransactionState::Open);
  it.run(Near, 1, RunStatement{"s1", "WRITE 1 x", std::nullopt});
  it.answer(link, done(), TransactionState::Open);
  it.Now += 4s;
  it.Lending.onTimer(it.ctx(), it.Services);
  it.run(Near, 1, RunStatement{"s2", "COMMIT", std::nullopt});
  it.answer(link, done(), TransactionState::Idle);
  CHECK(it.told<LoanReply>(Near).size() == 3);
  CHECK(it.told<LoanEnd>(Near).empty());
  CHECK(it.Lending.loans() == 1);
  it.end(Near, 1);
  CHECK(it.Lending.loans() == 0);
}

TEST_CASE("a request of a workspace without a link does not hold up requests of other workspaces") {
  Fixture it;
  it.addWorkspaces();
  const WorkspaceId north("north");
  const WorkspaceId south("south");
  it.request(Near, 1, 1, north);
  it.accept();
  REQUIRE(it.told<LoanGrant>(Near).size() == 1);
  // No link of the first one's workspace is idle, and none is opened in this test.
  it.request(Near, 2, 1, south);
  it.request(Other, 3, 1, north);
  it.end(Near, 1);
  CHECK(it.told<LoanGrant>(Other).size() == 1);
  CHECK(it.told<LoanGrant>(Near).size() == 1);
}

TEST_CASE("at equal priority, a workspace that uses fewer links is served before one with many requests") {
  // Guards against one workspace that floods a server and makes the others wait behind its queue.
  Fixture it;
  it.addWorkspaces();
  const WorkspaceId many("many");
  const WorkspaceId few("few");
  for (std::uint64_t n = 1; n <= 8; ++n)
    it.request(Near, n, 1, many);
  it.accept();
  REQUIRE(it.told<LoanGrant>(Near).size() == 4);
  it.request(Other, 20, 1, few);
  // A link of the flooding workspace is returned, and makes room for a link of the other one.
  it.end(Near, 1);
  it.accept();
  CHECK(it.told<LoanGrant>(Other).size() == 1);
}

TEST_CASE("a value that is refused after the loan has ended closes the connection") {
  // Guards against a borrower that runs statements without the values of its session on a link that was lent
  // to another one before.
  Fixture it;
  it.request(Near, 1);
  it.accept();
  REQUIRE(it.told<LoanGrant>(Near).size() == 1);
  it.Lending.onCommands(
      it.ctx(), it.Services, Near,
      {Fixture::loan(1), {{"zone", "north"}}, std::nullopt, {RunStatement{"s", "READ 1", std::nullopt}}});
  REQUIRE(it.sent().size() == 1);
  const auto link = it.sent().back().Link;
  it.end(Near, 1);
  it.answer(link, StatementRejection{Rejection::ReadOnly, ""}, TransactionState::Failed);
  CHECK(std::any_of(it.Out.begin(), it.Out.end(), [&](const Effect &one) {
    const auto *close = std::get_if<CloseLink>(&one);
    return close && close->Link == link;
  }));
}
