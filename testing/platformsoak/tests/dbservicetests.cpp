// Tests of the servers that the soak stands in for.

#include "platformsoak/dbservice.h"
#include "platformsoak/sockets.h"

#include <doctest/doctest.h>

#include <filesystem>

using namespace rosemaryhinge::platformsoak;

namespace {

constexpr Millis WaitMs = 5'000;

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

} // namespace

TEST_CASE("a server of a new term has the whole log of the terms before") {
  // Guards against reads that lack a commit though the server's term is above that of the commit.
  const auto folder = std::filesystem::temp_directory_path().string();
  // Their threads run until the program ends.
  auto &store = *new ObjectStore;
  ServiceOptions options{"db", {"a", "b", "c"}};
  options.PromoteMs = 0;
  options.ReplicaLagMs = 10 * WaitMs;
  auto &service = *new DbService(options, store, *new Observations(folder));
  while (store.all("servers").size() < 3)
    sleepMs(1);
  const auto servers = store.all("servers");
  const auto startup = "STARTUP db user";
  CHECK(readyAfter(servers.at(service.serverId(0)), {startup, "QUERY w WRITE k v"}) == "READY I 3.1201");
  CHECK(readyAfter(servers.at(service.serverId(2)), {startup}) == "READY I 3.1200");
  service.promote(service.serverId(1), 1);
  for (const auto until = nowMs() + WaitMs; service.primary() != 1 && nowMs() < until;)
    sleepMs(1);
  CHECK(readyAfter(servers.at(service.serverId(2)), {startup}) == "READY I 4.1201");
}
