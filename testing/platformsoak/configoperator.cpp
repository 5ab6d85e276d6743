// The operator's configuration.

#include "platformsoak/configoperator.h"

#include "platformsoak/callers.h"

#include <algorithm>

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
/// Of a workspace at a time.
constexpr std::size_t ActiveKeys = 2;
constexpr double UnknownKeyShare = 0.02;
constexpr double AnyKeyShare = 0.15;

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

Json route(const std::string &host, const std::string &service, const Workload &work, Millis extraMs,
           bool anonymous) {
  Json out = {{"name", "r-" + host},
              {"host", host},
              {"pathPrefix", "/"},
              {"kind", kindName(work.Kind)},
              {"timeoutMs", work.TimeoutMs + extraMs},
              {"targetLatencyMs", work.DeadlineMs / 3},
              {"priority", static_cast<int>(work.Kind)},
              {"service", service},
              {"anonymous", anonymous},
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
      routes.push_back(route(it.HostPrefix + std::to_string(n), Services[n], it, TimeoutStep * TimeoutStepMs,
                             isAnonymous(n)));
    services.push_back({{"name", Services[n]},
                        {"healthPath", "/healthz"},
                        {"maxConns", MaxConns},
                        {"protocol", "h1"},
                        {"tls", false},
                        {"syncReplicas", 1}});
  }
  for (const auto &it : Versions.back().Extra)
    routes.push_back(route(it, Services.front(), routeWorkloads().front(), 0, true));
  Json tenants = Json::array();
  for (std::size_t n = 0; n < Tenants.size(); ++n)
    tenants.push_back(
        {{"name", Tenants.at(n).Name},
         {"apiKeys", std::vector<std::string>(KeyNames.at(n).end() - ActiveKeys, KeyNames.at(n).end())},
         {"priority", Tenants.at(n).Priority},
         {"ratePerS", Tenants.at(n).RatePerS},
         {"burst", Tenants.at(n).Burst}});
  return {{"version", Versions.back().Version},
          {"routes", routes},
          {"services", services},
          {"tenants", tenants},
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
  auto &version = Versions[index];
  if (version.AcknowledgedAt)
    return;
  version.AcknowledgedAt = nowMs();
  if (!version.Withdraws.empty())
    Known.at(version.Withdraws).WithdrawnAt = version.AcknowledgedAt;
}

void ConfigOperator::begin() {
  {
    const std::lock_guard hold(Lock);
    Versions.push_back({7, {}, nowMs(), std::nullopt});
    for (std::size_t n = 0; n < ActiveKeys * Tenants.size(); ++n)
      addKey(n % Tenants.size());
  }
  write();
}

void ConfigOperator::change(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  {
    const std::lock_guard hold(Lock);
    auto version = nextVersion(random);
    if (!version)
      return;
    auto &next = *version;
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

std::optional<ConfigVersion> ConfigOperator::nextVersion(std::mt19937_64 &random) const {
  const auto &last = Versions.back();
  // One version is written at a time; one that comes meanwhile is left out.
  if (!last.AcknowledgedAt)
    return std::nullopt;
  return ConfigVersion{last.Version + 1 + random() % 5, last.Extra, nowMs(), std::nullopt};
}

void ConfigOperator::addKey(std::size_t tenant) {
  auto &names = KeyNames.at(tenant);
  names.push_back("key-" + std::string(Tenants.at(tenant).Name) + "-" + std::to_string(names.size() + 1));
  Known[names.back()].Tenant = Tenants.at(tenant).Name;
}

void ConfigOperator::withdrawKey(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  {
    const std::lock_guard hold(Lock);
    auto next = nextVersion(random);
    if (!next)
      return;
    const auto tenant = random() % Tenants.size();
    addKey(tenant);
    const auto &names = KeyNames.at(tenant);
    next->Withdraws = names.at(names.size() - ActiveKeys - 1);
    Versions.push_back(*next);
    Seen.line("configuration " + std::to_string(next->Version) + " is written, " + next->Withdraws +
              " withdrawn, " + names.back() + " added");
  }
  write();
}

std::string ConfigOperator::chooseKey(std::size_t tenant, double roll) const {
  const std::lock_guard hold(Lock);
  const auto &names = KeyNames.at(tenant);
  if (roll < UnknownKeyShare)
    return "key-none-" + std::to_string(tenant);
  if (roll > UnknownKeyShare + AnyKeyShare)
    return names.back();
  const auto part = (roll - UnknownKeyShare) / AnyKeyShare * static_cast<double>(names.size());
  return names.at(std::min(names.size() - 1, static_cast<std::size_t>(part)));
}

Keys ConfigOperator::keys() const {
  const std::lock_guard hold(Lock);
  return Known;
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
