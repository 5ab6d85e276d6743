// Tests of reads and writes at a slot holder: the guarantees to callers under faults.

#include "request/tests/testproxy.h"

#include <doctest/doctest.h>

using namespace rosemaryhinge;
using namespace rosemaryhinge::test;

namespace {

const Refusal *refusalIn(const std::vector<Respond> &answers) {
  return answers.size() == 1 ? std::get_if<Refusal>(&answers[0].Answer) : nullptr;
}
const Success *successIn(const std::vector<Respond> &answers) {
  return answers.size() == 1 ? std::get_if<Success>(&answers[0].Answer) : nullptr;
}

/// Sends a write and returns its execution.
Execute startWrite(TestProxy &w, std::uint64_t id = 1) {
  w.ask(w.request(id, false));
  auto runs = w.take<Execute>();
  REQUIRE(runs.size() == 1);
  return runs[0];
}

} // namespace

TEST_CASE("an answer below the session token is discarded and the read goes to the primary") {
  TestProxy w;
  auto read = w.request(1, true);
  read.Session = Position{1, 900};
  w.ask(read);
  auto run = w.take<Execute>().at(0);
  CHECK(w.Slots.targetOf(run.Connection) != TestProxy::server(0));
  w.done(run, {1, 899}, TargetRole::Replica);
  CHECK(w.take<Respond>().empty());
  CHECK((w.take<CountRetry>().at(0).Reason == RetryReason::StaleReplica));
  run = w.take<Execute>().at(0);
  CHECK(w.Slots.targetOf(run.Connection) == TestProxy::server(0));
  w.done(run, {1, 1000});
  CHECK(successIn(w.take<Respond>()) != nullptr);
}

TEST_CASE("a read whose write was lost with its primary is refused, not answered without the write") {
  TestProxy w;
  w.promote(1, 2, 500);
  auto read = w.request(1, true);
  read.Session = Position{1, 501};
  w.ask(read);
  CHECK(w.take<Execute>().empty());
  const auto answers = w.take<Respond>();
  REQUIRE(refusalIn(answers));
  CHECK((refusalIn(answers)->Reason == RefusalReason::SessionWriteLost));
}

TEST_CASE("a token ahead of the primary ends as session_ahead, never with older data") {
  TestProxy w;
  auto read = w.request(1, true);
  read.Session = Position{2, 10};
  w.ask(read);
  for (int it = 0; it < 50; ++it) {
    for (const auto &run : w.take<Execute>())
      w.done(run, {1, 5000});
    w.advance(50ms);
  }
  const auto answers = w.take<Respond>();
  REQUIRE(refusalIn(answers));
  CHECK((refusalIn(answers)->Reason == RefusalReason::SessionAhead));
}

TEST_CASE("a write is acknowledged only after a replica covers it; the token is its position") {
  TestProxy w;
  const auto run = startWrite(w);
  REQUIRE(run.Marker);
  w.done(run, {1, 1100});
  CHECK(w.take<Respond>().empty());
  w.replyStatus({1, 1099});
  CHECK(w.take<Respond>().empty());
  w.advance(250ms);
  w.replyStatus({1, 1100});
  const auto answers = w.take<Respond>();
  REQUIRE(successIn(answers));
  CHECK(successIn(answers)->Session == Position{1, 1100});
}

TEST_CASE("a proxy that was paused confirms the term again before it acknowledges") {
  TestProxy w;
  w.done(startWrite(w), {1, 1100});
  const auto calls = w.take<ControlCall>();
  w.Now += 600ms; // The answer that shows coverage belongs to a query sent before the pause.
  for (const auto &it : calls)
    w.reply(it, TestProxy::statusOf(1, {1, 1100}));
  CHECK(w.take<Respond>().empty());
  w.replyStatus({1, 1100});
  CHECK(successIn(w.take<Respond>()) != nullptr);
}

