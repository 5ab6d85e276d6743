// Checks that acknowledged writes cannot be lost in a change of primary.

#include "acknowledge/acknowledgement.h"

#include <doctest/doctest.h>

using namespace rosemaryhinge;

namespace {

constexpr Duration Window = 500ms;
const TimePoint Start{10s};

Group groupOf(int servers) {
  Group out;
  out.Database = DatabaseId("d");
  out.Term = 3;
  out.Primary = TargetId("s0");
  for (int it = 0; it < servers; ++it)
    out.Servers.push_back({TargetId("s" + std::to_string(it)), "", {}, {}, 3});
  return out;
}

TargetStatus statusAt(Term raised, Position log) {
  TargetStatus out;
  out.RaisedTerm = raised;
  out.Log = log;
  return out;
}

UnconfirmedWrite writeAt(Position at) { return {at, TargetId("s0"), AckStrength::Replica, {}}; }

TermConfirmations confirmedAt(TimePoint first, TimePoint second) {
  TermConfirmations out;
  out.record(TargetId("s0"), 3, first);
  out.record(TargetId("s1"), 3, second);
  return out;
}

} // namespace

TEST_CASE("a write is acknowledged only once a replica of its term holds it") {
  auto group = groupOf(3);
  auto write = writeAt({3, 100});
  auto confirmed = confirmedAt(Start, Start);
  auto verdict = [&] { return mayAcknowledge(write, group, confirmed, Window, Start, Rules{}); };
  recordStatus(write, TargetId("s0"), statusAt(3, {3, 100})); // The primary does not cover itself.
  recordStatus(write, TargetId("s1"), statusAt(3, {3, 99}));
  recordStatus(write, TargetId("s1"), statusAt(4, {3, 100})); // Raised to term 4: accepts no more log of 3.
  recordStatus(write, TargetId("s2"), statusAt(3, {2, 500})); // Log of another term.
  CHECK(verdict() == AckVerdict::AwaitCoverage);
  recordStatus(write, TargetId("s2"), statusAt(3, {3, 100}));
  CHECK(verdict() == AckVerdict::Acknowledge);
}

TEST_CASE("with five servers a write needs two replicas, or a majority could miss it") {
  auto group = groupOf(5);
  auto write = writeAt({3, 100});
  TermConfirmations confirmed;
  for (const auto &it : group.Servers)
    confirmed.record(it.Target, 3, Start);
  recordStatus(write, TargetId("s1"), statusAt(3, {3, 100}));
  CHECK(mayAcknowledge(write, group, confirmed, Window, Start, Rules{}) == AckVerdict::AwaitCoverage);
  recordStatus(write, TargetId("s2"), statusAt(3, {3, 100}));
  CHECK(mayAcknowledge(write, group, confirmed, Window, Start, Rules{}) == AckVerdict::Acknowledge);
}

TEST_CASE("the window counts from the older of the majority's requests and expires after a pause") {
  auto group = groupOf(3);
  auto write = writeAt({3, 100});
  recordStatus(write, TargetId("s1"), statusAt(3, {3, 100}));
  auto confirmed = confirmedAt(Start, Start + 400ms);
  auto at = [&](Duration after) {
    return mayAcknowledge(write, group, confirmed, Window, Start + after, Rules{});
  };
  CHECK(at(499ms) == AckVerdict::Acknowledge);
  CHECK(at(500ms) == AckVerdict::AwaitWindow);
  confirmed.record(TargetId("s0"), 3, Start + 450ms);
  CHECK(at(600ms) == AckVerdict::Acknowledge);
}

TEST_CASE("strength primary needs the window all the same") {
  auto group = groupOf(3);
  auto write = writeAt({3, 100});
  write.Strength = AckStrength::Primary;
  TermConfirmations confirmed;
  confirmed.record(TargetId("s0"), 3, Start);
  CHECK(mayAcknowledge(write, group, confirmed, Window, Start, Rules{}) == AckVerdict::AwaitWindow);
}

TEST_CASE("one server at a later term stops the acknowledgement of a covered write") {
  auto group = groupOf(3);
  auto write = writeAt({3, 100});
  recordStatus(write, TargetId("s1"), statusAt(3, {3, 100}));
  auto confirmed = confirmedAt(Start, Start);
  confirmed.record(TargetId("s2"), 4, Start);
  CHECK(mayAcknowledge(write, group, confirmed, Window, Start, Rules{}) == AckVerdict::Superseded);
}

TEST_CASE("a late answer does not bring an older term back") {
  TermConfirmations confirmed = confirmedAt(Start, Start);
  confirmed.record(TargetId("s1"), 4, Start);
  confirmed.record(TargetId("s1"), 3, Start + 1ms);
  CHECK_FALSE(confirmed.majorityConfirmedAt(groupOf(3), 3).has_value());
}
