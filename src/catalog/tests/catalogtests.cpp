// Unit tests of Catalog.

#include "catalog/catalog.h"
#include "protocol/storerevision.h"

#include <doctest/doctest.h>

using namespace rosemaryhinge;

namespace {

const DatabaseId Yard("yard");
const TargetId A("a");
const TargetId B("b");
const TimePoint Start{10s};

ServerEntry entry(const TargetId &target, TargetRole role, std::uint64_t revision, bool leaving = false) {
  return {target, Yard, target.str() + ":1", AvailabilityZone("z"), role, leaving, revision};
}

Configuration configuration(std::uint64_t version, std::vector<std::string> databases) {
  Configuration out;
  out.Version = version;
  for (auto &it : databases) {
    DatabaseRoute route;
    route.Database = std::move(it);
    route.Service = Yard;
    out.Routes.push_back(std::move(route));
  }
  return out;
}

} // namespace

TEST_CASE("a configuration never reverts to an older version") {
  Catalog catalog;
  CHECK(catalog.accept(configuration(7, {"one"})));
  CHECK_FALSE(catalog.accept(configuration(5, {"two"})));
  CHECK(catalog.route("one"));
  CHECK_FALSE(catalog.route("two"));
  CHECK(catalog.accept(configuration(9, {"two"})));
  CHECK_FALSE(catalog.route("one"));
}

TEST_CASE("an older entry that arrives late does not replace a newer one") {
  Catalog catalog;
  catalog.updateServer(entry(A, TargetRole::Replica, 8), Start);
  catalog.updateServer(entry(A, TargetRole::Primary, 5), Start);
  CHECK_FALSE(catalog.primary(Yard));
}

TEST_CASE("of two servers listed as primary, the one with the newer entry is chosen") {
  Catalog catalog;
  catalog.updateServer(entry(A, TargetRole::Primary, 3), Start);
  catalog.updateServer(entry(B, TargetRole::Primary, 9), Start);
  CHECK(catalog.primary(Yard) == B);
}

TEST_CASE("a server denied as primary is not chosen again until its entry changes") {
  Catalog catalog;
  catalog.updateServer(entry(A, TargetRole::Primary, 3), Start);
  catalog.denyPrimary(A);
  CHECK_FALSE(catalog.primary(Yard));
  catalog.updateServer(entry(A, TargetRole::Primary, 3), Start);
  CHECK_FALSE(catalog.primary(Yard));
  catalog.updateServer(entry(A, TargetRole::Primary, 4), Start);
  CHECK(catalog.primary(Yard) == A);
}

TEST_CASE("a confirmed primary is chosen before the store lists it as primary") {
  Catalog catalog;
  catalog.updateServer(entry(A, TargetRole::Primary, 3), Start);
  catalog.updateServer(entry(B, TargetRole::Replica, 4), Start);
  catalog.confirmPrimary(B, 2);
  CHECK(catalog.primary(Yard) == B);
}

TEST_CASE(
    "each server that was removed is recorded as missing until it is back, and whether it was announced") {
  // Guards against the loss of acknowledged commits: a leaving replica may hold the only copy of one, too.
  Catalog catalog;
  catalog.updateServer(entry(A, TargetRole::Replica, 1), Start);
  catalog.updateServer(entry(B, TargetRole::Replica, 2, true), Start);
  catalog.removeServer(A, Start + 1s);
  catalog.removeServer(B, Start + 1s);
  const auto missing = catalog.missingServers(Yard);
  REQUIRE(missing.size() == 2);
  CHECK(missing.front().Target == A);
  CHECK_FALSE(missing.front().Announced);
  CHECK(missing.back().Target == B);
  CHECK(missing.back().Announced);
  catalog.updateServer(entry(A, TargetRole::Replica, 5), Start + 2s);
  REQUIRE(catalog.missingServers(Yard).size() == 1);
  CHECK(catalog.missingServers(Yard).front().Target == B);
}

