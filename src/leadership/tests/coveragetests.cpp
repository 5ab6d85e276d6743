// Tests of what must be covered before a promotion.

#include "leadership/internal/coverage.h"

#include <doctest/doctest.h>

using namespace rosemaryhinge;
using namespace rosemaryhinge::detail;

namespace {

const TargetId A("a");
const TargetId B("b");
const TargetId P("p");

/// What became of a server that acknowledged commits.
enum class Fate : std::uint8_t { Paused, Settled, Receiving, Silent, Gone, Withdrawn };
constexpr Fate Fates[] = {Fate::Paused, Fate::Settled, Fate::Receiving,
                          Fate::Silent, Fate::Gone,    Fate::Withdrawn};

ServerState replica(Lsn log, bool paused) {
  ServerState out;
  out.Status = TargetStatus{TargetRole::Replica, 3, {3, log}, {}, false, {}};
  out.Paused = paused;
  out.Settled = paused;
  return out;
}

/// Adds a server that has the log, as far as its fate lets the change see it.
void addServer(ServerStates &servers, const TargetId &target, Lsn log, Fate fate, bool leaving) {
  if (fate == Fate::Withdrawn)
    return;
  auto &it = servers[target];
  if (fate != Fate::Silent && fate != Fate::Gone)
    it = replica(log, fate == Fate::Paused);
  it.Settled = fate == Fate::Settled || fate == Fate::Paused;
  it.Missing = fate == Fate::Gone;
  it.Leaving = leaving;
}

ServerState former(std::optional<Lsn> log) {
  ServerState out;
  out.FormerPrimary = true;
  out.SteppedDown = log.has_value();
  if (log)
    out.Status = TargetStatus{TargetRole::Replica, 4, {3, *log}, {}, false, {}};
  return out;
}

} // namespace

TEST_CASE("a promoted server holds every commit that any other server may have acknowledged") {
  // Guards against lost commits over all combinations: the other replica's fate and log, whether it leaves,
  // the former primary under its old id or another one, present or not, stopped or not, the position that
  // earlier claims require, and logs that are absent. The commit at position 400 was acknowledged, and the
  // candidate's log ends at 372 or holds it.
  int complete = 0;
  for (const Lsn own : {372, 400})
    for (const auto fate : Fates)
      for (const Lsn other : {300, 400})
        for (const bool leaving : {false, true})
          for (const int primary :
               {0, 1, 2, 3}) // Absent, silent, stepped down, back under another id as replica.
            for (const Lsn required : {0, 372, 400})
              for (const bool absent : {false, true}) {
                ServerStates servers{{A, replica(own, true)}};
                addServer(servers, B, other, fate, leaving);
                if (primary == 1)
                  servers[P] = former(std::nullopt);
                if (primary == 2)
                  servers[P] = former(400);
                if (primary == 3)
                  servers[P] = replica(400, true);
                const auto result = coverage({servers, {3, required}, absent}, A);
                CAPTURE(own);
                CAPTURE(static_cast<int>(fate));
                CAPTURE(other);
                CAPTURE(primary);
                CAPTURE(required);
                const bool seenAhead =
                    (fate <= Fate::Receiving && other > own) || (primary == 3 && own < 400);
                const bool unseen = fate == Fate::Silent || fate == Fate::Gone || (fate == Fate::Receiving) ||
                                    (fate == Fate::Settled && primary != 2);
                const bool standsIn = primary == 2 && own >= 400;
                if (own < required)
                  CHECK(result != Coverage::Complete);
                if ((seenAhead || unseen) && !standsIn)
                  CHECK(result == Coverage::Uncompared);
                else if (own >= required)
                  CHECK(result == Coverage::Complete);
                else
                  CHECK(result == (absent ? Coverage::AwaitsLog : Coverage::NoLogKnown));
                complete += result == Coverage::Complete ? 1 : 0;
              }
  CHECK(complete > 0);
}

TEST_CASE("once the fleet is fenced, a server is promoted exactly if it holds every reported commit") {
  // Guards against lost commits, and against waiting for the log of a server that can have reported none.
  int complete = 0;
  for (const Lsn own : {372, 400})
    for (const auto fate : Fates)
      for (const Lsn other : {300, 400})
        for (const int primary : {0, 1, 2, 3}) // Absent, silent, stepped down, back under another id.
          for (const Lsn required : {0, 372, 400})
            for (const bool absent : {false, true}) {
              ServerStates servers{{A, replica(own, false)}};
              addServer(servers, B, other, fate, false);
              if (primary == 1)
                servers[P] = former(std::nullopt);
              if (primary == 2)
                servers[P] = former(400);
              if (primary == 3)
                servers[P] = replica(400, true);
              const auto result = coverage({servers, {3, required}, absent, true}, A);
              CAPTURE(own);
              CAPTURE(static_cast<int>(fate));
              CAPTURE(other);
              CAPTURE(primary);
              CAPTURE(required);
              if (own >= required)
                CHECK(result == Coverage::Complete);
              else
                CHECK(result == (absent ? Coverage::AwaitsLog : Coverage::NoLogKnown));
              complete += result == Coverage::Complete ? 1 : 0;
            }
  CHECK(complete > 0);
}

TEST_CASE("of a fenced fleet, a former primary that has not stepped down, or is silent, covers nothing") {
  // Guards against an order for the server that is replaced, by a status from before.
  ServerStates servers{{A, replica(372, true)}, {P, former(400)}};
  CHECK(coverage({servers, {3, 400}, false, true}, P) == Coverage::Complete);
  servers[P].SteppedDown = false;
  CHECK(coverage({servers, {3, 400}, false, true}, P) == Coverage::Uncompared);
  servers[P].Status.reset();
  CHECK(coverage({servers, {}, false, true}, P) == Coverage::Uncompared);
  CHECK(coverage({servers, {}, false, true}, B) == Coverage::Uncompared);
}

TEST_CASE(
    "a log that ended with a drained server is stood for by the position that an earlier claim required") {
  // Guards against the loss of 28 commits: the drained server was promoted at 400 and ended with its log.
  const ServerStates servers{{A, replica(372, true)}, {P, former(std::nullopt)}};
  CHECK(coverage({servers, {3, 400}, true}, A) == Coverage::AwaitsLog);
  const ServerStates back{{A, replica(372, true)}, {P, replica(401, true)}};
  CHECK(coverage({back, {3, 400}, false}, P) == Coverage::Complete);
  CHECK(coverage({back, {3, 400}, false}, A) == Coverage::Uncompared);
}

TEST_CASE("an unknown server, or one without an answer, covers nothing") {
  const ServerStates servers{{A, ServerState()}};
  CHECK(coverage({servers, {}, false}, A) == Coverage::Uncompared);
  CHECK(coverage({servers, {}, false}, B) == Coverage::Uncompared);
}

TEST_CASE("a former primary that has stepped down leads again instead of one that lacks commits or leaves") {
  ServerStates servers{{A, replica(372, true)}, {P, former(400)}};
  CHECK(unlessFormerHoldsMore(servers, A, {3, 372}) == A);
  CHECK(unlessFormerHoldsMore(servers, A, {3, 400}) == P);
  CHECK(unlessFormerHoldsMore(servers, A, {3, 401}) == A);
  servers[A].Leaving = true;
  CHECK(unlessFormerHoldsMore(servers, A, {3, 372}) == P);
  servers[P].Leaving = true;
  CHECK(unlessFormerHoldsMore(servers, A, {3, 372}) == A);
}
