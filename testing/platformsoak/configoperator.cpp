// The operator's configuration.

#include "platformsoak/configoperator.h"

#include "platformsoak/callers.h"

#include <random>

namespace rosemaryhinge::platformsoak {

namespace {

constexpr int ExtraHosts = 6;
constexpr int MaxConns = 22;
constexpr Millis TxIdleMs = 3'000;
constexpr Millis RetryMs = 100;
constexpr Millis ProbePauseMs = 60;
constexpr Millis OpenTimeoutMs = 2'000;
constexpr int TimeoutSteps = 4;
constexpr Millis TimeoutStepMs = 25;

const char *kindName(RouteKind kind) {
  switch (kind) {
  case RouteKind::Primary:
    return "primary";
  case RouteKind::Bounded:
    return "bounded_staleness";
  case RouteKind::ReadYourWrites:
    return "read_your_writes";
  }
  return "";
}

Json route(const std::string &host, const std::string &service, const Workload &work, Millis extraMs) {
  Json out = {{"name", "r-" + host},
              {"host", host},
              {"pathPrefix", "/"},
              {"kind", kindName(work.Kind)},
              {"timeoutMs", work.TimeoutMs + extraMs},
              {"targetLatencyMs", work.DeadlineMs / 3},
              {"priority", static_cast<int>(work.Kind)},
              {"service", service},
              {"maxAttempts", 2}};
  if (work.MaxStalenessMs > 0)
    out["maxStalenessMs"] = work.MaxStalenessMs;
  return out;
}

} // namespace

ConfigOperator::ConfigOperator(ObjectStore &store, std::vector<std::string> services, Observations &seen)
    : Store(store), Services(std::move(services)), Seen(seen) {}

Json ConfigOperator::spec() const {
  Json routes = Json::array(), services = Json::array();
  for (std::size_t n = 0; n < Services.size(); ++n) {
    // A timeout is only ever longer than what the callers reckon with.
    for (const auto &it : routeWorkloads())
      routes.push_back(
          route(it.HostPrefix + std::to_string(n), Services[n], it, TimeoutStep * TimeoutStepMs));
    services.push_back({{"name", Services[n]},
                        {"healthPath", "/healthz"},
                        {"maxConns", MaxConns},
                        {"protocol", "h1"},
                        {"tls", false},
                        {"syncReplicas", 1}});
  }
  for (const auto &it : Versions.back().Extra)
    routes.push_back(route(it, Services.front(), routeWorkloads().front(), 0));
  return {{"version", Versions.back().Version},
          {"routes", routes},
          {"services", services},
          {"limits", {{"txIdleMs", TxIdleMs}}}};
}

void ConfigOperator::write() {
  Json text;
  std::size_t index = 0;
  {
    const std::lock_guard hold(Lock);
    text = spec();
    index = Versions.size() - 1;
  }
  while (!Store.write("config", "main", text))
    sleepMs(RetryMs);
  const std::lock_guard hold(Lock);
  if (!Versions[index].AcknowledgedAt)
    Versions[index].AcknowledgedAt = nowMs();
}

void ConfigOperator::begin() {
  {
    const std::lock_guard hold(Lock);
    Versions.push_back({7, {}, nowMs(), std::nullopt});
  }
  write();
}

void ConfigOperator::change(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  {
    const std::lock_guard hold(Lock);
    // One version is written at a time; one that comes meanwhile is left out.
    if (!Versions.back().AcknowledgedAt)
      return;
    ConfigVersion next{Versions.back().Version + 1 + random() % 5, Versions.back().Extra, nowMs(),
                       std::nullopt};
    const auto host = "x" + std::to_string(random() % ExtraHosts);
    if (next.Extra.erase(host) == 0)
      next.Extra.insert(host);
    TimeoutStep = static_cast<int>(random() % TimeoutSteps);
    Versions.push_back(next);
    Seen.line("configuration " + std::to_string(next.Version) + " is written, " + host +
              (next.Extra.contains(host) ? " added" : " removed"));
  }
  write();
}

void ConfigOperator::keep() {
  const auto all = Store.all("config");
  const auto it = all.find("main");
  if (it == all.end() || it->second["spec"]["version"] != versions().back().Version)
    write();
}

void ConfigOperator::probe(const std::vector<std::unique_ptr<ProxyProcess>> &proxies,
                           const std::atomic<bool> &over) {
  std::mt19937_64 random(proxies.size());
  for (int n = 0; !over; ++n, sleepMs(ProbePauseMs)) {
    const auto index = static_cast<std::size_t>(n) % proxies.size();
    if (!proxies[index]->serving())
      continue;
    ConfigProbe probe;
    probe.Host = "x" + std::to_string(random() % ExtraHosts);
    probe.Proxy = static_cast<int>(index);
    CallerSession session(Seen, "probe" + std::to_string(n));
    probe.SentAt = nowMs();
    const auto error = session.open(proxies[index]->callersPort(), probe.Proxy, probe.Host, OpenTimeoutMs);
    probe.EndedAt = nowMs();
    probe.Found = error.empty();
    const std::lock_guard hold(Lock);
    if (error.empty() || error == "NODB")
      Probes.push_back(probe);
  }
}

std::vector<ConfigVersion> ConfigOperator::versions() const {
  const std::lock_guard hold(Lock);
  return Versions;
}

std::vector<ConfigProbe> ConfigOperator::probes() const {
  const std::lock_guard hold(Lock);
  return Probes;
}

} // namespace rosemaryhinge::platformsoak
