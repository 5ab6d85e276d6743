// The duty API reads the order to promote a server, resets the connection without an answer and is down for
// some seconds. The order is carried out late. Meanwhile the primary, which had crashed, is back and serves
// on.

#include "../6/cases.h"

namespace review2 {

namespace {

constexpr Ms PromoteMs = 600;
constexpr Ms LongestPrimaryDownMs = 7'000;
constexpr Ms DutyDownMs = 4'500;
constexpr Ms OrderLateMs = 9'000;
constexpr int Writers = 8;
/// Between two writes of a client.
constexpr double PauseMs = 100, BusyPauseMs = 10;
constexpr std::size_t Rounds = 5;

struct Duty {
  std::map<std::string, Service *> Services;
  Record &Log;
  std::mutex Lock;
  bool Armed = false; ///< The next order on a connection that has served one is read and not answered.
  std::atomic<bool> Struck{false};
  HttpServer Front{[this](const HttpRequest &it) { return handle(it); }};

  HttpReply handle(const HttpRequest &request) {
    const auto body = Json::parse(request.Body);
    const auto name = body.at("service").get<std::string>();
    const auto id = body.at("id").get<std::string>();
    const auto holder = request.Headers.at("rosemaryhinge-lease-holder");
    const auto token = std::stoull(request.Headers.at("rosemaryhinge-fencing-token"));
    const auto text = "promote " + name + " " + id + " by " + holder + ", token " + std::to_string(token);
    auto *service = Services.at(name);
    {
      const std::lock_guard hold(Lock);
      if (Armed && !request.FirstOnConnection) {
        Armed = false;
        Struck = true;
        Log.line(text + ": no answer, the connection is reset; the duty API is down for " +
                 std::to_string(DutyDownMs) + " ms");
        std::thread([this, service, id, token, text] {
          Front.down();
          const auto from = nowMs();
          sleepMs(DutyDownMs);
          Front.up();
          Log.line("the duty API is back");
          sleepMs(static_cast<double>(OrderLateMs - (nowMs() - from)));
          const int status = service->promote(id, token);
          Log.line("carried out late: " + text + ": " + std::to_string(status));
        }).detach();
        // The listener is gone before the caller notices the end of the connection.
        while (connects())
          sleepMs(1);
        return {0, ""};
      }
    }
    const int status = service->promote(id, token);
    Log.line(text + ": " + std::to_string(status));
    return {status, "{}"};
  }
  bool connects() {
    const int fd = connectTo(Front.port());
    if (fd >= 0)
      ::close(fd);
    return fd >= 0;
  }
};

} // namespace

int resetOrder(const Setup &setup) {
  auto &record = *new Record(setup.Record);
  TemporaryFolder folder;
  const std::vector<std::string> zones = {"noord-gron", "noord-leeu", "randstad-utr"};
  // The stand-ins' threads go on until the process ends.
  auto &store = *new Store;
  auto &expected = *new Expectations;
  auto &services = *new std::vector<std::unique_ptr<Service>>;
  auto &duty = *new Duty{{}, record, {}, false, {}};
  Json routes = Json::array(), limits = Json::array();
  for (const char *name : {"kern1", "kern2", "kern3"}) {
    // One replica is in the primary's region, the other one is 12 ms away.
    services.push_back(std::make_unique<Service>(
        name, std::vector<std::pair<std::string, double>>{{zones[0], 0.9}, {zones[1], 0.9}, {zones[2], 12}},
        store, record, expected, 0.2, PromoteMs));
    duty.Services[name] = services.back().get();
    routes.push_back(route(std::string("r-") + name, std::string("db-") + name, name, "primary", 800, 0));
    limits.push_back({{"name", name}, {"maxConns", 38}, {"syncReplicas", 1}});
  }
  store.write("config", "main",
              {{"version", 7}, {"routes", routes}, {"services", limits}, {"limits", {{"txIdleMs", 3'000}}}});
  Fleet fleet(setup.Program, folder.Name);
  for (int n = 0; n < 3; ++n) {
    const auto node = "edge-" + zones[static_cast<std::size_t>(n)] + "-1";
    fleet.start(fleet.add(node, zones[static_cast<std::size_t>(n)]), store.port(), duty.Front.port(), zones,
                true);
    folder.Files.push_back(node + ".yaml");
    folder.Files.push_back(node + ".log");
  }
  if (!fleet.awaitReady(15'000)) {
    record.line("the proxies did not become ready");
    return 2;
  }
  record.line("ready");

  std::atomic<bool> over{false};
  std::atomic<std::uint64_t> succeeded{0}, failed{0};
  std::atomic<const Service *> busiest{nullptr};
  std::vector<std::thread> threads;
  for (std::size_t s = 0; s < services.size(); ++s)
    for (int n = 0; n < Writers; ++n)
      threads.emplace_back([&, s, n] {
        const auto database = "db-" + services[s]->name();
        Client client;
        for (std::size_t turn = static_cast<std::size_t>(n); !over;
             sleepMs(busiest == services[s].get() ? BusyPauseMs : PauseMs)) {
          if (!client.isOpen() &&
              !client.open(fleet.Proxies[turn++ % fleet.Proxies.size()]->Callers, database)) {
            sleepMs(100);
            continue;
          }
          const auto id = newId();
          const auto answer = client.query(id, "WRITE a" + std::to_string(n) + " " + id);
          record.line(services[s]->name() + " write " + id + " " +
                      (!answer.Answered ? "no answer"
                       : answer.Ok      ? "success"
                                        : answer.Code));
          if (answer.Answered && answer.Ok) {
            ++succeeded;
            const std::lock_guard hold(expected.Lock);
            expected.Succeeded.insert(id);
          } else {
            ++failed;
            sleepMs(50);
          }
        }
      });

  // Planned: the primaries of all services are replaced, one after the other.
  sleepMs(3'000);
  for (auto &it : services) {
    it->release(it->primary(), 7'000);
    sleepMs(3'000);
  }
  sleepMs(9'000);
  std::size_t promotions = 0;
  for (auto &it : services)
    promotions += it->promotions();
  record.line("promotions so far: " + std::to_string(promotions));
  const auto lostNow = [&] {
    std::size_t out = 0;
    const std::lock_guard hold(expected.Lock);
    for (auto &it : services)
      out += it->lostOf(expected.Succeeded).size();
    return out;
  };
  // A proxy that sends its first order opens a connection, and the change of primary goes on as usual. The
  // next rounds are for that, and for a change that another proxy has carried to its end meanwhile.
  std::size_t strikes = 0;
  for (std::size_t round = 0; setup.Trouble && round < Rounds && lostNow() == 0; ++round) {
    auto &hit = *services[round % services.size()];
    record.line("round " + std::to_string(round + 1));
    duty.Struck = false;
    {
      const std::lock_guard hold(duty.Lock);
      duty.Armed = true;
    }
    busiest = &hit;
    hit.crashUntilResumed(hit.primary(), LongestPrimaryDownMs);
    sleepMs(LongestPrimaryDownMs + 500);
    strikes += duty.Struck ? 1 : 0;
    if (duty.Struck)
      sleepMs(OrderLateMs + PromoteMs + 2'000 - LongestPrimaryDownMs);
  }
  if (setup.Trouble && strikes == 0)
    record.line("no proxy sent a second order on one connection");
  sleepMs(setup.Trouble ? 2'000 : 10'000);
  over = true;
  for (auto &it : threads)
    it.join();

  std::size_t lost = 0;
  for (auto &it : services) {
    const std::lock_guard hold(expected.Lock);
    for (const auto &id : it->lostOf(expected.Succeeded)) {
      record.line("LOST: " + it->name() + " " + id +
                  " was acknowledged and is not in the log of the promoted server");
      ++lost;
    }
  }
  record.line("writes with success " + std::to_string(succeeded) + ", without " + std::to_string(failed) +
              ", lost " + std::to_string(lost));
  fleet.endAll();
  if (succeeded < 200 || promotions < services.size() || (setup.Trouble && strikes == 0))
    return 2;
  return lost > 0 ? 1 : 0;
}

} // namespace review2
