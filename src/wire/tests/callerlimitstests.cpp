// Tests of the limits on callers' connections, without a network.

#include "wire/callerlimits.h"

#include "base/bytebudget.h"
#include "protocol/session.h"

#include <doctest/doctest.h>

using namespace rosemaryhinge;

TEST_CASE("limits follow from the settings, with the documented defaults") {
  // Guards against budgets beyond the memory of a small VM.
  constexpr std::size_t MiB = std::size_t{1} << 20;
  const auto small = callerLimits(160, 1'200);
  CHECK(small.ReceivedBytes == 20 * MiB);
  CHECK(small.UnreadBytes == 20 * MiB);
  CHECK(small.MaxSessions == 700);
  const auto unknown = callerLimits(std::nullopt, std::nullopt);
  CHECK(unknown.ReceivedBytes == 32 * MiB);
  CHECK(unknown.MaxSessions == 3'000);
  CHECK(callerLimits(16, 64).MaxSessions == 8);
}

TEST_CASE("a budget that is used up is relieved of the largest holders down to three quarters") {
  // Guards against closing callers that hold little.
  ByteBudget<SessionId> budget(1'000);
  const SessionId small{1}, large{2}, larger{3};
  budget.set(small, 200);
  budget.set(large, 300);
  budget.set(larger, 500);
  CHECK(budget.excess().empty());
  budget.set(larger, 501);
  CHECK(budget.total() == 1'001);
  CHECK(budget.excess() == std::vector{larger});
  budget.set(larger, 600);
  budget.set(large, 500);
  budget.set(small, 400);
  CHECK(budget.excess() == std::vector{larger, large});
  budget.set(larger, 0);
  budget.set(larger, 0);
  CHECK(budget.total() == 900);
}

TEST_CASE("reading stops beyond the bytes or the number of unanswered statements") {
  // Guards against pipelines that are queued without a bound.
  ReceivedStatements statements;
  statements.answered();
  for (std::size_t n = 0; n < ReceivedStatements::MaxStatements; ++n) {
    CHECK(statements.belowLimits());
    statements.passedOn(1);
  }
  CHECK(!statements.belowLimits());
  statements.answered();
  CHECK(statements.belowLimits());
  statements.passedOn(ReceivedStatements::MaxBytes);
  for (std::size_t n = 1; n < ReceivedStatements::MaxStatements; ++n)
    statements.answered();
  CHECK(statements.bytes() == ReceivedStatements::MaxBytes);
  CHECK(statements.belowLimits());
  statements.passedOn(1);
  CHECK(!statements.belowLimits());
}

TEST_CASE("a condition exceeds its time only if it held at every check") {
  // Guards against closing a caller that makes progress.
  using std::chrono::milliseconds;
  ConditionAge age;
  const auto check = [&](bool holds) { return age.exceeds(holds, milliseconds(2'000), milliseconds(1'000)); };
  CHECK(!check(true));
  CHECK(!check(true));
  CHECK(!check(false));
  CHECK(!check(true));
  CHECK(!check(true));
  CHECK(check(true));
  age.reset();
  CHECK(!check(true));
}

TEST_CASE("memory is released once, after usage has fallen") {
  // Guards against releasing memory at every check, and against keeping it after a large group has left.
  MemoryRelease release;
  CHECK(!release.due(MemoryRelease::MinPeakBytes - 1));
  CHECK(!release.due(0));
  CHECK(!release.due(0));
  CHECK(!release.due(10 * MemoryRelease::MinPeakBytes));
  CHECK(!release.due(0));
  CHECK(release.due(0));
  CHECK(!release.due(0));
  CHECK(!release.due(0));
}
