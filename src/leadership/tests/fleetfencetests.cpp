// Tests of the answers of the fleet to a commit fence.

#include "leadership/internal/fleetfence.h"

#include "freshness/commitfence.h"

#include <doctest/doctest.h>

using namespace rosemaryhinge;
using namespace rosemaryhinge::detail;

namespace {

const TimePoint Start{100s};
const NodeId N2("n2");
const NodeId N3("n3");
const std::vector<NodeId> Both{N2, N3};
constexpr Duration Wait = 400ms;
constexpr std::uint64_t ClaimedAt = 40;
/// Revision after which the present primary's term began.
constexpr std::uint64_t TermSince = 30;
/// A record that has been kept since the node was first started.
constexpr std::uint64_t FirstStart = 0;

FleetFence started(bool all = true) {
  FleetFence out;
  out.begin(ClaimedAt, TermSince, Start);
  out.setOwnKnownSince(FirstStart);
  out.addMembers(Both, all);
  return out;
}

} // namespace

TEST_CASE("a fence is complete only once every proxy has answered, and only if all proxies are known") {
  // Guards against lost commits of a proxy that was not asked, or has not answered yet.
  FleetFence none;
  CHECK_FALSE(none.complete(Start));
  auto fence = started();
  CHECK_FALSE(fence.complete(Start));
  fence.onReply(N2, ClaimedAt, {1, 5}, FirstStart, Start);
  fence.onReply(N2, ClaimedAt, {1, 5}, FirstStart, Start);
  CHECK_FALSE(fence.complete(Start));
  CHECK_FALSE(fence.settled(Wait, Start));
  fence.onReply(N3, ClaimedAt, {1, 4}, FirstStart, Start);
  CHECK(fence.complete(Start));
  auto partial = started(false);
  partial.onReply(N2, ClaimedAt, {1, 5}, FirstStart, Start);
  partial.onReply(N3, ClaimedAt, {1, 4}, FirstStart, Start);
  CHECK_FALSE(partial.complete(Start));
}

TEST_CASE("a fleet without other proxies has raised the fence at once") {
  FleetFence fence;
  fence.begin(ClaimedAt, TermSince, Start);
  fence.setOwnKnownSince(FirstStart);
  fence.addMembers({}, true);
  CHECK(fence.complete(Start));
  CHECK(fence.settled(Wait, Start));
}

TEST_CASE("the highest position of all answers counts, whichever came last") {
  // Guards against a promotion that covers only the position of the proxy that answered last.
  auto fence = started();
  fence.onReply(N2, ClaimedAt, {2, 1}, FirstStart, Start);
  fence.onReply(N3, ClaimedAt, {1, 9}, FirstStart, Start);
  CHECK((fence.acknowledged() == Position{2, 1}));
  fence.onReply(NodeId("stranger"), ClaimedAt, {7, 7}, FirstStart, Start);
  CHECK((fence.acknowledged() == Position{2, 1}));
}

TEST_CASE("a request is due again after 100 ms without an answer, and after a second with one") {
  // Guards against a fence that is lost with one message, and against one that ends during a long change.
  auto fence = started();
  CHECK(fence.takeDue(Start) == Both);
  CHECK(fence.takeDue(Start + 99ms).empty());
  fence.onReply(N2, ClaimedAt, {}, FirstStart, Start);
  CHECK(fence.takeDue(Start + 100ms) == std::vector{N3});
  CHECK(fence.takeDue(Start + 999ms) == std::vector{N3});
  CHECK(fence.takeDue(Start + 1s) == std::vector{N2});
}

TEST_CASE("a lost proxy holds the choice up no longer, and is asked again without waiting for the renewal") {
  auto fence = started();
  fence.onReply(N2, ClaimedAt, {1, 5}, FirstStart, Start);
  CHECK_FALSE(fence.settled(Wait, Start + 10ms));
  fence.onLost(N3);
  CHECK(fence.settled(Wait, Start + 10ms));
  CHECK_FALSE(fence.complete(Start));
  REQUIRE(fence.takeDue(Start) == Both);
  fence.onLost(N2);
  fence.onLost(NodeId("stranger"));
  CHECK(fence.takeDue(Start + 100ms) == Both);
}

