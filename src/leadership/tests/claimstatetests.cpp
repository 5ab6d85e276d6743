// Tests of the ownership of claims.

#include "leadership/internal/claimstate.h"

#include <doctest/doctest.h>

using namespace rosemaryhinge;
using namespace rosemaryhinge::detail;

namespace {

const TimePoint Start{10s};
const DatabaseId Yard("yard");
const NodeId Self("n1");
const NodeId Other("n2");

Claim claimOf(const NodeId &holder, std::uint64_t revision, bool done = false) {
  Claim out;
  out.Service = Yard;
  out.Holder = holder;
  out.Nonce = "9.1";
  out.Done = done;
  out.Revision = revision;
  return out;
}

} // namespace

TEST_CASE("a claim of another proxy is taken over only after it has not changed for the takeover delay") {
  ClaimState state;
  CHECK(state.claimable(Self, Start));
  state.observe(claimOf(Other, 5), Start);
  CHECK_FALSE(state.claimable(Self, Start + ClaimState::TakeoverDelay - 1ms));
  state.observe(claimOf(Other, 6), Start + 2s);
  CHECK_FALSE(state.claimable(Self, Start + ClaimState::TakeoverDelay));
  CHECK(state.claimable(Self, Start + 2s + ClaimState::TakeoverDelay));
  state.observe(claimOf(Other, 7, true), Start + 3s);
  CHECK(state.claimable(Self, Start + 3s));
}

TEST_CASE("a proxy stops acting on its claim before another may take it over") {
  ClaimState state;
  state.start("1.1");
  auto write = state.next(Yard, Self, TargetId("p"), Start);
  write.Revision = 40;
  // The answer comes late: the period counts from when the write was sent.
  state.onStored(write, Start + 700ms);
  CHECK(state.held(Start + ClaimState::ActPeriod - 1ms));
  CHECK_FALSE(state.held(Start + ClaimState::ActPeriod));
  CHECK_FALSE(state.lapsed(Start + ClaimState::TakeoverDelay - 1ms));
  CHECK(ClaimState::ActPeriod < ClaimState::TakeoverDelay);
}

TEST_CASE("each change has a claim of its own: one that was given up is not found again as the present one") {
  ClaimState state;
  state.start("1.1");
  auto first = state.next(Yard, Self, TargetId("p"), Start);
  CHECK(state.isOwn(first, Self));
  state.reset();
  CHECK_FALSE(state.isOwn(first, Self));
  state.start("1.2");
  CHECK_FALSE(state.isOwn(first, Self));
  CHECK_FALSE(state.held(Start));
}

TEST_CASE("each write of a claim differs from the one before, so that the store gives it a new revision") {
  ClaimState state;
  state.start("1.1");
  const auto first = state.next(Yard, Self, TargetId("p"), Start);
  const auto second = state.next(Yard, Self, TargetId("p"), Start);
  CHECK(first.Renewals != second.Renewals);
}

TEST_CASE("a claim of before a restoration of the store is not acted on") {
  ClaimState state;
  state.start("1.1");
  auto write = state.next(Yard, Self, TargetId("p"), Start);
  write.Revision = 40;
  state.onStored(write, Start);
  CHECK(state.held(Start + 100ms));
  state.forget(Start + 200ms);
  CHECK_FALSE(state.held(Start + 200ms));
  CHECK(state.next(Yard, Self, TargetId("p"), Start + 300ms).Revision == 0);
}
