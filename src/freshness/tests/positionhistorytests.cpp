// Tests of the position history that decides whether a read is fresh enough.

#include "freshness/positionhistory.h"

#include <doctest/doctest.h>

using namespace rosemaryhinge;

namespace {
const TimePoint Start{100s};
}

TEST_CASE("a sample older than the bound proves nothing") {
  PositionHistory history;
  CHECK_FALSE(history.smallestCovering(Start));
  history.add({1, 10}, Start);
  CHECK(history.smallestCovering(Start) == Position{1, 10});
  CHECK_FALSE(history.smallestCovering(Start + 1us));
}

TEST_CASE("the smallest position that is young enough is taken, so that lagging replicas may serve") {
  PositionHistory history;
  history.add({1, 10}, Start);
  history.add({1, 20}, Start + 500ms);
  history.add({1, 30}, Start + 1s);
  CHECK(history.smallestCovering(Start + 100ms) == Position{1, 20});
  CHECK(history.smallestCovering(Start) == Position{1, 10});
}

TEST_CASE("answers that arrive in another order than their requests were sent keep their own age") {
  PositionHistory history;
  history.add({1, 30}, Start + 1s);
  history.add({1, 20}, Start + 500ms);
  CHECK(history.smallestCovering(Start + 600ms) == Position{1, 30});
  CHECK(history.newestRequestTime() == Start + 1s);
}

TEST_CASE("many samples are thinned and old ones dropped without losing the newest") {
  PositionHistory history;
  for (int n = 0; n < 20'000; ++n)
    history.add({1, static_cast<Lsn>(n)}, Start + n * 1ms);
  CHECK(history.smallestCovering(Start + 19'999ms) == Position{1, 19'999});
  CHECK_FALSE(history.smallestCovering(Start + 20s));
}