TEST_CASE("a proxy that was lost after its answer has to answer again before the fence is complete") {
  // Guards against lost commits: its process may be another one, which has raised no fence.
  auto fence = started();
  fence.onReply(N2, ClaimedAt, {1, 5}, FirstStart, Start);
  fence.onReply(N3, ClaimedAt, {1, 4}, FirstStart, Start);
  fence.onLost(N3);
  CHECK_FALSE(fence.complete(Start));
  fence.onReply(N3, ClaimedAt, {1, 6}, FirstStart, Start);
  CHECK(fence.complete(Start));
  CHECK((fence.acknowledged() == Position{1, 6}));
}

TEST_CASE("silent proxies hold the choice up for the wait, and do not make the fence complete") {
  auto fence = started();
  CHECK_FALSE(fence.settled(Wait, Start + Wait - 1ms));
  CHECK(fence.settled(Wait, Start + Wait));
  CHECK_FALSE(fence.complete(Start));
}

TEST_CASE("the answers under an earlier claim do not count for a later one") {
  // Guards against lost commits: the fence that was answered may have ended since.
  auto fence = started();
  fence.onReply(N2, ClaimedAt, {1, 5}, FirstStart, Start);
  fence.onReply(N3, ClaimedAt, {1, 4}, FirstStart, Start);
  REQUIRE(fence.complete(Start));
  fence.begin(ClaimedAt + 1, TermSince, Start + 1s);
  CHECK_FALSE(fence.allKnown());
  fence.addMembers(Both, true);
  CHECK_FALSE(fence.complete(Start + 1s));
  CHECK(fence.takeDue(Start + 1s) == Both);
  fence.onReply(N2, ClaimedAt, {1, 5}, FirstStart, Start + 1s);
  fence.onReply(N3, ClaimedAt, {1, 4}, FirstStart, Start + 1s);
  CHECK_FALSE(fence.complete(Start + 1s));
  fence.onReply(N2, ClaimedAt + 1, {1, 5}, FirstStart, Start + 1s);
  fence.onReply(N3, ClaimedAt + 1, {1, 4}, FirstStart, Start + 1s);
  CHECK(fence.complete(Start + 1s));
  CHECK((fence.acknowledged() == Position{1, 5}));
}

TEST_CASE("an answer that is not renewed counts for a time, well within that of the fence") {
  // Guards against lost commits: a fence that is not renewed ends at the proxy.
  static_assert(FleetFence::MaxAnswerAge < CommitFence::Lifetime);
  auto fence = started();
  REQUIRE(fence.takeDue(Start) == Both);
  fence.onReply(N2, ClaimedAt, {}, FirstStart, Start);
  fence.onReply(N3, ClaimedAt, {}, FirstStart, Start);
  CHECK(fence.complete(Start + FleetFence::MaxAnswerAge - 1ms));
  CHECK_FALSE(fence.complete(Start + FleetFence::MaxAnswerAge));
}

TEST_CASE("each proxy is told at once which server is promoted") {
  // Guards against writes that are refused for a second after the promoted server leads.
  auto fence = started();
  REQUIRE(fence.takeDue(Start) == Both);
  fence.onReply(N2, ClaimedAt, {}, FirstStart, Start);
  fence.setSuccessor(TargetId("a"));
  CHECK(fence.takeDue(Start + 1ms) == Both);
  fence.setSuccessor(TargetId("a"));
  CHECK(fence.takeDue(Start + 2ms).empty());
}

TEST_CASE("a fence that is reset has no members") {
  auto fence = started();
  fence.reset();
  CHECK_FALSE(fence.started());
  CHECK(fence.members().empty());
}

