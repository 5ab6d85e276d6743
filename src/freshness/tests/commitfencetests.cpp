// Tests of the fence against reports of a former primary's commits.

#include "freshness/commitfence.h"

#include <doctest/doctest.h>

using namespace rosemaryhinge;

namespace {

const TimePoint Start{100s};
const TargetId Former("p");
const TargetId Other("a");
const TargetId Chosen("b");
const CommitFence::Bounds Unchosen{10, TargetId(), 3};

} // namespace

TEST_CASE("a raised fence withholds every commit but those of the chosen server's new term") {
  CommitFence fence;
  CHECK_FALSE(fence.withholds(Former, Position{3, 7}, Start));
  REQUIRE(fence.raise(Unchosen, Start));
  for (const auto &it : {Former, Other, Chosen}) {
    CHECK(fence.withholds(it, Position{4, 7}, Start));
    CHECK(fence.withholds(it, std::nullopt, Start));
    CHECK(fence.bars(it, Start));
  }
  REQUIRE(fence.raise({11, Chosen, 3}, Start));
  CHECK(fence.withholds(Chosen, Position{3, 8}, Start));
  CHECK_FALSE(fence.withholds(Chosen, Position{4, 8}, Start));
  CHECK_FALSE(fence.bars(Chosen, Start));
  CHECK(fence.withholds(Other, Position{4, 8}, Start));
}

TEST_CASE("a fence that is not renewed ends, and one that is renewed does not") {
  CommitFence fence;
  fence.raise(Unchosen, Start);
  CHECK(fence.overdue(Start + CommitFence::MaxSilence));
  fence.raise(Unchosen, Start + 5s);
  CHECK(fence.withholds(Former, Position{3, 7}, Start + CommitFence::Lifetime));
  CHECK_FALSE(fence.withholds(Former, Position{3, 7}, Start + 5s + CommitFence::Lifetime));
}

TEST_CASE("a fence of an earlier claim neither replaces a later one nor ends it") {
  CommitFence fence;
  fence.raise(Unchosen, Start);
  CHECK_FALSE(fence.raise({9, Other, 1}, Start));
  fence.end(9, TargetId());
  CHECK(fence.bars(Former, Start));
}

TEST_CASE("a request that arrives after the end of its fence does not raise it again") {
  CommitFence fence;
  fence.raise(Unchosen, Start);
  fence.end(10, TargetId());
  CHECK_FALSE(fence.withholds(Former, Position{3, 7}, Start));
  CHECK_FALSE(fence.raise(Unchosen, Start));
  CHECK(fence.raise({11, Chosen, 3}, Start));
}

TEST_CASE("a renewal that knows fewer terms does not let commits of a known former term through") {
  CommitFence fence;
  fence.raise({10, Chosen, 3}, Start);
  fence.raise({11, Chosen, 0}, Start);
  CHECK(fence.withholds(Chosen, Position{3, 8}, Start));
}

TEST_CASE("a later change that promotes no server does not end what an earlier promotion withholds") {
  // Guards against lost commits: a former primary that had crashed led its old term again, and replicas that
  // joined followed it, after the next change had been given up.
  CommitFence fence;
  fence.raise({10, Other, 3}, Start);
  fence.end(10, Other);
  fence.raise({11, TargetId(), 4}, Start + 1s);
  CHECK(fence.withholds(Former, Position{3, 8}, Start + 1s));
  fence.end(11, TargetId());
  CHECK(fence.withholds(Former, Position{3, 8}, Start + 2s));
  CHECK_FALSE(fence.withholds(Other, Position{4, 1}, Start + 2s));
}

TEST_CASE(
    "after a promotion, a late acknowledgement of the former term is withheld, and none of the promoted "
    "server") {
  CommitFence fence;
  fence.raise({10, Chosen, 3}, Start);
  fence.end(10, Chosen);
  CHECK(fence.withholds(Former, Position{3, 8}, Start + 60s));
  CHECK_FALSE(fence.withholds(Former, Position{5, 1}, Start + 60s));
  CHECK_FALSE(fence.withholds(Chosen, Position{3, 8}, Start + 60s));
}
