// Tests of the lease of a primary.

#include "freshness/primarylease.h"

#include <doctest/doctest.h>

using namespace rosemaryhinge;

namespace {

const TimePoint Start{10s};

} // namespace

TEST_CASE("a primary is trusted for the length of a lease after the newest confirmation") {
  PrimaryLease lease;
  CHECK_FALSE(lease.covers(3, Start));
  lease.confirm(3, Start);
  lease.confirm(3, Start - 1s);
  CHECK(lease.covers(3, Start + PrimaryLease::Length));
  CHECK_FALSE(lease.covers(3, Start + PrimaryLease::Length + 1ms));
}

TEST_CASE("a confirmation of a later term ends the lease of the former primary") {
  PrimaryLease lease;
  lease.confirm(3, Start);
  lease.confirm(4, Start - 5s);
  CHECK(lease.superseded(3));
  CHECK_FALSE(lease.covers(3, Start));
  CHECK_FALSE(lease.covers(4, Start));
  lease.confirm(3, Start + 1s);
  CHECK_FALSE(lease.provenUntil(3));
}
