// Tests of the servers that the soak stands in for.

#include "platformsoak/dbservice.h"
#include "platformsoak/peerprocess.h"
#include "platformsoak/sockets.h"

#include <doctest/doctest.h>

#include <array>
#include <filesystem>
#include <unistd.h>

using namespace rosemaryhinge::platformsoak;

namespace {

constexpr Millis WaitMs = 5'000;
/// Each replica has received a commit by then.
constexpr Millis ReceiptMs = 300;

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
  explicit World(ServiceOptions with = options()) : Service(std::move(with), Store, Seen) {
    while (Store.all("servers").size() < 3)
      sleepMs(1);
  }
  std::string ready(std::size_t server, const std::vector<std::string> &lines) {
    return readyAfter(Store.all("servers").at(Service.serverId(server)), lines);
  }
  int order(std::size_t server, std::uint64_t token) {
    return Service.promote({Service.serverId(server), "proxy", token});
  }
  void promote(std::size_t server) {
    order(server, 1);
    for (const auto until = nowMs() + WaitMs; Service.primary() != server && nowMs() < until;)
      sleepMs(1);
  }
  static ServiceOptions options() {
    ServiceOptions out{"db", {"a", "b", "c"}};
    out.PromoteMs = 0;
    out.ReplicaLagMs = 10 * WaitMs;
    return out;
  }
  static ServiceOptions late() {
    auto out = options();
    out.LateShare = 1;
    out.LeastLateMs = out.MostLateMs = ReceiptMs;
    return out;
  }

  ObjectStore Store;
  Observations Seen{std::filesystem::temp_directory_path().string()};
  DbService Service;
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

TEST_CASE("a primary that crashed comes back as a replica, without what the next primary had not received") {
  // Guards against a return that leads beside the next primary, or keeps a log that differs from its.
  auto &world = *new World;
  world.ready(1, {Startup, "QUERY - PAUSE 4"});
  CHECK(world.ready(0, {Startup, "QUERY w WRITE k v"}) == "READY I 3.1201");
  world.Service.crash(0, ReceiptMs);
  sleepMs(ReceiptMs / 2);
  world.promote(1);
  sleepMs(2 * ReceiptMs);
  CHECK(world.Service.primary() == 1);
  CHECK(world.ready(0, {Startup}) == "READY I 4.1200");
}

TEST_CASE("a replica that is cut off receives nothing until the end of the cut") {
  auto &world = *new World;
  world.Service.cutOffReplicas(true, 2 * ReceiptMs);
  const auto from = nowMs();
  world.ready(0, {Startup, "QUERY w WRITE k v"});
  CHECK(nowMs() >= from + 2 * ReceiptMs);
  CHECK(world.Service.acknowledgedBefore(nowMs() + 1) == orderedPosition(3, 1'201));
}

TEST_CASE("one replica that is cut off keeps no commit from being acknowledged") {
  auto &world = *new World;
  world.Service.cutOffReplicas(false, 60 * WaitMs);
  CHECK(world.ready(0, {Startup, "QUERY w WRITE k v"}) == "READY I 3.1201");
  CHECK(world.Service.acknowledgedBefore(nowMs() + 1) == orderedPosition(3, 1'201));
  sleepMs(ReceiptMs);
  world.promote(1);
  CHECK(world.Seen.promotions().at(0).Missing.size() == 1);
}

TEST_CASE("a promoted server reaches the replicas that were cut from the primary before it") {
  // Guards against a cut that outlives the lead of the server that it is around.
  auto &world = *new World;
  world.Service.cutOffReplicas(true, 60 * WaitMs);
  world.promote(1);
  CHECK(world.ready(1, {Startup, "QUERY w WRITE k v"}) == "READY I 4.1201");
  CHECK(world.Service.acknowledgedBefore(nowMs() + 1) == orderedPosition(4, 1'201));
  CHECK(world.ready(0, {Startup}) == "READY I 3.1200");
}

TEST_CASE("a late order gets no answer, and takes effect seconds later") {
  auto &world = *new World(World::late());
  world.Service.delayOrders(60 * WaitMs);
  CHECK(world.order(1, 5) == 0);
  CHECK(world.Service.primary() == 0);
  sleepMs(3 * ReceiptMs);
  CHECK(world.Service.primary() == 1);
}

TEST_CASE("a late order is refused if a newer token was seen when it is carried out") {
  // Guards against a stand-in that fences an order by the time at which it was sent.
  auto &world = *new World(World::late());
  world.Service.delayOrders(60 * WaitMs);
  CHECK(world.order(1, 5) == 0);
  world.Service.delayOrders(0);
  CHECK(world.order(0, 6) == 200);
  sleepMs(3 * ReceiptMs);
  CHECK(world.Service.primary() == 0);
}

TEST_CASE("connections from a proxy that has lost the server stall, and others do not") {
  auto &world = *new World;
  std::size_t proxy = 0;
  world.Service.setFindProxy([&](int) { return std::optional(proxy); });
  const auto from = nowMs();
  world.Service.lose(0, {0}, 4 * ReceiptMs);
  proxy = 1;
  world.ready(0, {Startup});
  CHECK(nowMs() < from + 4 * ReceiptMs);
  proxy = 0;
  world.ready(0, {Startup});
  CHECK(nowMs() >= from + 4 * ReceiptMs);
}

TEST_CASE("the process at the other end of a connection is found") {
  const int listener = listenOn(0);
  const int here = connectTo(portOf(listener));
  const int there = acceptFrom(listener);
  const std::array processes = {1, static_cast<int>(::getpid())};
  CHECK(findPeer(there, processes) == 1);
  CHECK_FALSE(findPeer(there, std::span(processes).first(1)));
  ::close(here);
  ::close(there);
  ::close(listener);
}