TEST_CASE("the leaving time is when the entry was first seen as leaving") {
  Catalog catalog;
  catalog.updateServer(entry(A, TargetRole::Replica, 1), Start);
  CHECK_FALSE(catalog.server(A)->LeavingSince);
  catalog.updateServer(entry(A, TargetRole::Replica, 2, true), Start + 1s);
  catalog.updateServer(entry(A, TargetRole::Replica, 3, true), Start + 2s);
  CHECK(catalog.server(A)->LeavingSince == Start + 1s);
}

TEST_CASE("a former primary that still answers as one does not displace the primary of a later term") {
  Catalog catalog;
  catalog.updateServer(entry(A, TargetRole::Primary, 3), Start);
  catalog.updateServer(entry(B, TargetRole::Replica, 4), Start);
  catalog.confirmPrimary(A, 1);
  catalog.confirmPrimary(B, 2);
  catalog.confirmPrimary(A, 1);
  CHECK(catalog.primary(Yard) == B);
}

TEST_CASE(
    "a former primary that comes back is not believed while the confirmation of the present one holds") {
  Catalog catalog;
  catalog.updateServer(entry(A, TargetRole::Primary, 3), Start);
  catalog.updateServer(entry(B, TargetRole::Primary, 4), Start);
  catalog.confirmPrimary(B, 2, Start + 1s);
  catalog.updateServer(entry(A, TargetRole::Primary, 7), Start + 500ms);
  CHECK(catalog.primary(Yard) == B);
  // Without a later confirmation, the newer entry tells of a later change.
  catalog.updateServer(entry(A, TargetRole::Primary, 8), Start + 1s);
  CHECK(catalog.primary(Yard) == A);
}

TEST_CASE("an entry whose address answers as another server is ignored until it changes") {
  // Guards against a service without a primary: the entry of a server that had started again under another id
  // came back with a newer revision, and named a primary that nobody could reach any more.
  Catalog catalog;
  auto dead = entry(A, TargetRole::Primary, 36);
  auto reborn = entry(B, TargetRole::Primary, 32);
  dead.Address = reborn.Address = "10.0.0.1:5000";
  catalog.updateServer(reborn, Start);
  catalog.updateServer(dead, Start);
  REQUIRE(catalog.primary(Yard) == A);
  catalog.onMisrouted(A, Start);
  CHECK(catalog.primary(Yard) == B);
  CHECK(catalog.missingServers(Yard).empty());
  catalog.updateServer(dead, Start);
  CHECK_FALSE(catalog.server(A));
  dead.Revision = 40;
  catalog.updateServer(dead, Start);
  CHECK(catalog.server(A));
}

TEST_CASE("a server whose address another service has taken may have held commits") {
  Catalog catalog;
  catalog.updateServer(entry(A, TargetRole::Replica, 3), Start);
  catalog.onMisrouted(A, Start);
  CHECK(catalog.missingServers(Yard).size() == 1);
}

TEST_CASE("an entry from an older copy of the store undoes nothing that its server has reported since") {
  // Guards against a leaving server that is used again after a restoration of the store.
  Catalog catalog;
  const auto reported = [](std::uint64_t revision, std::uint64_t sequence, bool leaving) {
    auto out = entry(A, TargetRole::Replica, revision, leaving);
    out.StartedAt = 5'000;
    out.Sequence = sequence;
    return out;
  };
  catalog.updateServer(reported(storeRevision(1, 90), 12, true), Start);
  catalog.updateServer(reported(storeRevision(2, 40), 9, false), Start + 1s);
  CHECK(catalog.server(A)->Entry.Leaving);
  catalog.updateServer(reported(storeRevision(2, 44), 13, false), Start + 2s);
  CHECK_FALSE(catalog.server(A)->Entry.Leaving);
  // A server that has started again counts its reports anew.
  auto restarted = reported(storeRevision(3, 20), 1, true);
  restarted.StartedAt = 9'000;
  catalog.updateServer(restarted, Start + 3s);
  CHECK(catalog.server(A)->Entry.Leaving);
}

