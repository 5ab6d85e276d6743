// Tests of requests that are forwarded to another proxy, from the side of the sender and of the receiver.

#include "request/tests/testproxy.h"

#include <doctest/doctest.h>

using namespace rosemaryhinge;
using namespace rosemaryhinge::test;

namespace {

/// A proxy that holds no slot and therefore forwards every request.
struct Entry : TestProxy {
  Entry() { Slots.Held.clear(); }

  std::pair<NodeId, ForwardRequest> forwardWrite() {
    ask(request(1, false));
    auto out = takeForward();
    REQUIRE(out);
    return *out;
  }
};

void deliverForward(TestProxy &w, const ForwardRequest &message) {
  w.with([&](auto &ctx, auto &services) { w.Module.onForwardRequest(ctx, services, NodeId("n1"), message); });
}

std::vector<Answer> answersToPeer(TestProxy &w) {
  std::vector<Answer> out;
  for (const auto &it : w.take<SendToPeer>())
    if (const auto *message = std::get_if<ForwardAnswer>(&it.Message))
      out.push_back(message->Answer);
  return out;
}

} // namespace

TEST_CASE_FIXTURE(Entry, "only the proxy that was asked can answer, and only once") {
  const auto [node, message] = forwardWrite();
  CHECK(message.Budget < 2s);
  CHECK_FALSE(message.Request.IdempotencyKey.empty());
  forwarded(node == NodeId("n1") ? "n2" : "n1", Success{}, message.Id);
  CHECK(take<Respond>().empty());
  forwarded(node.str().c_str(), Success{}, message.Id);
  forwarded(node.str().c_str(), Success{}, message.Id);
  CHECK(take<Respond>().size() == 1);
  CHECK(take<Count>().size() == 2);
}

TEST_CASE_FIXTURE(
    Entry, "a repeatable write at a lost proxy runs elsewhere only after its attempt is aborted for good") {
  Policies.Class.Repeatable = true;
  const auto [node, message] = forwardWrite();
  with([&, lost = node](auto &ctx, auto &services) { Module.onPeerLost(ctx, services, lost); });
  CHECK_FALSE(takeForward());
  const auto abort = takeAbort();
  REQUIRE(abort);
  CHECK(std::get<AbortMarker>(abort->Request).Marker == Marker{message.Request.IdempotencyKey, 1});
  reply(*abort, MarkerRecord{false, 1, std::nullopt, {1, 1100}});
  CHECK_FALSE(takeForward());
  replyStatus({1, 1100});
  const auto again = takeForward();
  REQUIRE(again);
  CHECK(again->first != node);
  CHECK(again->second.Attempt == 2);
  CHECK(again->second.Request.IdempotencyKey == message.Request.IdempotencyKey);
  CHECK(again->second.Id != message.Id);
}

TEST_CASE_FIXTURE(Entry,
                  "a proxy that knows nothing of the replicas asks one of their holders, not the primary's") {
  Slots.Holders = {{server(0), {NodeId("n1")}}, {server(1), {NodeId("n2")}}};
  Now += 10s; // Makes all lag samples outdated.
  auto read = request(1, true);
  read.Session = Position{1, 5000};
  ask(read);
  CHECK(takeForward()->first == NodeId("n2"));
}

TEST_CASE_FIXTURE(Entry, "a read at a lost proxy goes to another holder") {
  ask(request(1, true));
  const auto first = takeForward();
  REQUIRE(first);
  with([&](auto &ctx, auto &services) { Module.onPeerLost(ctx, services, first->first); });
  const auto second = takeForward();
  REQUIRE(second);
  CHECK(second->first != first->first);
}

TEST_CASE_FIXTURE(Entry,
                  "a holder that was declared dead is given up, also if its connection does not break") {
  ask(request(1, true));
  const auto first = takeForward();
  REQUIRE(first);
  Members.Nodes.erase(first->first);
  advance(600ms);
  const auto second = takeForward();
  REQUIRE(second);
  CHECK(second->first != first->first);
}

