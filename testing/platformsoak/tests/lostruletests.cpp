// Guards the exclusions of the rule LOST: one that is too wide would hide requests that a stop has cut.

#include "platformsoak/lostrule.h"

#include <doctest/doctest.h>

using namespace rosemaryhinge::platformsoak;

namespace {

constexpr Millis Term = 100'000;

/// A request that a server ran and whose connection ended, sent and cut so long after SIGTERM.
struct Case {
  Case(Millis sent, Millis cut) {
    Life.Terms = {Term};
    Asked.Ending = Ending::Cut;
    Asked.SentAt = Term + sent;
    Asked.EndedAt = Term + cut;
    Asked.TimeoutMs = 800;
    Asked.DeadlineMs = 2'500;
    ServerRun run;
    run.ReceivedAt = Asked.SentAt + 1;
    run.DoneAt = Asked.EndedAt;
    Runs = {run};
  }
  [[nodiscard]] LostVerdict judge() const { return judgeLost(Asked, Runs, Life, Disruptions); }

  Request Asked;
  ProcessLife Life;
  std::vector<ServerRun> Runs;
  std::vector<Disruption> Disruptions;
};

} // namespace

TEST_CASE("a request that a server has run and a stop has cut is lost") {
  CHECK(Case(1'000, 1'020).judge() == LostVerdict::Lost);
  CHECK(Case(5'100, 5'120).judge() == LostVerdict::Lost);
  // It was at work when SIGTERM came.
  CHECK(Case(-10, 5).judge() == LostVerdict::Lost);
  // The rule holds until 1 s after the grace.
  CHECK(Case(6'900, 7'000).judge() == LostVerdict::Lost);
}

TEST_CASE("only cut requests count, not those whose caller left") {
  Case it(1'000, 1'020);
  it.Asked.Ending = Ending::GivenUp;
  CHECK(it.judge() == LostVerdict::NotCut);
  it.Asked.Ending = Ending::Answered;
  CHECK(it.judge() == LostVerdict::NotCut);
}

TEST_CASE("a request that no server has counts later than the slack after its last byte only") {
  Case it(1'000, 1'200);
  it.Runs.clear();
  CHECK(it.judge() == LostVerdict::NotTaken);
  it.Asked.EndedAt += 1;
  CHECK(it.judge() == LostVerdict::Lost);
}

TEST_CASE("a request counts near SIGTERM only, and for every SIGTERM of the process") {
  CHECK(Case(7'000, 7'001).judge() == LostVerdict::NoPlannedWork);
  CHECK(Case(-30, -1).judge() == LostVerdict::NoPlannedWork);
  Case it(7'500, 7'520);
  it.Life.Terms.push_back(Term + 3'000);
  CHECK(it.judge() == LostVerdict::Lost);
}

TEST_CASE("a request counts near SIGHUP if it was sent up to 3 s after it and cut after it") {
  Case it(20'000, 20'030);
  it.Life.Hups = {Term + 17'000};
  CHECK(it.judge() == LostVerdict::Lost);
  it.Life.Hups = {Term + 16'999};
  CHECK(it.judge() == LostVerdict::NoPlannedWork);
  it.Life.Hups = {Term + 20'031};
  CHECK(it.judge() == LostVerdict::NoPlannedWork);
}

TEST_CASE("a request that has reached its route's timeout or its caller's deadline does not count") {
  Case it(1'000, 1'800);
  CHECK(it.judge() == LostVerdict::TimeReached);
  it.Asked.EndedAt -= 1;
  CHECK(it.judge() == LostVerdict::Lost);
  it.Asked.DeadlineMs = 700;
  CHECK(it.judge() == LostVerdict::TimeReached);
}

TEST_CASE("a request whose last server broke off does not count, but one that was sent again does") {
  Case it(1'000, 1'020);
  it.Runs.front().ServerBroke = true;
  CHECK(it.judge() == LostVerdict::ServerBroke);
  it.Runs.push_back(it.Runs.front());
  it.Runs.back().ServerBroke = false;
  CHECK(it.judge() == LostVerdict::Lost);
}

TEST_CASE("work in the last sixth of the grace excuses requests sent up to 3 s after SIGTERM only") {
  Case it(3'000, 5'500);
  it.Asked.TimeoutMs = 5'000;
  it.Asked.DeadlineMs = 5'000;
  CHECK(it.judge() == LostVerdict::WorkAtTheEnd);
  // The server had done its work before.
  it.Runs.front().DoneAt = Term + 4'999;
  CHECK(it.judge() == LostVerdict::Lost);
  it.Runs.front().DoneAt.reset();
  CHECK(it.judge() == LostVerdict::WorkAtTheEnd);
  it.Asked.SentAt += 1;
  CHECK(it.judge() == LostVerdict::Lost);
}

TEST_CASE("disruption from 5 s before the request to its end excuses it") {
  Case it(1'000, 1'020);
  it.Disruptions = {{Term - 10'000, Term - 4'000, "store down"}};
  CHECK(it.judge() == LostVerdict::Disrupted);
  it.Disruptions.front().Until -= 1;
  CHECK(it.judge() == LostVerdict::Lost);
  it.Disruptions = {{Term + 1'021, Term + 4'000, "store down"}};
  CHECK(it.judge() == LostVerdict::Lost);
}

TEST_CASE("a request that no server has may have met a closed connection where the network held it up") {
  Case it(1'000, 1'400);
  it.Runs.clear();
  it.Disruptions = {{Term + 900, Term + 1'350, "answers held", 0}};
  CHECK(it.judge() == LostVerdict::HeldUp);
  it.Disruptions.front().CallersOf = 1;
  CHECK(it.judge() == LostVerdict::Lost);
  // A request that a server has run was read by the process.
  Case ran(1'000, 1'400);
  ran.Disruptions = {{Term + 900, Term + 1'350, "answers held", 0}};
  CHECK(ran.judge() == LostVerdict::Lost);
}

TEST_CASE("a killed process excuses what its end broke, a suspended one what was under way meanwhile") {
  Case it(1'000, 1'020);
  it.Life.CrashedAt = Term + 1'010;
  CHECK(it.judge() == LostVerdict::Crashed);
  it.Life.CrashedAt = Term + 1'021;
  CHECK(it.judge() == LostVerdict::Lost);
  it.Life.CrashedAt.reset();
  it.Life.Suspensions = {{Term + 500, Term + 1'000}};
  CHECK(it.judge() == LostVerdict::Suspended);
  it.Life.Suspensions = {{Term + 500, Term + 999}, {Term + 1'021, std::nullopt}};
  CHECK(it.judge() == LostVerdict::Lost);
}
