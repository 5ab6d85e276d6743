// A primary is partitioned from its replicas and another server is promoted. Clients with an open transaction
// set a session value, send a read, and leave before its answer. Later clients use the same value.

#include "../6/cases.h"

namespace review2 {

namespace {

constexpr Ms PromoteMs = 600;
constexpr Ms CutMs = 5'000;
constexpr int Readers = 6;

} // namespace

int abandonedValues(const Setup &setup) {
  auto &record = *new Record(setup.Record);
  TemporaryFolder folder;
  const std::vector<std::string> zones = {"noord-gron", "randstad-utr", "zuid-ein"};
  // The stand-ins' threads go on until the process ends.
  auto &store = *new Store;
  auto &expected = *new Expectations;
  auto &service = *new Service("kern1", {{zones[0], 12}, {zones[1], 12}, {zones[2], 12}}, store, record,
                               expected, 0.5, PromoteMs);
  auto &duty = *new HttpServer([&](const HttpRequest &request) {
    const auto body = Json::parse(request.Body);
    const auto token = std::stoull(request.Headers.at("rosemaryhinge-fencing-token"));
    const int status = service.promote(body.at("id").get<std::string>(), token);
    record.line("promote " + body.at("id").get<std::string>() + ", token " + std::to_string(token) + ": " +
                std::to_string(status));
    return HttpReply{status, "{}"};
  });
  store.write("config", "main",
              {{"version", 7},
               {"routes", Json::array({route("r1", "db-primary", "kern1", "primary", 800, 0),
                                       route("r2", "db-own", "kern1", "read_your_writes", 800, 2'500)})},
               {"services", Json::array({{{"name", "kern1"}, {"maxConns", 38}, {"syncReplicas", 1}}})},
               {"limits", {{"txIdleMs", 3'000}}}});
  Fleet fleet(setup.Program, folder.Name);
  for (const auto &zone : zones) {
    const auto node = "edge-" + zone + "-1";
    fleet.start(fleet.add(node, zone), store.port(), duty.port(), zones, true);
    folder.Files.push_back(node + ".yaml");
    folder.Files.push_back(node + ".log");
  }
  if (!fleet.awaitReady(15'000)) {
    record.line("the proxies did not become ready");
    return 2;
  }
  record.line("ready");

  const std::map<std::string, std::string> values = {{"lang", "nl"}};
  std::atomic<bool> over{false};
  std::atomic<std::uint64_t> reads{0}, left{0}, writes{0};
  std::vector<std::thread> threads;
  for (const auto &proxy : fleet.Proxies) {
    // Officers' writes.
    threads.emplace_back([&, port = proxy->Callers] {
      Client client;
      for (; !over; sleepMs(60)) {
        if (!client.isOpen() && !client.open(port, "db-primary"))
          continue;
        const auto id = newId();
        expected.expect(id, {});
        const auto answer = client.query(id, "WRITE a " + id);
        record.line("write " + id + " " +
                    (!answer.Answered ? "no answer"
                     : answer.Ok      ? "success"
                                      : answer.Code));
        if (answer.Ok)
          ++writes;
      }
    });
    // Long sessions that set a value at their start and read now and then.
    for (int n = 0; n < Readers; ++n)
      threads.emplace_back([&, port = proxy->Callers] {
        Client client;
        for (; !over; sleepMs(60)) {
          if (!client.isOpen()) {
            if (!client.open(port, "db-own"))
              continue;
            if (!client.query(newId(), "SET lang nl").Ok) {
              client.leave();
              continue;
            }
          }
          const auto id = newId();
          expected.expect(id, values);
          const auto answer = client.query(id, "READ b");
          record.line("read " + id + " " +
                      (!answer.Answered ? "no answer"
                       : answer.Ok      ? "success"
                                        : answer.Code));
          if (answer.Ok)
            ++reads;
        }
      });
    // Clients that leave in the middle of a transaction: right after they have sent a statement.
    for (int n = 0; n < 4; ++n)
      threads.emplace_back([&, port = proxy->Callers, n] {
        sleepMs(200 * n);
        for (; !over; sleepMs(50)) {
          Client client;
          if (!client.open(port, "db-primary"))
            continue;
          const auto first = newId(), last = newId();
          expected.expect(first, {});
          expected.expect(last, values);
          if (!client.query(newId(), "BEGIN").Ok || !client.query(first, "READ a").Ok)
            continue;
          sleepMs(1'000);
          if (!client.query(newId(), "SET lang nl").Ok)
            continue;
          record.line("a client sends READ a as " + last + " in its transaction and leaves");
          client.send(last, "READ a");
          client.leave();
          ++left;
        }
      });
  }
  sleepMs(6'000);
  if (setup.Trouble)
    service.cutFromReplicas(CutMs);
  sleepMs(16'000);
  over = true;
  for (auto &it : threads)
    it.join();
  const auto pinned = service.pinned();
  record.line("reads " + std::to_string(reads) + ", writes " + std::to_string(writes) +
              ", clients that left " + std::to_string(left) + ", statements with other session values " +
              std::to_string(pinned.size()));
  fleet.endAll();
  if (reads < 200 || left < 10 || (setup.Trouble && service.promotions() == 0))
    return 2;
  return pinned.empty() ? 0 : 1;
}

} // namespace review2