namespace {

/// An entry as the server itself has numbered it.
ServerEntry numbered(ServerEntry it, std::uint64_t startedAt, std::uint64_t sequence) {
  it.StartedAt = startedAt;
  it.Sequence = sequence;
  return it;
}

} // namespace

TEST_CASE("a server that has left is not listed again by an older copy of the store") {
  // Guards against statements for a former primary that is gone, until the present one has written its entry.
  Catalog catalog;
  catalog.updateServer(numbered(entry(A, TargetRole::Primary, storeRevision(1, 80), true), 5'000, 12), Start);
  catalog.updateServer(numbered(entry(B, TargetRole::Primary, storeRevision(1, 85)), 5'000, 20), Start);
  catalog.confirmPrimary(B, 2);
  catalog.removeServer(A, Start);
  const auto copied = entry(A, TargetRole::Primary, storeRevision(2, 40));
  catalog.updateServer(numbered(copied, 5'000, 9), Start + 1s);
  CHECK_FALSE(catalog.server(A));
  CHECK(catalog.primary(Yard) == B);
  catalog.updateServer(numbered(copied, 5'000, 13), Start + 2s);
  CHECK(catalog.server(A));
}

TEST_CASE("a repeated entry of a former primary does not displace the confirmed one") {
  // Guards against statements for a crashed server, whose last entry came back with a newer revision.
  Catalog catalog;
  catalog.updateServer(numbered(entry(A, TargetRole::Primary, storeRevision(1, 50)), 5'000, 7), Start);
  catalog.updateServer(numbered(entry(B, TargetRole::Primary, storeRevision(1, 80)), 5'000, 20), Start);
  catalog.denyPrimary(A);
  catalog.confirmPrimary(B, 2);
  SUBCASE("that is listed") {}
  SUBCASE("that was removed") { catalog.removeServer(A, Start); }
  catalog.updateServer(numbered(entry(A, TargetRole::Primary, storeRevision(2, 50)), 5'000, 7), Start + 1s);
  CHECK(catalog.server(A));
  CHECK(catalog.primary(Yard) == B);
  catalog.updateServer(numbered(entry(A, TargetRole::Primary, storeRevision(2, 70)), 5'000, 8), Start + 2s);
  CHECK(catalog.primary(Yard) == A);
}

TEST_CASE("an entry that a server wrote before it started again is not believed after a restoration") {
  // Guards against a replica that is taken for the primary that it was before.
  Catalog catalog;
  catalog.updateServer(numbered(entry(A, TargetRole::Replica, storeRevision(1, 80)), 9'000, 2), Start);
  catalog.updateServer(numbered(entry(A, TargetRole::Primary, storeRevision(2, 40)), 5'000, 50), Start + 1s);
  CHECK_FALSE(catalog.primary(Yard));
}

TEST_CASE("a key belongs to its workspace until a configuration without it is in force") {
  Catalog catalog;
  DatabaseRoute keyed;
  DatabaseRoute open;
  open.Anonymous = true;
  CHECK_FALSE(catalog.needsKey(keyed));
  const KeyDigest first{{1}};
  const KeyDigest second{{2}};
  Configuration next;
  next.Version = 1;
  next.Workspaces = {{WorkspaceId("a"), {first, second}}, {WorkspaceId("b"), {KeyDigest{{3}}}}};
  REQUIRE(catalog.accept(next));
  CHECK(catalog.needsKey(keyed));
  CHECK_FALSE(catalog.needsKey(open));
  REQUIRE(catalog.workspaceOf(second));
  CHECK(catalog.workspaceOf(second)->Name == WorkspaceId("a"));
  CHECK_FALSE(catalog.workspaceOf(KeyDigest{{4}}));
  next.Version = 2;
  (*next.Workspaces)[0].Keys = {first};
  REQUIRE(catalog.accept(next));
  CHECK_FALSE(catalog.workspaceOf(second));
  CHECK(catalog.workspaceOf(first));
}