TEST_CASE_FIXTURE(Entry, "a forwarded write without an answer is unknown at its deadline") {
  forwardWrite();
  advance(3s);
  const auto answers = take<Respond>();
  REQUIRE(answers.size() == 1);
  CHECK((std::get<Refusal>(answers[0].Answer).Ran == Ran::Unknown));
}

TEST_CASE("a holder never raises the attempt by itself: the entry proxy may have said not_run") {
  TestProxy w;
  auto request = w.request(5, false);
  request.IdempotencyKey = "p:key";
  deliverForward(w, ForwardRequest{RequestId{9}, 1s, 1, 1, request});
  const auto run = w.take<Execute>().at(0);
  w.finish(run, MarkerConflict{MarkerRecord{false, 1, std::nullopt, {1, 1100}}});
  w.replyStatus({1, 1100});
  CHECK(w.take<Execute>().empty());
  const auto answers = answersToPeer(w);
  REQUIRE(answers.size() == 1);
  CHECK((std::get<Refusal>(answers[0]).Ran == Ran::NotRun));
}

TEST_CASE("a duplicated message does not run twice, and the budget ends the request here") {
  TestProxy w;
  auto request = w.request(5, false);
  request.IdempotencyKey = "p:key";
  request.Deadline = TimePoint{1s}; // By the clock of another VM; the receiver must ignore it.
  const ForwardRequest message{RequestId{9}, 1s, 1, 1, request};
  deliverForward(w, message);
  deliverForward(w, message);
  CHECK(w.take<Execute>().size() == 1);
  w.advance(1s);
  const auto answers = answersToPeer(w);
  REQUIRE(answers.size() == 1);
  CHECK((std::get<Refusal>(answers[0]).Ran == Ran::Unknown));
}

TEST_CASE("a duplicate that arrives after the answer does not run again") {
  TestProxy w;
  auto request = w.request(5, false);
  request.IdempotencyKey = "p:key";
  const ForwardRequest message{RequestId{9}, 1s, 1, 1, request};
  deliverForward(w, message);
  w.finish(w.take<Execute>().at(0), ExecutionFailed{"23505", "constraint violated"});
  REQUIRE(answersToPeer(w).size() == 1);
  deliverForward(w, message);
  CHECK(w.take<Execute>().empty());
  CHECK(answersToPeer(w).empty());
}

TEST_CASE("a refusal is recorded with its database and class, so that the report can tell which were hit") {
  TestProxy w;
  auto request = w.request(5, false);
  request.Class = ClassName("weighing");
  w.ask(request);
  w.finish(w.take<Execute>().at(0), ExecutionFailed{"23505", "constraint violated"});
  REQUIRE(w.Journal.size() == 1);
  CHECK(w.Journal[0].Kind == "refusal");
  CHECK(w.Journal[0].Database == request.Database);
  CHECK(w.Journal[0].What == "weighing");
  CHECK(w.Journal[0].Why == "sql_error");
}

TEST_CASE("a request is forwarded a limited number of times, and never back to its sender") {
  TestProxy w;
  w.Slots.Held.clear();
  w.Slots.Holders[TestProxy::server(0)] = {NodeId("n1")};
  auto request = w.request(5, false);
  request.IdempotencyKey = "p:key";
  deliverForward(w, ForwardRequest{RequestId{8}, 1s, 1, 1, request});
  CHECK_FALSE(w.takeForward());
  w.Slots.Holders[TestProxy::server(0)] = {NodeId("n2")};
  deliverForward(w, ForwardRequest{RequestId{9}, 1s, 2, 1, request});
  CHECK_FALSE(w.takeForward());
}

TEST_CASE("a leaving proxy answers forwarded requests in flight, and its drain waits for them") {
  TestProxy w;
  deliverForward(w, {RequestId{77}, 1s, 1, 1, w.request(1, true)});
  const auto runs = w.take<Execute>();
  REQUIRE(runs.size() == 1);
  w.shutDown();
  CHECK(w.Module.inFlight() == 1);
  w.done(runs[0], {1, 1000}, TargetRole::Replica);
  const auto answers = answersToPeer(w);
  REQUIRE(answers.size() == 1);
  CHECK(std::holds_alternative<Success>(answers[0]));
  CHECK(w.Module.inFlight() == 0);
}
