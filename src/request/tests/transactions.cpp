// Tests of interactive transactions.

#include "request/tests/testproxy.h"

#include <doctest/doctest.h>

using namespace rosemaryhinge;
using namespace rosemaryhinge::test;

namespace {

struct Fixture : TestProxy {
  TransactionId Id;
  ConnectionId Connection;
  std::uint64_t NextId = 1;

  Fixture() {
    auto request = step(TransactionStep::Begin);
    request.Statements.clear();
    ask(request);
    const auto run = take<Execute>().at(0);
    done(run, {});
    Connection = run.Connection;
    Id = std::get<Success>(take<Respond>().at(0).Answer).Transaction;
  }
  CallerRequest step(TransactionStep kind) {
    auto out = request(NextId++, false);
    out.Step = kind;
    out.Transaction = Id;
    if (kind != TransactionStep::Begin)
      out.Database = DatabaseId(); // The URL of a transaction does not contain the database.
    return out;
  }
  Refusal refusal() {
    const auto answers = take<Respond>();
    REQUIRE(answers.size() == 1);
    REQUIRE(std::holds_alternative<Refusal>(answers[0].Answer));
    return std::get<Refusal>(answers[0].Answer);
  }
};

} // namespace

TEST_CASE_FIXTURE(Fixture, "no other request runs on the connection of an open transaction") {
  for (int it = 0; it < 10; ++it)
    ask(request(NextId++, false));
  const auto runs = take<Execute>();
  CHECK_FALSE(runs.empty());
  for (const auto &it : runs)
    CHECK(it.Connection != Connection);
  ask(step(TransactionStep::Statement));
  CHECK(take<Execute>().at(0).Connection == Connection);
}

TEST_CASE_FIXTURE(Fixture, "a commit carries the marker and is answered once it is covered") {
  ask(step(TransactionStep::Commit));
  const auto run = take<Execute>().at(0);
  REQUIRE(run.Marker);
  done(run, {1, 1100});
  CHECK(take<Respond>().empty());
  replyStatus({1, 1100});
  CHECK(std::get<Success>(take<Respond>().at(0).Answer).Session == Position{1, 1100});
  CHECK(Slots.Busy.empty());
  CHECK(Module.inFlight() == 0);
}

TEST_CASE_FIXTURE(Fixture, "a lost connection ends the transaction as not_run") {
  ask(step(TransactionStep::Statement));
  close(Connection);
  const auto lost = refusal();
  CHECK((lost.Reason == RefusalReason::TransactionLost));
  CHECK((lost.Ran == Ran::NotRun));
  ask(step(TransactionStep::Statement));
  CHECK((refusal().Reason == RefusalReason::UnknownTransaction));
}

TEST_CASE_FIXTURE(Fixture,
                  "a commit whose answer was lost is resolved by its marker, also when it is repeated") {
  ask(step(TransactionStep::Commit));
  const auto run = take<Execute>().at(0);
  close(Connection);
  auto abort = takeAbort();
  REQUIRE(abort);
  CHECK(std::get<AbortMarker>(abort->Request).Marker == *run.Marker);
  reply(*abort, ControlFailure{ControlError::Unreachable, ""});
  advance(3s);
  CHECK((refusal().Ran == Ran::Unknown));
  take<ControlCall>();
  ask(step(TransactionStep::Commit));
  abort = takeAbort();
  REQUIRE(abort);
  CHECK(std::get<AbortMarker>(abort->Request).Marker == *run.Marker);
  reply(*abort, MarkerRecord{true, 1, std::vector<StatementResult>(), {1, 1100}});
  replyStatus({1, 1100});
  CHECK(std::holds_alternative<Success>(take<Respond>().at(0).Answer));
}

TEST_CASE_FIXTURE(Fixture, "the deadline ends a transaction and closes its connection") {
  advance(3s);
  CHECK(Module.inFlight() == 0);
  CHECK(Slots.Doubtful == std::vector{Connection});
}

TEST_CASE_FIXTURE(Fixture, "a change of primary ends the transactions on the old one") {
  promote(1, 2, 1000);
  CHECK(Slots.Doubtful == std::vector{Connection});
  ask(step(TransactionStep::Statement));
  CHECK((refusal().Reason == RefusalReason::UnknownTransaction));
}

TEST_CASE_FIXTURE(Fixture, "a statement that reaches another proxy goes to the one in the id") {
  auto statement = step(TransactionStep::Statement);
  statement.Transaction = TransactionId("n2~5~d");
  ask(statement);
  const auto sent = takeForward();
  REQUIRE(sent);
  CHECK(sent->first == NodeId("n2"));
  Members.Nodes.erase(NodeId("n2"));
  statement.Id = RequestId{99};
  ask(statement);
  CHECK((refusal().Reason == RefusalReason::TransactionLost));
}

TEST_CASE_FIXTURE(Fixture, "two statements of one transaction never run at the same time") {
  ask(step(TransactionStep::Statement));
  ask(step(TransactionStep::Statement));
  CHECK(take<Execute>().size() == 1);
  CHECK((refusal().Ran == Ran::NotRun));
}

TEST_CASE_FIXTURE(Fixture, "a leaving proxy runs the steps of open transactions, for five seconds at most") {
  auto begin = step(TransactionStep::Begin);
  begin.Statements.clear();
  begin.Deadline = Now + 60s;
  ask(begin);
  done(take<Execute>().at(0), {});
  Id = std::get<Success>(take<Respond>().at(0).Answer).Transaction;
  shutDown();
  advance(4s);
  CHECK(Module.inFlight() == 1);
  ask(step(TransactionStep::Statement));
  const auto runs = take<Execute>();
  REQUIRE(runs.size() == 1);
  CHECK(Module.inFlight() == 2);
  done(runs[0], {1, 1001});
  REQUIRE(take<Respond>().size() == 1);
  advance(2s);
  CHECK(Module.inFlight() == 0);
  ask(step(TransactionStep::Statement));
  CHECK((refusal().Reason == RefusalReason::UnknownTransaction));
}
