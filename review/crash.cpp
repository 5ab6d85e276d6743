// The primary of a service crashes while reads of its databases wait for the proof that it leads.

#include "world.h"

namespace review {

namespace {

constexpr int Rounds = 3;
constexpr int SessionsPerProxy = 6;
/// Above the validity of a proof, 600 ms, so that the next reads need a new one.
constexpr int PauseMs = 1'200;
constexpr int CrashMs = 7'000;
constexpr int EndsPerMachine = 3;
constexpr int Machines = 2;

void readAll(Fleet &fleet, std::vector<std::unique_ptr<Client>> &clients, const std::string &database) {
  std::vector<std::thread> all;
  for (std::size_t n = 0; n < clients.size(); ++n)
    all.emplace_back([&, n] {
      auto &client = *clients[n];
      const auto &proxy = *fleet.Proxies[n / SessionsPerProxy];
      if (client.isOpen() || client.open(proxy.port(), database))
        client.query("READ k1", 3'000);
    });
  for (auto &it : all)
    it.join();
}

void checkProxies(Fleet &fleet) {
  for (auto &it : fleet.Proxies)
    it->check();
}

} // namespace

int crashCase(const std::string &folder, Record &record, bool trouble) {
  FleetOptions options;
  options.StatusMs = 40;
  // Never destroyed: threads of its servers may still run at the end.
  Fleet &fleet = *new Fleet(options, folder, record);
  const ProxyEnd end{fleet};
  if (!fleet.start())
    return 2;
  sleepMs(3'000);
  for (int round = 0; round < Rounds; ++round) {
    auto &service = *fleet.Services[static_cast<std::size_t>(round)];
    const auto database = "p" + std::to_string(round);
    std::vector<std::unique_ptr<Client>> clients;
    for (std::size_t n = 0; n < fleet.Proxies.size() * SessionsPerProxy; ++n)
      clients.push_back(std::make_unique<Client>(record, "c" + std::to_string(round) + "-" + std::to_string(n)));
    for (int n = 0; n < 3; ++n) {
      readAll(fleet, clients, database);
      sleepMs(PauseMs);
    }
    std::thread reads([&] { readAll(fleet, clients, database); });
    const auto until = nowMs() + 200;
    while (service.StatusOutstanding < Machines && nowMs() < until)
      sleepMs(1);
    sleepMs(15);
    const int former = service.primary();
    if (trouble)
      service.crash(former);
    const auto back = nowMs() + CrashMs;
    while (nowMs() < back) {
      checkProxies(fleet);
      for (auto &it : fleet.Proxies)
        if (!it->running()) {
          sleepMs(500);
          it->start();
        }
      sleepMs(20);
    }
    reads.join();
    if (trouble)
      service.restart(former);
    if (!fleet.waitReady(10'000))
      return 2;
    sleepMs(1'500);
  }
  checkProxies(fleet);
  int machines = 0;
  for (auto &it : fleet.Proxies) {
    record.line("proxy " + std::to_string(it->number()) + " ended by itself " + std::to_string(it->OwnEnds) +
                " times");
    machines += it->OwnEnds >= EndsPerMachine ? 1 : 0;
  }
  return machines >= Machines ? 1 : 0;
}

} // namespace review
