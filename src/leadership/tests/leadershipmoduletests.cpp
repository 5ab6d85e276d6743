// Tests of changes of primary.

#include "leadership/internal/serverstates.h"

#include <doctest/doctest.h>

using namespace rosemaryhinge;
using namespace rosemaryhinge::detail;

namespace {

const TargetId A("a");
const TargetId B("b");
const TargetId P("p");

ServerState replica(Lsn log, bool paused) {
  ServerState out;
  out.Status = TargetStatus{TargetRole::Replica, 3, {3, log}, {}, false, {}};
  out.Paused = paused;
  return out;
}

ServerState former(bool steppedDown, Lsn log = 0) {
  ServerState out;
  out.FormerPrimary = true;
  out.SteppedDown = steppedDown;
  if (steppedDown)
    out.Status = TargetStatus{TargetRole::Replica, 4, {3, log}, {}, false, {}};
  return out;
}

} // namespace

TEST_CASE("a replica that lags behind a paused one is not certain to hold every commit") {
  const ServerStates servers{{A, replica(10, false)}, {B, replica(20, true)}, {P, former(false)}};
  CHECK(mostUpToDate(servers) == B);
  CHECK_FALSE(holdsAllCommits(servers, A));
}

TEST_CASE("a replica that may still receive commits which the other lacks is a risk until it is paused") {
  const ServerStates running{{A, replica(20, false)}, {B, replica(20, false)}, {P, former(false)}};
  CHECK_FALSE(holdsAllCommits(running, A));
  const ServerStates paused{{A, replica(20, false)}, {B, replica(20, true)}, {P, former(false)}};
  CHECK(holdsAllCommits(paused, A));
}

TEST_CASE("without an answer of one replica nobody is certain to hold every commit") {
  ServerStates servers{{A, replica(20, true)}, {B, ServerState()}, {P, former(false)}};
  CHECK_FALSE(holdsAllCommits(servers, A));
  servers[B].Missing = true;
  CHECK_FALSE(holdsAllCommits(servers, A));
}

TEST_CASE("the log of a primary that has stepped down stands in for a replica that does not answer") {
  ServerStates servers{{A, replica(20, true)}, {B, ServerState()}, {P, former(true, 20)}};
  CHECK(holdsAllCommits(servers, A));
  servers[P] = former(true, 21);
  CHECK_FALSE(holdsAllCommits(servers, A));
  CHECK(mostUpToDate(servers) == P);
  CHECK(holdsAllCommits(servers, P));
}

TEST_CASE("a replica that is leaving leads only if its log is longer") {
  ServerStates servers{{A, replica(20, true)}, {B, replica(20, true)}, {P, former(false)}};
  servers[B].Leaving = true;
  CHECK(mostUpToDate(servers) == A);
  servers[B].Status->Log.Lsn = 21;
  CHECK(mostUpToDate(servers) == B);
}

TEST_CASE("a server that was promoted meanwhile ends the change") {
  ServerStates servers{{A, replica(20, true)}, {B, replica(20, true)}, {P, former(false)}};
  CHECK_FALSE(newerPrimary(servers));
  servers[B].Status = TargetStatus{TargetRole::Primary, 4, {4, 21}, {}, false, {}};
  CHECK(newerPrimary(servers) == B);
}

TEST_CASE("a replica that goes on receiving shows that the primary serves, whatever this proxy sees of it") {
  ServerStates servers{{A, replica(20, false)}, {B, replica(20, false)}, {P, former(false)}};
  servers[A].FirstPosition = Position{3, 20};
  servers[B].FirstPosition = Position{3, 20};
  CHECK_FALSE(anyReplicaAdvances(servers));
  servers[B].Status->Log.Lsn = 21;
  CHECK(anyReplicaAdvances(servers));
}

TEST_CASE("a server that leads again under another id is recognised although replicas are paused for a later "
          "term") {
  // Guards against the loss of acknowledged commits: a primary crashed and came back under another id while a
  // change was under way, and a replica that was paused for the next term hid that it led.
  ServerStates servers{{A, replica(20, true)}, {B, replica(20, true)}};
  servers[A].Status->RaisedTerm = 4;
  servers[B].Status->RaisedTerm = 4;
  servers[P].Status = TargetStatus{TargetRole::Primary, 3, {3, 25}, {}, false, {}};
  CHECK(newerPrimary(servers) == P);
}

TEST_CASE("a former primary that has not learned of a later term does not lead") {
  ServerStates servers{{A, replica(20, false)}, {B, replica(20, false)}};
  servers[A].Status->RaisedTerm = 4;
  servers[P].Status = TargetStatus{TargetRole::Primary, 3, {3, 25}, {}, false, {}};
  CHECK_FALSE(newerPrimary(servers));
}

TEST_CASE("after the primary has stepped down, the longest log of all replicas holds every commit") {
  ServerStates servers{{A, replica(20, false)}, {B, replica(22, false)}, {P, former(true, 25)}};
  CHECK_FALSE(bestAfterStepDown(servers, {}));
  servers[A].Settled = true;
  servers[B].Settled = true;
  CHECK(bestAfterStepDown(servers, {}) == B);
  // Without the report of a replica, only the log of the former primary stands in for it.
  servers[B].Settled = false;
  CHECK_FALSE(bestAfterStepDown(servers, {}));
  servers[A].Status->Log.Lsn = 25;
  CHECK(bestAfterStepDown(servers, {}) == A);
}

TEST_CASE("after the primary has stepped down, servers that do not count need not be compared") {
  // Guards against a service without a primary: the last one known has led an earlier term, and a server that
  // has ended since could not be compared.
  ServerStates servers{{A, replica(20, false)}, {B, ServerState()}, {P, former(true, 12)}};
  servers[A].Settled = true;
  servers[A].Status->Log.Term = 4;
  servers[B].Missing = true;
  CHECK_FALSE(bestAfterStepDown(servers, {}));
  CHECK(bestAfterStepDown(servers, {}, false) == A);
  servers[A].Settled = false;
  CHECK_FALSE(bestAfterStepDown(servers, {}, false));
}

TEST_CASE("a server whose promotion may have been ordered before is preferred among equal logs") {
  ServerStates servers{{A, replica(20, true)}, {B, replica(20, true)}, {P, former(false)}};
  CHECK(mostUpToDate(servers, A) == A);
  CHECK(mostUpToDate(servers, B) == B);
}
