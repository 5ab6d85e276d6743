// Guards the check of rule LOST at promotions: it finds each acknowledged commit that is missing, and nothing
// else.

#include "platformsoak/promotionrule.h"

#include <doctest/doctest.h>

using namespace rosemaryhinge::platformsoak;

namespace {

constexpr Millis PromotedAt = 1'000;

Request answered(const std::string &id, Millis at, const std::string &error = {}) {
  Request out;
  out.Id = id;
  out.EndedAt = at;
  out.Error = error;
  return out;
}

std::vector<Violation> found(const Request &request) {
  const std::vector<Promotion> promotions = {
      {"db", "i-2", "edge-1", 7, PromotedAt, "3.1200", {{"w", "3.1201", 900, {"i-1", "i-3"}, {"i-3"}}}}};
  const std::vector<Request> requests = {request};
  return checkPromotions(promotions, requests);
}

} // namespace

TEST_CASE("a commit whose success a caller had is missing at the promoted server") {
  const auto violations = found(answered("w", PromotedAt));
  REQUIRE(violations.size() == 1);
  CHECK(violations.front().Text ==
        "i-2 of db, promoted at 1000 ms with 3.1200 by the order of edge-1, token 7, lacks 1 acknowledged "
        "commits; 3.1201 (w), seen at 1000 ms, held by i-1 i-3");
}

TEST_CASE("a commit that no caller had a success of may be missing") {
  CHECK(found(answered("other", PromotedAt)).empty());
  CHECK(found(answered("w", PromotedAt + 1)).empty());
  CHECK(found(answered("w", PromotedAt, "TIMEOUT")).empty());
  auto cut = answered("w", PromotedAt);
  cut.Ending = Ending::Cut;
  CHECK(found(cut).empty());
}

TEST_CASE(
    "a commit that a server acknowledged is missing at the promoted server while a running one holds it") {
  Promotion promotion{
      "db", "i-2", "edge-1", 7, PromotedAt, "3.1200", {{"w", "3.1201", 900, {"i-1", "i-3"}, {"i-3"}}}};
  const auto check = [&] { return checkServerAcknowledged(std::vector<Promotion>{promotion}); };
  const auto violations = check();
  REQUIRE(violations.size() == 1);
  CHECK(violations.front().Text ==
        "i-2 of db, promoted at 1000 ms with 3.1200 by the order of edge-1, token 7, lacks 1 commits that a "
        "server acknowledged and that a running one holds; 3.1201 (w), acknowledged at 900 ms, held by i-3");
  promotion.Missing.front().RunningHolders.clear();
  CHECK(check().empty());
}
