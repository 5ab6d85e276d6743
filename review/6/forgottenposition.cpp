// One replica receives nothing for a while. The primary and the other replica crash, and the proxy that has
// told clients of the last commits is killed. It starts again at once and remembers nothing.

#include "cases.h"

namespace review2 {

namespace {

constexpr Ms PromoteMs = 600;
/// From the crash of the first replica to that of the two others.
constexpr Ms BetweenCrashesMs = 6'000;
constexpr Ms DownMs = 7'000;
constexpr Ms RestartMs = 500;
constexpr Ms LateMs = 4'000;
constexpr int Writers = 4;

} // namespace

namespace {

/// What happens beside the crashes of the servers.
enum class Beside { Kill, LateDeletion };

/// The name of the database's service decides in which order the proxies claim a change of primary.
int crashBeside(const Setup &setup, Beside beside, const char *name, int perZone) {
  auto &record = *new Record(setup.Record);
  TemporaryFolder folder;
  // For a comparison: the crashes of the servers alone.
  const char *only = std::getenv("CRASHES_ONLY");
  const bool all = !(only && *only);
  const std::vector<std::string> zones = {"noord-gron", "noord-leeu", "randstad-utr"};
  auto &store = *new Store;
  auto &expected = *new Expectations;
  auto &service = *new Service(name, {{zones[0], 0.9}, {zones[1], 0.9}, {zones[2], 12}}, store, record,
                               expected, 0.2, PromoteMs);
  auto &duty = *new HttpServer([&](const HttpRequest &request) {
    const auto body = Json::parse(request.Body);
    const auto token = std::stoull(request.Headers.at("rosemaryhinge-fencing-token"));
    const auto id = body.at("id").get<std::string>();
    const int status = service.promote(id, token);
    record.line("promote " + id + " by " + request.Headers.at("rosemaryhinge-lease-holder") + ", token " +
                std::to_string(token) + ": " + std::to_string(status));
    return HttpReply{status, "{}"};
  });
  store.write("config", "main",
              {{"version", 7},
               {"routes", Json::array({route("r1", "db-primary", name, "primary", 800, 0)})},
               {"services", Json::array({{{"name", name}, {"maxConns", 38}, {"syncReplicas", 1}}})},
               {"limits", {{"txIdleMs", 3'000}}}});
  Fleet fleet(setup.Program, folder.Name);
  for (int n = 1; n <= perZone; ++n)
    for (const auto &zone : zones) {
      const auto node = "edge-" + zone + "-" + std::to_string(n);
      fleet.start(fleet.add(node, zone), store.port(), duty.port(), zones, true);
      folder.Files.push_back(node + ".yaml");
      folder.Files.push_back(node + ".log");
    }
  if (!fleet.awaitReady(15'000)) {
    record.line("the proxies did not become ready");
    return 2;
  }
  record.line("ready");
  // The writers of this database are in the primary's zone; the others read.
  std::atomic<bool> over{false};
  std::atomic<std::uint64_t> succeeded{0}, failed{0}, reads{0};
  std::vector<std::thread> threads;
  for (std::size_t n = 0; n < fleet.Proxies.size(); ++n)
    for (int k = 0; k < Writers; ++k)
      threads.emplace_back([&, n, port = fleet.Proxies[n]->Callers] {
        Client client;
        for (; !over; sleepMs(20)) {
          if (!client.isOpen() && !client.open(port, "db-primary")) {
            sleepMs(100);
            continue;
          }
          const auto id = newId();
          const auto answer = client.query(id, n == 0 ? "WRITE a " + id : "READ a");
          record.line((n == 0 ? "write " : "read ") + id + " " +
                      (!answer.Answered ? "no answer"
                       : answer.Ok      ? "success"
                                        : answer.Code));
          if (!answer.Answered || !answer.Ok) {
            ++failed;
            sleepMs(50);
          } else if (n > 0) {
            ++reads;
          } else {
            ++succeeded;
            const std::lock_guard hold(expected.Lock);
            expected.Succeeded.insert(id);
          }
        }
      });
  sleepMs(6'000);
  auto &proxy = *fleet.Proxies.front();
  const auto start = [&] {
    fleet.start(proxy, store.port(), duty.port(), zones, false);
    record.line("the proxy " + proxy.Node + " starts again");
  };
  if (beside == Beside::LateDeletion) {
    // Planned, also without the disruption: the proxy is stopped and started.
    if (setup.Trouble && all)
      store.delayDeletion(proxy.Node, LateMs, record);
    record.line("the proxy " + proxy.Node + " gets SIGTERM");
    ::kill(proxy.Pid, SIGTERM);
    ::waitpid(proxy.Pid, nullptr, 0);
    record.line("the proxy " + proxy.Node + " has ended");
    sleepMs(RestartMs);
    start();
    sleepMs(LateMs + 3'000);
    record.line(proxy.Node + (store.has("rosemaryhinge-proxies", proxy.Node) ? " is" : " is not") +
                " in the store's list of proxies");
  }
  const auto lostNow = [&] {
    const std::lock_guard hold(expected.Lock);
    return service.lostOf(expected.Succeeded).size();
  };
  // The proxy that is not listed may claim the change itself, and then nothing is lost; it is tried once
  // more.
  const int rounds = !setup.Trouble ? 0 : beside == Beside::Kill ? 1 : 2;
  for (int round = 0; round < rounds && lostNow() == 0; ++round) {
    service.crash(2, DownMs);
    sleepMs(BetweenCrashesMs);
    service.crash(0, DownMs);
    service.crash(1, DownMs);
    if (beside == Beside::Kill && all) {
      record.line("the proxy " + proxy.Node + " is killed");
      ::kill(proxy.Pid, SIGKILL);
      ::waitpid(proxy.Pid, nullptr, 0);
      sleepMs(RestartMs);
      start();
    }
    sleepMs(16'000);
  }
  if (!setup.Trouble)
    sleepMs(16'000);
  over = true;
  for (auto &it : threads)
    it.join();
  std::size_t lost = 0;
  {
    const std::lock_guard hold(expected.Lock);
    for (const auto &id : service.lostOf(expected.Succeeded)) {
      record.line("LOST: " + id + " was acknowledged and is not in the log of the promoted server");
      ++lost;
    }
  }
  record.line("writes with success " + std::to_string(succeeded) + ", reads " + std::to_string(reads) +
              ", failed " + std::to_string(failed) + ", lost " + std::to_string(lost));
  fleet.endAll();
  if (succeeded < 100)
    return 2;
  return lost > 0 ? 1 : 0;
}

} // namespace

int forgottenPosition(const Setup &setup) { return crashBeside(setup, Beside::Kill, "kern1", 1); }

int unlistedProxy(const Setup &setup) { return crashBeside(setup, Beside::LateDeletion, "kern6", 2); }

} // namespace review2