TEST_CASE("an answer of a process that began after the term did proves nothing of that term") {
  // Guards against lost commits that a killed process had reported: its successor answers with none.
  const auto completeWith = [](std::optional<std::uint64_t> knownSince) {
    auto fence = started();
    fence.onReply(N2, ClaimedAt, {1, 5}, FirstStart, Start);
    fence.onReply(N3, ClaimedAt, {}, knownSince, Start);
    CHECK(fence.raisedByAll(Start));
    return fence.complete(Start);
  };
  CHECK(completeWith(FirstStart));
  CHECK(completeWith(TermSince - 1));
  CHECK_FALSE(completeWith(TermSince));
  CHECK_FALSE(completeWith(TermSince + 1));
  CHECK_FALSE(completeWith(std::nullopt));
}

TEST_CASE("the proxy that changes the primary does not vouch for an earlier process of its own node either") {
  // Guards against lost commits that this node had reported before its process was killed.
  FleetFence fence;
  fence.begin(ClaimedAt, TermSince, Start);
  fence.addMembers({}, true);
  CHECK_FALSE(fence.complete(Start));
  fence.setOwnKnownSince(TermSince + 1);
  CHECK_FALSE(fence.complete(Start));
  fence.setOwnKnownSince(TermSince - 1);
  CHECK(fence.complete(Start));
}

TEST_CASE("a proxy that cannot be reached by a message may answer through the store") {
  // Guards against lost commits of a proxy that is cut off from the others and not from the primary.
  auto fence = started();
  fence.onReply(N2, ClaimedAt, {1, 5}, FirstStart, Start);
  CHECK(fence.unreached(Start) == std::vector{N3});
  fence.onStoredAnswer(N3, {ClaimedAt - 1, {1, 9}}, FirstStart, Start);
  CHECK_FALSE(fence.complete(Start));
  fence.onStoredAnswer(N3, {ClaimedAt, {1, 9}}, FirstStart, Start);
  CHECK(fence.complete(Start));
  CHECK((fence.acknowledged() == Position{1, 9}));
  // It has to be asked there again, since no message keeps its fence raised.
  CHECK(fence.unreached(Start) == std::vector{N3});
}

TEST_CASE("an answer that stands in the store counts once") {
  // Guards against a fence that counts as raised for as long as its old answer can be read.
  auto fence = started();
  const auto later = Start + FleetFence::MaxAnswerAge;
  fence.onReply(N2, ClaimedAt, {1, 5}, FirstStart, Start);
  fence.onStoredAnswer(N3, {ClaimedAt, {1, 9}}, FirstStart, Start);
  REQUIRE(fence.complete(Start));
  (void)fence.takeDue(later);
  fence.onReply(N2, ClaimedAt, {1, 5}, FirstStart, later);
  fence.onStoredAnswer(N3, {ClaimedAt, {1, 9}}, FirstStart, later);
  CHECK_FALSE(fence.complete(later));
  fence.onStoredAnswer(N3, {ClaimedAt + 1, {1, 9}}, FirstStart, later);
  CHECK(fence.complete(later));
}

TEST_CASE("the highest position that a server has acknowledged to a proxy counts, whichever came last") {
  // Guards against a promoted server that lacks a commit whose acknowledgement a proxy has withheld.
  auto fence = started();
  fence.onUnreported(N2, ClaimedAt, {{1, 9}, false}, StepDownState::NotOrdered, Start);
  fence.onUnreported(N3, ClaimedAt, {{1, 4}, false}, StepDownState::NotOrdered, Start);
  CHECK((fence.serverAcknowledged() == Position{1, 9}));
  fence.onUnreported(NodeId("stranger"), ClaimedAt, {{7, 7}, false}, StepDownState::NotOrdered, Start);
  fence.onUnreported(N3, ClaimedAt - 1, {{6, 6}, false}, StepDownState::NotOrdered, Start);
  CHECK((fence.serverAcknowledged() == Position{1, 9}));
  // It was not reported to a caller.
  CHECK((fence.acknowledged() == Position{}));
  // What has been acknowledged stays so under a later claim.
  fence.begin(ClaimedAt + 1, TermSince, Start + 1s);
  CHECK((fence.serverAcknowledged() == Position{1, 9}));
}

