// Session token comparisons across changes of primary.

#include "session/coverage.h"

#include <doctest/doctest.h>
#include <vector>

using namespace rosemaryhinge;

namespace {
const std::vector<TermStart> Terms = {{1, 0}, {2, 100}, {4, 150}};
}

TEST_CASE("a write below the start of the next term is contained in it") {
  CHECK(covers({2, 120}, {1, 100}, Terms));
  CHECK(covers({4, 160}, {1, 90}, Terms));
  CHECK(toLatestTerm({1, 90}, Terms) == Position{4, 90});
}

TEST_CASE("a write that the new primary never had is lost, however far its log has grown") {
  CHECK_FALSE(covers({2, 500}, {1, 101}, Terms));
  CHECK_FALSE(covers({4, 500}, {1, 101}, Terms));
  CHECK_FALSE(toLatestTerm({1, 101}, Terms).has_value());
}

TEST_CASE("a later term that began lower than an earlier one loses writes of both") {
  const std::vector<TermStart> terms = {{1, 0}, {2, 100}, {3, 80}};
  CHECK_FALSE(isRetained({1, 90}, terms));
  CHECK_FALSE(covers({3, 200}, {1, 90}, terms));
  CHECK(isRetained({1, 80}, terms));
}

TEST_CASE("a log of an older term never satisfies a token of a newer one") {
  CHECK_FALSE(covers({1, 9999}, {2, 100}, Terms));
}

TEST_CASE("a term whose start is not known proves nothing") {
  CHECK_FALSE(covers({9, 9999}, {4, 151}, Terms));
}
