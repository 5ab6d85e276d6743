// Tests of the servers that the soak stands in for.

#include "platformsoak/dbservice.h"
#include "platformsoak/sockets.h"

#include <doctest/doctest.h>

#include <filesystem>

using namespace rosemaryhinge::platformsoak;

namespace {

constexpr Millis WaitMs = 5'000;
/// Each replica has received a commit by then.
constexpr Millis ReceiptMs = 100;

/// Sends lines, and returns the READY that answers the last one.
std::string readyAfter(const Json &server, const std::vector<std::string> &lines) {
  const auto address = server["spec"]["address"].get<std::string>();
  LineSocket socket(connectTo(std::stoi(address.substr(address.find(':') + 1))));
  std::string line;
  for (const auto &it : lines) {
    sendAll(socket.fd(), it + "\r\n");
    while (socket.read(line, WaitMs) == ReadResult::Line && !line.starts_with("READY")) {
    }
  }
  return line;
}

constexpr auto Startup = "STARTUP db user";

/// A service of three servers. Its threads run until the program ends.
struct World {
  World() {
    while (Store.all("servers").size() < 3)
      sleepMs(1);
  }
  std::string ready(std::size_t server, const std::vector<std::string> &lines) {
    return readyAfter(Store.all("servers").at(Service.serverId(server)), lines);
  }
  void promote(std::size_t server) {
    Service.promote({Service.serverId(server), "proxy", 1});
    for (const auto until = nowMs() + WaitMs; Service.primary() != server && nowMs() < until;)
      sleepMs(1);
  }
  static ServiceOptions options() {
    ServiceOptions out{"db", {"a", "b", "c"}};
    out.PromoteMs = 0;
    out.ReplicaLagMs = 10 * WaitMs;
    return out;
  }

  ObjectStore Store;
  Observations Seen{std::filesystem::temp_directory_path().string()};
  DbService Service{options(), Store, Seen};
};

} // namespace

TEST_CASE("a server of a new term has the whole log of the terms before") {
  // Guards against reads that lack a commit though the server's term is above that of the commit.
  auto &world = *new World;
  CHECK(world.ready(0, {Startup, "QUERY w WRITE k v"}) == "READY I 3.1201");
  CHECK(world.ready(2, {Startup}) == "READY I 3.1200");
  sleepMs(ReceiptMs);
  world.promote(1);
  CHECK(world.ready(2, {Startup}) == "READY I 4.1201");
  CHECK(world.Seen.promotions().at(0).Missing.empty());
}

TEST_CASE("a promoted server leads with what it has received, and other logs are rolled back to it") {
  // Guards against a stand-in that hides a loss: it gave each promoted server all commits.
  auto &world = *new World;
  world.ready(1, {Startup, "QUERY - PAUSE 4"});
  CHECK(world.ready(0, {Startup, "QUERY w WRITE k v"}) == "READY I 3.1201");
  world.promote(1);
  CHECK(world.ready(1, {Startup}) == "READY I 4.1200");
  CHECK(world.ready(0, {Startup}) == "READY I 4.1200");
  const auto promotion = world.Seen.promotions().at(0);
  REQUIRE(promotion.Missing.size() == 1);
  CHECK(promotion.Missing[0].Statement == "w");
  CHECK(promotion.Missing[0].Position == "3.1201");
  CHECK(promotion.Missing[0].Holders ==
        std::vector<std::string>{world.Service.serverId(0), world.Service.serverId(2)});
}

TEST_CASE("a commit that no replica receives is not acknowledged") {
  auto &world = *new World;
  world.ready(1, {Startup, "QUERY - PAUSE 4"});
  world.ready(2, {Startup, "QUERY - PAUSE 4"});
  world.ready(0, {Startup, "QUERY w WRITE k v"});
  CHECK(world.Service.acknowledgedBefore(nowMs() + 1) == 0);
  world.ready(2, {Startup, "QUERY - RESUME"});
  CHECK(world.ready(0, {Startup, "QUERY x WRITE k v"}) == "READY I 3.1202");
  CHECK(world.Service.acknowledgedBefore(nowMs() + 1) == orderedPosition(3, 1'202));
}

TEST_CASE("a replica that joins receives the log before it is listed") {
  // Guards against a replacement that no commit can depend on.
  auto &world = *new World;
  world.ready(1, {Startup, "QUERY - PAUSE 4"});
  world.ready(2, {Startup, "QUERY - PAUSE 4"});
  world.Service.replace(1, WaitMs);
  CHECK(world.ready(0, {Startup, "QUERY w WRITE k v"}) == "READY I 3.1201");
  CHECK(world.Service.acknowledgedBefore(nowMs() + 1) == orderedPosition(3, 1'201));
  CHECK(world.Store.all("servers").size() == 3);
}