TEST_CASE("a proxy counts as having unanswered commits until it tells that it has none") {
  // Guards against passing over a server that still acknowledges the commits of a proxy.
  auto fence = started();
  CHECK(fence.unanswered().empty());
  fence.onUnreported(N2, ClaimedAt, {{}, true}, StepDownState::NotOrdered, Start);
  fence.onUnreported(N3, ClaimedAt, {{}, true}, StepDownState::NotOrdered, Start);
  CHECK(fence.unanswered() == Both);
  fence.onUnreported(N2, ClaimedAt, {{}, false}, StepDownState::NotOrdered, Start);
  CHECK(fence.unanswered() == std::vector{N3});
  fence.onUnreported(N3, ClaimedAt - 1, {{}, false}, StepDownState::NotOrdered, Start);
  CHECK(fence.unanswered() == std::vector{N3});
}

TEST_CASE("a change that a proxy tells of itself is no answer to the fence") {
  // Guards against a fence that counts as raised although the proxy got no request, or none since.
  auto fence = started();
  fence.onReply(N2, ClaimedAt, {1, 5}, FirstStart, Start);
  fence.onUnreported(N3, ClaimedAt, {{1, 9}, false}, StepDownState::SteppedDown, Start);
  CHECK_FALSE(fence.complete(Start));
  CHECK_FALSE(fence.settled(Wait, Start));
  CHECK(fence.silent(Start) == std::vector{N3});
  fence.onReply(N3, ClaimedAt, {1, 4}, FirstStart, Start);
  REQUIRE(fence.complete(Start));
  const auto later = Start + FleetFence::MaxAnswerAge;
  fence.onUnreported(N2, ClaimedAt, {}, StepDownState::NotOrdered, later);
  fence.onUnreported(N3, ClaimedAt, {}, StepDownState::NotOrdered, later);
  CHECK_FALSE(fence.complete(later));
}

TEST_CASE("a step-down is awaited while a proxy that has ordered it can still tell its result") {
  // Guards against an order beside a former primary that is about to be stopped, and against a wait for
  // nobody.
  auto fence = started();
  CHECK_FALSE(fence.awaitsStepDown());
  fence.onReply(N2, ClaimedAt, {}, FirstStart, Start);
  fence.onUnreported(N2, ClaimedAt, {}, StepDownState::Ordered, Start);
  CHECK(fence.awaitsStepDown());
  CHECK_FALSE(fence.steppedDownAt());
  fence.onLost(N2);
  CHECK_FALSE(fence.awaitsStepDown());
  fence.onReply(N2, ClaimedAt, {}, FirstStart, Start);
  CHECK(fence.awaitsStepDown());
  fence.onUnreported(N2, ClaimedAt, {}, StepDownState::SteppedDown, Start + 50ms);
  CHECK_FALSE(fence.awaitsStepDown());
  fence.onUnreported(N3, ClaimedAt, {}, StepDownState::SteppedDown, Start + 90ms);
  REQUIRE(fence.steppedDownAt());
  CHECK(*fence.steppedDownAt() == Start + 50ms);
}

TEST_CASE("what became of a step-down under an earlier claim does not count for a later one") {
  // Guards against an order without a wait, since another server may lead under the later claim.
  auto fence = started();
  fence.onUnreported(N2, ClaimedAt, {{}, true}, StepDownState::SteppedDown, Start);
  fence.onUnreported(N3, ClaimedAt, {{}, true}, StepDownState::Ordered, Start);
  fence.begin(ClaimedAt + 1, TermSince, Start + 1s);
  CHECK_FALSE(fence.steppedDownAt());
  CHECK_FALSE(fence.awaitsStepDown());
  CHECK(fence.unanswered().empty());
}

TEST_CASE("an answer through the store tells unreported commits, too") {
  // Guards against a promoted server that lacks what was acknowledged to a proxy that only the store reaches.
  auto fence = started();
  fence.onStoredAnswer(N3, {ClaimedAt, {1, 5}, {{1, 9}, true}}, FirstStart, Start);
  CHECK((fence.serverAcknowledged() == Position{1, 9}));
  CHECK(fence.unanswered() == std::vector{N3});
}