TEST_CASE("the outcome of a write whose term ended before coverage is resolved at the new primary") {
  TestProxy w;
  const auto run = startWrite(w);
  w.done(run, {1, 1100});
  w.replyStatus({1, 1050}, 2); // The replicas raised term 2: the commit in term 1 no longer counts.
  CHECK(w.take<Respond>().empty());
  w.promote(1, 2, 1050);
  const auto abort = w.takeAbort();
  REQUIRE(abort);
  CHECK(abort->Target == TestProxy::server(1));
  CHECK(std::get<AbortMarker>(abort->Request).Marker == *run.Marker);
  SUBCASE("not in effect and not repeatable: refused as not_run and not sent again") {
    w.reply(*abort, MarkerRecord{false, 1, std::nullopt, {2, 1200}});
    CHECK(w.take<Respond>().empty());
    w.replyStatus({2, 1200}, 2);
    CHECK(w.take<Execute>().empty());
    const auto answers = w.take<Respond>();
    REQUIRE(answers.size() == 1);
    CHECK((std::get<Refusal>(answers[0].Answer).Ran == Ran::NotRun));
  }
  SUBCASE("not in effect and repeatable: runs again, but only after its abort is covered") {
    w.Policies.Class.Repeatable = true;
    w.reply(*abort, MarkerRecord{false, 1, std::nullopt, {2, 1200}});
    CHECK(w.take<Execute>().empty());
    w.replyStatus({2, 1200}, 2);
    const auto again = w.take<Execute>();
    REQUIRE(again.size() == 1);
    CHECK(again[0].Marker == Marker{run.Marker->Key, 2});
    CHECK(w.take<Respond>().empty());
  }
  SUBCASE("in effect: answered with the recorded results, and not run again") {
    w.reply(*abort, MarkerRecord{true, 1, std::vector<StatementResult>(1), {2, 1200}});
    w.replyStatus({2, 1200}, 2);
    CHECK(w.take<Execute>().empty());
    const auto answers = w.take<Respond>();
    REQUIRE(successIn(answers));
    CHECK(successIn(answers)->Session == Position{2, 1200});
    CHECK_FALSE(successIn(answers)->Replayed);
  }
  SUBCASE("in effect, but its results were too large to record") {
    w.reply(*abort, MarkerRecord{true, 1, std::nullopt, {2, 1200}});
    w.replyStatus({2, 1200}, 2);
    const auto answers = w.take<Respond>();
    REQUIRE(refusalIn(answers));
    CHECK((refusalIn(answers)->Reason == RefusalReason::LostAnswer));
    CHECK((refusalIn(answers)->Ran == Ran::Ran));
  }
  SUBCASE("the record of a server that is still at the old term is ignored") {
    w.reply(*abort, MarkerRecord{false, 1, std::nullopt, {1, 1200}});
    w.advance(100ms);
    CHECK(w.takeAbort());
    CHECK(w.take<Respond>().empty());
  }
}

TEST_CASE("a lost connection without a reachable primary ends as outcome unknown, not as not_run") {
  TestProxy w;
  w.close(startWrite(w).Connection);
  for (int it = 0; it < 100; ++it) {
    if (const auto abort = w.takeAbort())
      w.reply(*abort, ControlFailure{ControlError::Unreachable, ""});
    w.advance(20ms);
  }
  const auto answers = w.take<Respond>();
  REQUIRE(refusalIn(answers));
  CHECK((refusalIn(answers)->Reason == RefusalReason::OutcomeUnknown));
  CHECK((refusalIn(answers)->Ran == Ran::Unknown));
}

TEST_CASE("a write that was never sent is refused as not_run") {
  TestProxy w;
  w.Group.State = Group::Phase::Ordered;
  w.Group.Term = 2;
  w.setGroup();
  w.ask(w.request(1, false));
  w.advance(3s);
  const auto answers = w.take<Respond>();
  REQUIRE(refusalIn(answers));
  CHECK((refusalIn(answers)->Reason == RefusalReason::NoPrimary));
  CHECK((refusalIn(answers)->Ran == Ran::NotRun));
}

TEST_CASE("writes that wait for a primary are released at paced intervals when there is one") {
  TestProxy w;
  w.Group.State = Group::Phase::Ordered;
  w.Group.Term = 2;
  w.setGroup();
  for (std::uint64_t it = 1; it <= 4; ++it)
    w.ask(w.request(it, false));
  w.Group.State = Group::Phase::Done;
  w.promote(1, 2, 1000);
  auto runs = w.take<Execute>();
  CHECK(runs.size() == 1);
  for (int it = 0; it < 100 && !runs.empty(); ++it) {
    w.done(runs.back(), {2, 1000});
    w.advance(1ms);
    const auto more = w.take<Execute>();
    CHECK(more.size() <= 4); // One every 250 us: 5 ms service time, 3 senders, 60 connections.
    runs.insert(runs.end(), more.begin(), more.end());
    if (runs.size() == 4)
      break;
  }
  CHECK(runs.size() == 4);
}

