// Tests of session tokens and their keys.

#include "callers/sessiontoken.h"

#include "net/tests/corrupt.h"

#include <doctest/doctest.h>

using namespace rosemaryhinge;

namespace {

SessionKeys keysOf(std::string current) {
  return {std::move(current), {{"k1", std::string(32, 'a')}, {"k2", std::string(32, 'b')}}};
}

} // namespace

TEST_CASE("a token round trips, also after the current key was rotated") {
  const SessionToken token{DatabaseId("merchant-db-1"), {7, 1'000'000'000'000}, 0xfedcba9876543210};
  const auto text = encodeToken(token, keysOf("k1"));
  CHECK(std::get<SessionToken>(decodeToken(text, keysOf("k2"))) == token);
  auto without = keysOf("k2");
  without.Keys.erase("k1");
  CHECK((std::get<TokenError>(decodeToken(text, without)) == TokenError::UnknownKey));
}

// Guards against a forged position: a lower one loses a session's writes, a higher one blocks its reads.
TEST_CASE("a damaged token is never accepted") {
  std::mt19937_64 random(11);
  const auto keys = keysOf("k1");
  const auto text = encodeToken({DatabaseId("db"), {3, 99}, 5}, keys);
  for (int n = 0; n < 20'000; ++n) {
    const auto damaged = testing::corrupt(text, random);
    if (damaged != text)
      CHECK_MESSAGE(std::holds_alternative<TokenError>(decodeToken(damaged, keys)), damaged);
  }
}

// Guards against a signature that is checked with another key than the one the token names.
TEST_CASE("a token signed with another key under the same id is refused") {
  const auto keys = keysOf("k1");
  auto forged = keys;
  forged.Keys["k1"] = std::string(32, 'x');
  const auto text = encodeToken({DatabaseId("db"), {3, 99}, 5}, forged);
  CHECK((std::get<TokenError>(decodeToken(text, keys)) == TokenError::BadSignature));
}

TEST_CASE("the keys object is checked with the place of the fault") {
  const auto problem = [](std::string_view json) {
    const auto out = parseSessionKeys(json);
    const auto *it = std::get_if<std::string>(&out);
    return it ? *it : std::string();
  };
  const std::string good = R"({"current":"a","keys":{"a":"MDEyMzQ1Njc4OWFiY2RlZg=="}})";
  CHECK(std::get<SessionKeys>(parseSessionKeys(good)).Keys.at("a") == "0123456789abcdef");
  CHECK(problem("[]").find("not a JSON object") != std::string::npos);
  CHECK(problem(R"({"current":1,"keys":{}})").find("current") != std::string::npos);
  CHECK(problem(R"({"current":"b","keys":{"a":"MDEyMzQ1Njc4OWFiY2RlZg=="}})").find("names no key") !=
        std::string::npos);
  CHECK(problem(R"({"current":"a","keys":{"a":"c2hvcnQ="}})").find("keys.a") != std::string::npos);
  std::mt19937_64 random(12);
  for (int n = 0; n < 5'000; ++n) {
    const auto out = parseSessionKeys(testing::corrupt(good, random));
    if (const auto *keys = std::get_if<SessionKeys>(&out))
      CHECK(keys->Keys.contains(keys->Current));
  }
}
