// Guards the store that the soak stands in for: writes hold to their condition, at once and late.

#include "platformsoak/objectstore.h"
#include "platformsoak/sockets.h"

#include <doctest/doctest.h>

#include <array>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

using namespace rosemaryhinge::platformsoak;

namespace {

constexpr Millis LateMs = 1'000;
/// Late writes have been carried out by then.
constexpr Millis CarriedOutMs = 2 * LateMs;
constexpr Millis ForMs = 60'000;
constexpr int MostCalls = 200;
constexpr auto Kind = "rosemaryhinge-proxies";

struct Answer {
  int Status = 0; ///< 0: none.
  Json Body;
};

/// Its threads run until the program ends: it is never destroyed.
struct Client {
  ObjectStore &Store = *new ObjectStore(LateMs);

  Answer call(const std::string &method, const std::string &target, const Json &body = nullptr) {
    const int fd = connectTo(Store.port());
    const auto text = body.is_null() ? std::string() : body.dump();
    sendAll(fd, method + " /-/objects/" + Kind + target +
                    " HTTP/1.1\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text);
    // The store ends the connection after its answer.
    ::shutdown(fd, SHUT_WR);
    std::string read;
    std::array<char, 4'096> chunk{};
    for (auto n = ::recv(fd, chunk.data(), chunk.size(), 0); n > 0;
         n = ::recv(fd, chunk.data(), chunk.size(), 0))
      read.append(chunk.data(), static_cast<std::size_t>(n));
    ::close(fd);
    if (read.empty())
      return {};
    return {std::stoi(read.substr(read.find(' '))), Json::parse(read.substr(read.find("\r\n\r\n")))};
  }
  Answer post(const std::string &name, const Json &spec) {
    return call("POST", "", {{"meta", {{"name", name}}}, {"spec", spec}});
  }
  Answer put(const std::string &name, const Json &revision, const Json &spec) {
    return call("PUT", "/" + name, {{"meta", {{"name", name}, {"revision", revision}}}, {"spec", spec}});
  }
  /// Writes until a write is not answered, and returns its value.
  int writeUnanswered(const std::string &name) {
    auto last = post(name, 0);
    for (int value = 1; value < MostCalls; ++value) {
      if (last.Status == 0)
        return value - 1;
      last = put(name, last.Body["meta"]["revision"], value);
    }
    return -1;
  }
  [[nodiscard]] Json value(const std::string &name) {
    const auto all = Store.all(Kind);
    return all.contains(name) ? all.at(name)["spec"] : Json();
  }
  Answer remove(const std::string &name, const Json &revision) {
    return call("DELETE", "/" + name + "?revision=" + revision.dump());
  }
};

} // namespace

TEST_CASE("a write with another revision changes nothing and is answered with the present object") {
  Client it;
  const auto first = it.post("n1", 1);
  CHECK(first.Status == 200);
  CHECK(it.post("n1", 2).Status == 409);
  const auto revision = first.Body["meta"]["revision"];
  const auto second = it.put("n1", revision, 2);
  CHECK(second.Status == 200);
  CHECK(second.Body["meta"]["revision"] > revision);
  const auto refused = it.put("n1", revision, 3);
  CHECK(refused.Status == 409);
  CHECK(refused.Body == second.Body);
  CHECK(it.remove("n1", revision).Status == 409);
  CHECK(it.Store.all(Kind).at("n1") == second.Body);
  CHECK(it.remove("n1", second.Body["meta"]["revision"]).Status == 200);
  CHECK(it.Store.all(Kind).empty());
}

TEST_CASE("a late write is carried out if its condition still holds") {
  Client it;
  it.Store.delayWrites(ForMs, 1);
  const auto first = it.writeUnanswered("n1"), second = it.writeUnanswered("n2");
  REQUIRE(first >= 0);
  REQUIRE(second >= 0);
  CHECK(it.value("n1") != first);
  it.Store.write(Kind, "n2", "other");
  sleepMs(CarriedOutMs);
  CHECK(it.value("n1") == first);
  CHECK(it.value("n2") == "other");
}

TEST_CASE(
    "a late deletion is carried out if its condition still holds, and none after the store is restored") {
  Client it;
  const std::vector<std::string> names = {"n1", "n2", "n3"};
  for (const auto &name : names)
    it.Store.write(Kind, name, 1);
  it.Store.delayWrites(ForMs, 1);
  const auto removeUnanswered = [&](const std::string &name) {
    for (int n = 0; n < MostCalls; ++n) {
      if (it.remove(name, it.Store.all(Kind).at(name)["meta"]["revision"]).Status == 0)
        return true;
      it.Store.write(Kind, name, n);
    }
    return false;
  };
  REQUIRE(removeUnanswered("n1"));
  REQUIRE(removeUnanswered("n2"));
  CHECK(it.value("n1") != Json());
  it.Store.write(Kind, "n2", "other");
  sleepMs(CarriedOutMs);
  CHECK(it.value("n1") == Json());
  CHECK(it.value("n2") == "other");
  REQUIRE(removeUnanswered("n3"));
  it.Store.restore(0);
  const auto restored = it.value("n3");
  sleepMs(CarriedOutMs);
  CHECK(it.value("n3") == restored);
}

TEST_CASE("only lists that may be stale are, while writes are late") {
  Client it;
  sleepMs(LateMs);
  it.Store.write(Kind, "n1", 1);
  const auto oldLists = [&](const std::string &query) {
    int out = 0;
    for (int n = 0; n < MostCalls / 10; ++n)
      out += it.call("GET", query).Body["items"].empty() ? 1 : 0;
    return out;
  };
  CHECK(oldLists("?staleRead=1") == 0);
  it.Store.delayWrites(ForMs, 1);
  CHECK(oldLists("?staleRead=1") > 0);
  CHECK(oldLists("") == 0);
}
