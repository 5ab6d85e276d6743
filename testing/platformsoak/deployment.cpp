// The whole deployment on loopback.

#include "platformsoak/deployment.h"

#include "platformsoak/peerprocess.h"
#include "platformsoak/zones.h"

#include <algorithm>
#include <map>
#include <set>
#include <sstream>
#include <thread>

namespace rosemaryhinge::platformsoak {

namespace {

constexpr std::uint64_t SeedFactor = 10'007;
constexpr Millis StartTimeoutMs = 20'000;
constexpr Millis ReadyCheckMs = 100;
constexpr Millis KeepEveryMs = 200;
/// Three heartbeats without one.
constexpr Millis LapseMs = 3'600;

std::vector<std::string> serviceNames(int count) {
  std::vector<std::string> out;
  out.reserve(static_cast<std::size_t>(count));
  for (int n = 0; n < count; ++n)
    out.push_back("merchant-db" + std::to_string(n));
  return out;
}

} // namespace

Deployment::Deployment(const DeploymentOptions &options, Observations &seen)
    : Seen(seen), Operator(Store, serviceNames(options.Services), seen), Options(options),
      Duties([this](const HttpRequest &it) { return duty(it); }) {
  for (int n = 0; n < options.Services; ++n) {
    ServiceOptions one;
    one.Seed = options.Seed * SeedFactor + static_cast<std::uint64_t>(n);
    one.Name = serviceNames(options.Services).at(static_cast<std::size_t>(n));
    for (std::size_t zone = 0; zone < ZoneNames.size(); ++zone)
      one.Zones.emplace_back(ZoneNames.at((zone + static_cast<std::size_t>(n)) % ZoneNames.size()));
    Services.push_back(std::make_unique<DbService>(one, Store, seen));
  }
  Operator.begin();
  std::ostringstream rest;
  rest << "region: north\ninterface: sessions\nduties: http://127.0.0.1:" << Duties.port()
       << "\nshutdown_grace_s: " << options.GraceS
       << "\npromotion_fencing: true\npropagation_ms: 3000\nstrict_revocation: "
          "true\nrevocation_ms: "
       << RevocationMs << "\nquota_window_s: " << QuotaWindowMs / 1'000
       << "\nquota_overshoot: " << QuotaOvershoot << "\nquota_slack: " << QuotaSlack << "\nregions:\n";
  for (const auto *it : ZoneNames)
    rest << "  " << it << ": north\n";
  rest << "log:\n  format: key_value\n  level: info\n";
  for (std::size_t n = 0; n < ProxyZones.size(); ++n) {
    ProxyOptions one;
    one.Index = static_cast<int>(n);
    one.Zone = ZoneNames.at(ProxyZones.at(n));
    one.Program = options.Program;
    one.Folder = options.Folder;
    StoreNetworks.push_back(std::make_unique<Forwarder>(Store.port()));
    one.Settings =
        "platform: http://127.0.0.1:" + std::to_string(StoreNetworks.back()->port()) + "\n" + rest.str();
    Proxies.push_back(std::make_unique<ProxyProcess>(one, seen));
    Networks.push_back(std::make_unique<Forwarder>(Proxies.back()->callersPort()));
    PeerNetworks.push_back(std::make_unique<Forwarder>(Proxies.back()->peersPort(), [this, n](int fd) {
      const auto from = proxyOf(fd);
      return from ? &peerLink(*from, n) : nullptr;
    }));
    Proxies.back()->advertisePeers(PeerNetworks.back()->port());
  }
  for (auto &it : Services)
    it->setFindProxy([this](int fd) { return proxyOf(fd); });
  Entry = std::make_unique<Balancer>(Proxies);
  Callers.reset(new CallerContext{Seen, *Entry, Services, Proxies, Networks, Over, Operator});
}

std::optional<std::size_t> Deployment::proxyOf(int fd) const {
  std::vector<int> processes;
  processes.reserve(Proxies.size());
  for (const auto &it : Proxies)
    processes.push_back(it->pid());
  return findPeer(fd, processes);
}

HttpReply Deployment::duty(const HttpRequest &request) {
  const auto body = Json::parse(request.Body);
  const auto service = body.at("service").get<std::string>();
  const auto id = body.at("id").get<std::string>();
  const auto token = std::stoull(request.Headers.at("rosemaryhinge-fencing-token"));
  const auto holder = request.Headers.at("rosemaryhinge-lease-holder");
  int status = 404;
  for (auto &it : Services)
    if (it->options().Name == service)
      status = it->promote({id, holder, token});
  Seen.line("promote " + service + " " + id + " by " + holder + ", token " + std::to_string(token) + ": " +
            (status == 0 ? "no answer" : std::to_string(status)));
  return {status, "{}"};
}

bool Deployment::start() {
  for (auto &it : Proxies)
    it->start();
  const auto until = nowMs() + StartTimeoutMs;
  while (!std::all_of(Proxies.begin(), Proxies.end(), [](const auto &it) { return it->answersReady(); })) {
    if (nowMs() > until)
      return false;
    sleepMs(ReadyCheckMs);
  }
  Entry->start();
  Threads.emplace_back([this] { keepStore(); });
  return true;
}

void Deployment::keepStore() {
  std::map<std::string, Millis> goneSince;
  for (; !Over; sleepMs(KeepEveryMs)) {
    Operator.keep();
    std::set<std::string> live;
    for (auto &it : Services)
      for (auto &id : it->liveIds())
        live.insert(id);
    for (const auto &[id, entry] : Store.all("servers")) {
      if (live.contains(id)) {
        goneSince.erase(id);
        continue;
      }
      if (goneSince.try_emplace(id, nowMs()).first->second + LapseMs < nowMs())
        Store.remove("servers", id);
    }
  }
}

void Deployment::startCallers() {
  int number = 0;
  for (const auto &work : workloads())
    for (int n = 0; n < work.Callers; ++n, ++number) {
      const auto *zone = ZoneNames.at(static_cast<std::size_t>(n) % ZoneNames.size());
      const auto seed = Options.Seed * SeedFactor + static_cast<std::uint64_t>(number);
      Threads.emplace_back(
          [this, &work, zone, number, seed] { Caller(*Callers, work, zone, number, seed).run(); });
    }
  Threads.emplace_back([this] { Operator.probe(Proxies, Over); });
}

void Deployment::endCallers() {
  Over = true;
  for (auto &it : Threads)
    it.join();
}

} // namespace rosemaryhinge::platformsoak
