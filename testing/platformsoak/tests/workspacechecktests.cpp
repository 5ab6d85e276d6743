// Guards the checks of keys and quotas: each finds the fault that it is for, and nothing without it.

#include "platformsoak/workspacechecks.h"

#include <doctest/doctest.h>

using namespace rosemaryhinge::platformsoak;

namespace {

Request sent(const std::string &key, Millis at = 0) {
  Request out;
  out.Id = "a";
  out.Key = key;
  out.FirstByteAt = at;
  return out;
}

std::vector<Arrival> arrival(const std::string &user) { return {{"a", user, "i-1", 100, true}}; }

Keys keys() { return {{"k1", {"kauppa"}}, {"k2", {"pankki", 10'000}}}; }

constexpr std::array<Tenant, 1> Small = {Tenant{"kauppa", 0, 10, 10, 1}};
/// (10 x 5 + 10) x 1.1 + 20.
constexpr int SmallAllowed = 86;

std::vector<Arrival> operations(int count, Millis from, Millis everyMs) {
  std::vector<Arrival> out;
  out.reserve(static_cast<std::size_t>(count));
  for (int n = 0; n < count; ++n)
    out.push_back(
        {std::to_string(from) + "." + std::to_string(n), "kauppa", "i-1", from + n * everyMs, true});
  return out;
}

} // namespace

TEST_CASE("a statement on a connection of another workspace is found") {
  const auto found = [](const std::string &key, const std::string &user) {
    const std::vector<Request> requests = {sent(key)};
    return checkUsers(requests, arrival(user), keys()).size();
  };
  CHECK(found("k1", "kauppa") == 0);
  CHECK(found("k1", "pankki") == 1);
  CHECK(found("k1", "rosemaryhinge") == 1);
  CHECK(found("", "rosemaryhinge") == 0);
  CHECK(found("", "kauppa") == 1);
}

TEST_CASE("a statement of a key that no configuration has held is found") {
  const auto found = [](const std::string &key) {
    const std::vector<Request> requests = {sent(key)};
    return checkUnknownKeys(requests, arrival("kauppa"), keys());
  };
  CHECK(found("k1").empty());
  CHECK(found("k2").empty());
  CHECK(found("").empty());
  REQUIRE(found("k3").size() == 1);
  CHECK(found("k3").front().Rule == "ROUTE");
}

TEST_CASE("a statement that was sent too late for its key is found, only if it reaches a server") {
  const auto found = [](const std::string &key, Millis at, const std::vector<Arrival> &arrivals) {
    const std::vector<Request> requests = {sent(key, at)};
    return checkWithdrawnKeys(requests, arrivals, keys()).size();
  };
  CHECK(found("k2", 15'000, arrival("pankki")) == 0);
  CHECK(found("k2", 15'001, arrival("pankki")) == 1);
  CHECK(found("k2", 15'001, {}) == 0);
  CHECK(found("k1", 90'000, arrival("kauppa")) == 0);
}

TEST_CASE("more operations in a window than the quota allows are found, wherever the window begins") {
  CHECK(checkQuotas(Small, operations(SmallAllowed, 2'000, 1)).empty());
  CHECK(checkQuotas(Small, operations(SmallAllowed + 1, 2'000, 1)).size() == 1);
  // As many, but the first has left the window when the last one comes.
  CHECK(checkQuotas(Small, operations(SmallAllowed + 1, 0, 59)).empty());
  auto twice = operations(SmallAllowed + 1, 0, 1);
  const auto later = operations(SmallAllowed + 1, 20'000, 1);
  twice.insert(twice.end(), later.begin(), later.end());
  CHECK(checkQuotas(Small, twice).size() == 2);
}

TEST_CASE("retries, later statements of a transaction and other workspaces use no quota") {
  auto all = operations(SmallAllowed, 0, 1);
  all.push_back({"0.0", "kauppa", "i-2", 90, true});
  all.push_back({"t", "kauppa", "i-1", 90, false});
  all.push_back({"o", "pankki", "i-1", 90, true});
  CHECK(checkQuotas(Small, all).empty());
}