TEST_CASE("a key that is in progress is refused, and not as not_run") {
  TestProxy w;
  auto write = w.request(1, false);
  write.IdempotencyKey = "k";
  w.ask(write);
  write.Id = RequestId{2};
  w.ask(write);
  CHECK(w.take<Execute>().size() == 1);
  const auto answers = w.take<Respond>();
  REQUIRE(refusalIn(answers));
  CHECK((refusalIn(answers)->Reason == RefusalReason::DuplicateInProgress));
  CHECK((refusalIn(answers)->Ran == Ran::Unknown));
}

TEST_CASE("a key that took effect earlier replays the recorded answer") {
  TestProxy w;
  const auto run = startWrite(w);
  w.finish(run, MarkerConflict{MarkerRecord{true, 1, std::vector<StatementResult>(1), {1, 1100}}});
  w.replyStatus({1, 1100});
  const auto answers = w.take<Respond>();
  REQUIRE(successIn(answers));
  CHECK(successIn(answers)->Replayed);
}

TEST_CASE("late answers and answers from other connections are discarded") {
  TestProxy w;
  const auto first = startWrite(w, 1);
  const auto second = startWrite(w, 2);
  w.finish({second.Connection, first.Execution, {}, false, {}, {}}, ExecutionFailed{"42601", "x"});
  CHECK(w.take<Respond>().empty());
  w.finish(first, ExecutionFailed{"42601", "x"});
  w.finish(first, ExecutionFailed{"42601", "x"});
  const auto answers = w.take<Respond>();
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].Id == RequestId{1});
  CHECK(w.take<Count>().size() == 2);
}

TEST_CASE("a leaving target gets no new work") {
  TestProxy w;
  w.Groups.setListedLeaving(TestProxy::server(1), true);
  w.Groups.setListedLeaving(TestProxy::server(2), true);
  w.ask(w.request(1, true));
  CHECK(w.Slots.targetOf(w.take<Execute>().at(0).Connection) == TestProxy::server(0));
  w.Groups.setListedLeaving(TestProxy::server(0), true);
  w.ask(w.request(2, true));
  w.ask(w.request(3, false));
  CHECK(w.take<Execute>().empty());
}

TEST_CASE("a request without a usable target is refused with a retry time") {
  TestProxy w;
  w.Slots.Held.clear();
  w.Slots.Holders.clear();
  w.ask(w.request(1, false));
  const auto answers = w.take<Respond>();
  REQUIRE(refusalIn(answers));
  CHECK((refusalIn(answers)->Reason == RefusalReason::NoTarget));
  CHECK((refusalIn(answers)->Ran == Ran::NotRun));
  CHECK(refusalIn(answers)->RetryAfter.has_value());
}

TEST_CASE("a leaving proxy answers requests in flight, and refuses new ones as not run") {
  TestProxy w;
  w.ask(w.request(1, true));
  const auto runs = w.take<Execute>();
  REQUIRE(runs.size() == 1);
  w.shutDown();
  w.ask(w.request(2, false));
  const auto refused = w.take<Respond>();
  REQUIRE(refused.size() == 1);
  CHECK(refused[0].Id == RequestId{2});
  CHECK((std::get<Refusal>(refused[0].Answer).Reason == RefusalReason::ShuttingDown));
  CHECK((std::get<Refusal>(refused[0].Answer).Ran == Ran::NotRun));
  CHECK(w.take<Execute>().empty());
  // The drain waits for what is in flight.
  CHECK(w.Module.inFlight() == 1);
  w.done(runs[0], {1, 1000}, TargetRole::Replica);
  const auto answered = w.take<Respond>();
  REQUIRE(answered.size() == 1);
  CHECK(std::holds_alternative<Success>(answered[0].Answer));
  CHECK(w.Module.inFlight() == 0);
}
