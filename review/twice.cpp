// A primary is cut off from one proxy, which changes the primary, and crashes just before the change takes effect.
// Meanwhile clients of another proxy read, and then write.

#include "world.h"

namespace review {

namespace {

/// Each with a service of its own.
constexpr int Rounds = 6;
constexpr int Sessions = 18;
/// Between a session's operations.
constexpr int PauseMs = 600;
constexpr int WriteEvery = 2;
/// Of the proxy that is cut off from the primary, counted from zero.
constexpr int CutProxy = 1;
constexpr int CutMs = 5'000;
constexpr int CrashMs = 7'000;
/// From the pause of the replicas to the crash: the proof that the primary leads has run out by then, and the
/// next primary does not lead yet.
constexpr int CrashAfterPauseMs = 950;

} // namespace

int twiceCase(const std::string &folder, Record &record, bool trouble) {
  FleetOptions options;
  options.Services = Rounds;
  options.WorkMs = 40;
  // Never destroyed: threads of its servers may still run at the end.
  Fleet &fleet = *new Fleet(options, folder, record);
  const ProxyEnd end{fleet};
  if (!fleet.start())
    return 2;
  sleepMs(3'000);
  std::atomic<int> written{0};
  for (int round = 0; round < Rounds; ++round) {
    auto &service = *fleet.Services[static_cast<std::size_t>(round)];
    const auto database = "p" + std::to_string(round);
    std::atomic<bool> over{false};
    std::atomic<bool> writes{false};
    std::vector<std::thread> clients;
    // Clients of the proxy that will be cut off: one read after the other.
    for (int n = 0; n < 2; ++n)
      clients.emplace_back([&, n] {
        Client client(record, "cut" + std::to_string(round) + "-" + std::to_string(n));
        while (!over) {
          if (client.isOpen() || client.open(fleet.Proxies[CutProxy]->port(), database))
            client.query("READ k1", 2'000);
          sleepMs(100);
        }
      });
    // Clients of another proxy. They only read at first, so that no commit shows that the primary is well; later
    // every second operation of a session is a single write.
    for (int n = 0; n < Sessions; ++n)
      clients.emplace_back([&, n] {
        Client client(record, "w" + std::to_string(round) + "-" + std::to_string(n));
        sleepMs(PauseMs * n / Sessions);
        int operation = 0;
        while (!over) {
          if (client.isOpen() || client.open(fleet.Proxies[0]->port(), database)) {
            const bool write = writes && operation++ % WriteEvery == 0;
            const auto answer = client.query(write ? "WRITE k" + std::to_string(n) + " v" : "READ k2", 2'000);
            written += write && answer.Complete && answer.Error.empty() ? 1 : 0;
          }
          sleepMs(PauseMs);
        }
      });
    sleepMs(2'000);
    const int former = service.primary();
    const auto start = nowMs();
    if (trouble) {
      service.cut(former, CutProxy, true);
      while (service.PausedReplicas < 2 && nowMs() < start + CutMs)
        sleepMs(2);
      sleepMs(CrashAfterPauseMs);
      service.crash(former);
    }
    sleepMs(400);
    writes = true;
    while (nowMs() < start + CutMs) {
      for (auto &it : fleet.Proxies) {
        it->check();
        if (!it->running()) {
          sleepMs(300);
          it->start();
        }
      }
      sleepMs(20);
    }
    if (trouble)
      service.cut(former, CutProxy, false);
    while (nowMs() < start + CrashMs + 1'500) {
      for (auto &it : fleet.Proxies)
        it->check();
      sleepMs(20);
    }
    over = true;
    for (auto &it : clients)
      it.join();
    if (trouble)
      service.restart(former);
    if (!fleet.waitReady(10'000))
      return 2;
    sleepMs(2'000);
  }
  int twice = 0;
  for (auto &service : fleet.Services)
    for (const auto &[id, times] : service->commitCounts())
      if (times > 1) {
        record.line("write " + id + " was committed " + std::to_string(times) + " times");
        ++twice;
      }
  record.line(std::to_string(written) + " writes answered, " + std::to_string(twice) + " committed more than once");
  return twice > 0 ? 1 : 0;
}

} // namespace review
