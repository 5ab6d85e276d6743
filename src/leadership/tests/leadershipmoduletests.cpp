// Tests of changes of primary.

#include "leadership/internal/survey.h"

#include <doctest/doctest.h>

using namespace rosemaryhinge;
using namespace rosemaryhinge::detail;

namespace {

const TargetId A("a");
const TargetId B("b");
const TargetId P("p");

SurveyEntry replica(Lsn log, bool paused) {
  SurveyEntry out;
  out.Status = TargetStatus{TargetRole::Replica, 3, {3, log}, {}, false, {}};
  out.Paused = paused;
  return out;
}

SurveyEntry former(bool steppedDown, Lsn log = 0) {
  SurveyEntry out;
  out.Former = true;
  out.SteppedDown = steppedDown;
  if (steppedDown)
    out.Status = TargetStatus{TargetRole::Replica, 4, {3, log}, {}, false, {}};
  return out;
}

} // namespace

TEST_CASE("a replica that lags behind a paused one is not certain to hold every commit") {
  const Survey survey{{A, replica(10, false)}, {B, replica(20, true)}, {P, former(false)}};
  CHECK(furthest(survey) == B);
  CHECK_FALSE(holdsAll(survey, A));
}

TEST_CASE("a replica that may still receive commits which the other lacks is a risk until it is paused") {
  const Survey running{{A, replica(20, false)}, {B, replica(20, false)}, {P, former(false)}};
  CHECK_FALSE(holdsAll(running, A));
  const Survey paused{{A, replica(20, false)}, {B, replica(20, true)}, {P, former(false)}};
  CHECK(holdsAll(paused, A));
}

TEST_CASE("without an answer of one replica nobody is certain to hold every commit") {
  Survey survey{{A, replica(20, true)}, {B, SurveyEntry()}, {P, former(false)}};
  CHECK_FALSE(holdsAll(survey, A));
  survey[B].Missing = true;
  CHECK_FALSE(holdsAll(survey, A));
}

TEST_CASE("the log of a primary that has stepped down stands in for a replica that does not answer") {
  Survey survey{{A, replica(20, true)}, {B, SurveyEntry()}, {P, former(true, 20)}};
  CHECK(holdsAll(survey, A));
  survey[P] = former(true, 21);
  CHECK_FALSE(holdsAll(survey, A));
  CHECK(furthest(survey) == P);
  CHECK(holdsAll(survey, P));
}

TEST_CASE("a replica that is leaving leads only if its log is longer") {
  Survey survey{{A, replica(20, true)}, {B, replica(20, true)}, {P, former(false)}};
  survey[B].Leaving = true;
  CHECK(furthest(survey) == A);
  survey[B].Status->Log.Lsn = 21;
  CHECK(furthest(survey) == B);
}

TEST_CASE("a server that was promoted meanwhile ends the change") {
  Survey survey{{A, replica(20, true)}, {B, replica(20, true)}, {P, former(false)}};
  CHECK_FALSE(leads(survey));
  survey[B].Status = TargetStatus{TargetRole::Primary, 4, {4, 21}, {}, false, {}};
  CHECK(leads(survey) == B);
}

TEST_CASE("a replica that goes on receiving shows that the primary serves, whatever this proxy sees of it") {
  Survey survey{{A, replica(20, false)}, {B, replica(20, false)}, {P, former(false)}};
  survey[A].FirstLog = Position{3, 20};
  survey[B].FirstLog = Position{3, 20};
  CHECK_FALSE(receives(survey));
  survey[B].Status->Log.Lsn = 21;
  CHECK(receives(survey));
}
