// SIGTERM stops the proxies in turn while clients send one operation after the other.

#include "world.h"

#include <csignal>
#include <random>

namespace review {

namespace {

constexpr int Sessions = 6;
constexpr int GraceMs = 6'000;
/// Of the rule LOST: work at a server in the last sixth of the grace excuses requests sent up to this time.
constexpr int ExcusedSentMs = 3'000;
constexpr int TimeoutMs = 2'000;

struct Cut {
  std::string Id;
  std::int64_t SentAt, CutAt;
};

} // namespace

int shutdownCase(const std::string &folder, Record &record, bool trouble) {
  FleetOptions options;
  options.Proxies = 3;
  options.Services = 1;
  options.WorkMs = 40;
  // Never destroyed: threads of its servers may still run at the end.
  Fleet &fleet = *new Fleet(options, folder, record);
  const ProxyEnd end{fleet};
  if (!fleet.start())
    return 2;
  sleepMs(3'000);
  int broken = 0;
  int answered = 0;
  for (auto &proxy : fleet.Proxies) {
    std::atomic<bool> over{false};
    std::mutex lock;
    std::vector<Cut> cuts;
    std::vector<std::thread> clients;
    for (int n = 0; n < Sessions; ++n)
      clients.emplace_back([&, n] {
        Client client(record, "c" + std::to_string(proxy->number()) + "-" + std::to_string(n));
        std::mt19937 random(static_cast<unsigned>(n));
        if (!client.open(proxy->port(), "b0"))
          return;
        while (!over && client.isOpen()) {
          const auto sent = nowMs();
          const auto answer = client.query("READ k" + std::to_string(n), TimeoutMs + 1'000);
          {
            const std::lock_guard hold(lock);
            if (answer.Complete && answer.Error.empty())
              ++answered;
            else if (!answer.Complete && !answer.TimedOut)
              cuts.push_back({client.LastId, sent, nowMs()});
          }
          sleepMs(std::uniform_int_distribution<int>(20, 80)(random));
        }
      });
    sleepMs(3'000);
    const auto asked = nowMs();
    if (trouble)
      proxy->signal(SIGTERM);
    while (nowMs() < asked + GraceMs) {
      proxy->check();
      sleepMs(10);
    }
    if (trouble && proxy->running())
      proxy->signal(SIGKILL);
    sleepMs(200);
    proxy->check();
    over = true;
    for (auto &it : clients)
      it.join();
    for (const auto &it : cuts) {
      const bool passedOn = fleet.Services[0]->ran(it.Id);
      const bool counts = trouble && passedOn && it.SentAt > asked + ExcusedSentMs && it.CutAt <= asked + GraceMs + 1'000 &&
                          it.CutAt - it.SentAt < TimeoutMs;
      record.line("request " + it.Id + ": sent " + std::to_string(it.SentAt - asked) +
                  " ms after SIGTERM, its connection ended " + std::to_string(it.CutAt - it.SentAt) +
                  " ms later without an answer, " + (passedOn ? "run by a server" : "not run") + (counts ? "; counts" : "; excused"));
      broken += counts || (!trouble && passedOn) ? 1 : 0;
    }
    if (!proxy->running())
      proxy->start();
    if (!fleet.waitReady(15'000))
      return 2;
    sleepMs(3'000);
  }
  record.line(std::to_string(answered) + " requests answered, " + std::to_string(broken) + " cut");
  if (answered == 0)
    return 2;
  return broken > 0 ? 1 : 0;
}

} // namespace review
