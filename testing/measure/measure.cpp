// Fleets with a steady open-loop load, with and without a fault.

#include "measure/measure.h"

#include "fakes/fleet.h"
#include "measure/openload.h"

#include <algorithm>
#include <optional>

namespace rosemaryhinge::measure {

namespace {

constexpr std::size_t Nodes = 6;
constexpr std::uint64_t Seeds = 20;
constexpr Duration StartUp = 5s;
constexpr Duration Gap = 20ms;
/// Fixed long timeout of the baseline, as an operator's script that waits to be sure.
constexpr const char *LongTimeout = "10s";

/// Sends writes at fixed times whatever happens to the earlier ones, and notes when each was acknowledged.
class Probe {
public:
  Probe(fakes::Fleet &fleet, std::size_t proxy, ClassName name)
      : World(fleet), Proxy(proxy), Class(std::move(name)) {}

  void run(Duration time) {
    for (auto until = World.Queue.now() + time; World.Queue.now() < until; World.runFor(Gap))
      send();
  }

  std::vector<TimePoint> Acknowledged;
  std::vector<Duration> Latencies;

private:
  void send() {
    fakes::Operation op;
    op.Tag = "probe" + std::to_string(Proxy) + "-" + std::to_string(++Next);
    op.Database = World.Plan.Groups.front().Database;
    op.Key = "probe";
    op.Write = true;
    op.Class = Class;
    op.Deadline = 1s;
    const auto &kept = World.keep(std::move(op));
    CallerRequest request;
    request.Caller = CallerId("probe");
    request.Database = kept.Database;
    request.Class = kept.Class;
    request.Statements = {"put probe " + kept.Tag + " #" + kept.Tag + "/1"};
    auto sent = World.Queue.now();
    World.Proxies[Proxy]->request(
        fakes::Submission{&kept, 1, sent, TransactionStep::None, 1, {}}, std::move(request),
        [this, sent](const Answer &answer) {
          if (!std::holds_alternative<Success>(answer))
            return;
          Acknowledged.push_back(World.Queue.now());
          Latencies.push_back(World.Queue.now() - sent);
        },
        [] {});
  }

  fakes::Fleet &World;
  std::size_t Proxy;
  ClassName Class;
  std::uint64_t Next = 0;
};

double milliseconds(Duration it) { return static_cast<double>(it.count()) / 1000; }

double quantile(std::vector<double> values, double share) {
  if (values.empty())
    return 0;
  std::sort(values.begin(), values.end());
  auto index = static_cast<std::size_t>(share * static_cast<double>(values.size()));
  return values[std::min(index, values.size() - 1)];
}

fakes::FleetOptions options(const std::string &deployment, std::uint64_t seed) {
  fakes::FleetOptions out;
  out.Seed = seed;
  out.Deployment = deployment;
  out.Nodes = Nodes;
  return out;
}

std::string treeWith(const fakes::FleetOptions &from, const std::string &key, const std::string &value) {
  auto tree = fakes::makeLayout(from.Deployment, from.Nodes, from.Databases).settingsTree();
  auto at = tree.find("      slots.connections");
  return tree.insert(at, "      " + key + ": " + value + "\n");
}

/// Longest time without an acknowledged write around the loss of the primary.
double failoverGap(const std::string &deployment, std::uint64_t seed, bool withProxy, bool baseline) {
  auto setup = options(deployment, seed);
  if (baseline)
    // A takeover must take longer than the suspicion, or the tree is refused.
    setup.SettingsTree =
        treeWith(setup, "failover.takeover_after: 30s\n      failover.suspect_after", LongTimeout);
  fakes::Fleet fleet(setup);
  fleet.start();
  fleet.runFor(StartUp + Duration(static_cast<std::int64_t>(seed) * 7919));
  auto *primary = fleet.Groups.front()->primary();
  // A proxy of another zone sends the writes; the one that is cut off with the primary is of its own zone.
  Probe probe(fleet, 1, ClassName("default"));
  probe.run(2s);
  std::vector<fakes::Endpoint> inside = {primary->place()};
  if (withProxy)
    inside.push_back(fleet.Proxies.front()->place());
  std::vector<fakes::Endpoint> rest;
  for (fakes::Endpoint it = 0; it < fleet.Network.size(); ++it)
    if (std::find(inside.begin(), inside.end(), it) == inside.end())
      rest.push_back(it);
  auto cutAt = fleet.Queue.now();
  fleet.Network.cut(inside, rest);
  probe.run(16s);
  auto first = std::find_if(probe.Acknowledged.begin(), probe.Acknowledged.end(),
                            [&](auto it) { return it > cutAt + 300ms; });
  auto end = first == probe.Acknowledged.end() ? fleet.Queue.now() : *first;
  return milliseconds(end - cutAt);
}

void addGap(std::vector<Figure> &out, const std::string &deployment, const std::string &name,
            bool withProxy) {
  std::vector<double> values;
  std::vector<double> baseline;
  for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
    values.push_back(failoverGap(deployment, seed, withProxy, false));
    if (seed <= Seeds / 4)
      baseline.push_back(failoverGap(deployment, seed, withProxy, true));
  }
  out.push_back(
      {name, deployment, quantile(values, 0.5), quantile(baseline, 0.5), "ms at the median", "<= 3000"});
  out.push_back({name, deployment, quantile(values, 0.99), quantile(baseline, 0.99), "ms at p99", "<= 5000"});
}

double writeLatency(const std::string &deployment, const std::string &name) {
  fakes::Fleet fleet(options(deployment, 1));
  fleet.start();
  fleet.runFor(StartUp);
  Probe probe(fleet, 1, ClassName(name));
  probe.run(10s);
  std::vector<double> values;
  for (auto it : probe.Latencies)
    values.push_back(milliseconds(it));
  return quantile(values, 0.5);
}

class ReadCounter : public fakes::IObserver {
public:
  void onAnswered(const fakes::Submission &submission, const Answer &answer) override {
    const auto *success = std::get_if<Success>(&answer);
    if (success == nullptr || submission.What->Write)
      return;
    ++All;
    if (success->ServedByReplica)
      ++FromReplicas;
  }
  std::uint64_t All = 0;
  std::uint64_t FromReplicas = 0;
};

/// Share of reads that replicas serve, 100 ms behind, to sessions that write once in ten requests.
double replicaReadShare(const std::string &deployment, ReadPolicy policy) {
  auto setup = options(deployment, 1);
  setup.Requests.Reads = policy;
  fakes::Fleet fleet(setup);
  ReadCounter counter;
  fleet.Observers.push_back(&counter);
  fleet.start();
  fleet.runFor(StartUp);
  auto &group = *fleet.Groups.front();
  for (std::size_t n = 0; n < group.servers().size(); ++n)
    group.setLag(n, 100ms);
  for (int n = 0; n < 30; ++n) {
    fakes::CallerProfile profile;
    profile.Database = group.Description.Database;
    profile.WriteShare = 0.1;
    profile.InteractiveShare = profile.StaleShare = profile.LongShare = profile.FailingShare = 0;
    profile.KeyedShare = 0;
    fleet.addCaller(profile).start();
  }
  fleet.runFor(30s);
  return counter.All == 0 ? 0 : static_cast<double>(counter.FromReplicas) / static_cast<double>(counter.All);
}

/// Few connections, so that work queues at loads that are quick to run.
constexpr std::uint32_t ScarceConnections = 2;
constexpr double ShortPerSecond = 54;
constexpr double LongPerSecond = 6; ///< One request in ten.
constexpr Duration LongSleep = 1s;

fakes::FleetOptions scarce(const std::string &deployment, QueuePolicy policy) {
  auto out = options(deployment, 1);
  out.SlotConnections = ScarceConnections;
  out.Requests.Queue = policy;
  return out;
}

/// p99 of short requests, with or without long ones beside them. A failed request counts as the deadline.
double shortLatency(const std::string &deployment, QueuePolicy policy, bool withLong) {
  fakes::Fleet fleet(scarce(deployment, policy));
  fleet.start();
  fleet.runFor(StartUp);
  OpenLoad shortLoad(fleet, "short", {ShortPerSecond, 20ms, 5s, "default"});
  OpenLoad longLoad(fleet, "long", {LongPerSecond, LongSleep, 30s, "extract"});
  constexpr Duration WarmUp = 10s;
  constexpr Duration Length = 40s;
  shortLoad.start(WarmUp + Length);
  if (withLong)
    longLoad.start(WarmUp + Length);
  const auto from = fleet.Queue.now() + WarmUp;
  fleet.runFor(WarmUp + Length + 6s);
  std::vector<double> values;
  for (const auto &it : shortLoad.Results)
    if (it.SentAt >= from)
      values.push_back(it.Succeeded ? milliseconds(it.Took) : 5000);
  return quantile(values, 0.99);
}

double shortRatio(const std::string &deployment, QueuePolicy policy) {
  return shortLatency(deployment, policy, true) / shortLatency(deployment, policy, false);
}

constexpr Duration CrestDeadline = 1s;

/// Answers per second in the last seconds of a run, of those sent at the given rate.
double goodput(const OpenLoad &load, TimePoint from, TimePoint until) {
  std::size_t n = 0;
  for (const auto &it : load.Results)
    if (const auto at = it.SentAt + it.Took;
        it.Succeeded && it.Took <= CrestDeadline && at >= from && at < until)
      ++n;
  return static_cast<double>(n) / std::chrono::duration<double>(until - from).count();
}

/// What the connections carry at twice the load that keeps them busy on paper.
double capacity(const std::string &deployment) {
  fakes::Fleet fleet(scarce(deployment, QueuePolicy::FairLanes));
  fleet.start();
  fleet.runFor(StartUp);
  OpenLoad load(fleet, "capacity", {1, 20ms, CrestDeadline, "default"});
  load.start(8s, 1800);
  const auto from = fleet.Queue.now() + 3s;
  fleet.runFor(9s);
  return goodput(load, from, from + 5s);
}

struct Crest {
  double Ratio = 0;       ///< Goodput over capacity while the load is at five times the capacity.
  double RecoveredMs = 0; ///< From its end until 99 % of the requests succeed again.
};

Crest crest(const std::string &deployment, QueuePolicy policy, double capacity) {
  fakes::Fleet fleet(scarce(deployment, policy));
  fleet.start();
  fleet.runFor(StartUp);
  OpenLoad load(fleet, "crest", {1, 20ms, CrestDeadline, "default"});
  load.start(3s, capacity / 2);
  fleet.runFor(3s);
  constexpr int Steps = 10;
  for (int n = 1; n <= Steps; ++n) { // Rises within a second.
    load.start(1s / Steps, capacity * (0.5 + 4.5 * n / Steps));
    fleet.runFor(1s / Steps);
  }
  const auto from = fleet.Queue.now();
  load.start(5s, capacity * 5);
  fleet.runFor(5s);
  const auto until = fleet.Queue.now();
  load.start(6s, capacity / 2);
  fleet.runFor(8s);
  Crest out{goodput(load, from, until) / capacity, 0};
  for (const auto &it : load.Results)
    if (it.SentAt >= until && (!it.Succeeded || it.Took > CrestDeadline))
      out.RecoveredMs = std::max(out.RecoveredMs, milliseconds(it.SentAt - until));
  return out;
}

/// Goodput during ten minutes without the store, over that of the minute before.
double storeOutage(const std::string &deployment) {
  fakes::Fleet fleet(options(deployment, 1));
  fleet.start();
  fleet.runFor(StartUp);
  OpenLoad load(fleet, "outage", {20, 5ms, CrestDeadline, "default"});
  constexpr Duration Before = 60s;
  constexpr Duration Outage = 10min;
  load.start(Before + Outage);
  const auto start = fleet.Queue.now();
  fleet.runFor(Before);
  fleet.Store->Down = true;
  fleet.runFor(Outage);
  return goodput(load, start + Before, start + Before + Outage) / goodput(load, start, start + Before);
}

class PromotionCounter : public fakes::IObserver {
public:
  void onPromoted(const fakes::FakeServer & /*server*/, Term /*term*/) override { ++Count; }
  std::uint64_t Count = 0;
};

/// Promotions in runs in which the primary has no fault: a proxy loses contact with it, a replica is far
/// behind, the store is slow and then down.
double falsePromotions(const std::string &deployment) {
  PromotionCounter counter;
  for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
    fakes::Fleet fleet(options(deployment, seed));
    fleet.Observers.push_back(&counter);
    fleet.start();
    fleet.runFor(StartUp);
    OpenLoad load(fleet, "steady", {50, 5ms, CrestDeadline, "default"});
    load.start(30s);
    fleet.runFor(5s);
    auto &group = *fleet.Groups.front();
    fleet.Network.cut({fleet.Proxies[seed % Nodes]->place()}, {group.primary()->place()});
    group.setLag((seed + 1) % group.servers().size(), 2s);
    fleet.Store->Slow = 400ms;
    fleet.runFor(10s);
    fleet.Store->Down = true;
    fleet.runFor(15s);
  }
  return static_cast<double>(counter.Count);
}

void addLoad(std::vector<Figure> &out, const std::string &deployment) {
  out.push_back({"short_wait_p99_ratio", deployment, shortRatio(deployment, QueuePolicy::FairLanes),
                 shortRatio(deployment, QueuePolicy::SingleFifo), "ratio", "<= 1.5"});
  const auto most = capacity(deployment);
  const auto ours = crest(deployment, QueuePolicy::FairLanes, most);
  const auto baseline = crest(deployment, QueuePolicy::UnboundedRetry, most);
  out.push_back({"crest_goodput_ratio", deployment, ours.Ratio, baseline.Ratio, "ratio", ">= 0.9"});
  out.push_back({"crest_goodput_ratio", deployment, ours.RecoveredMs, baseline.RecoveredMs,
                 "ms until recovered", "<= 2000"});
  out.push_back({"false_promotions", deployment, falsePromotions(deployment), -1, "in 20 runs", "0"});
  out.push_back({"store_outage_goodput_ratio", deployment, storeOutage(deployment), -1, "ratio", ">= 0.99"});
}

} // namespace

std::vector<Figure> measureDeployment(const std::string &deployment) {
  std::vector<Figure> out;
  addGap(out, deployment, "failover_gap_ms", false);
  addGap(out, deployment, "failover_gap_partition_ms", true);
  out.push_back({"write_latency_cost_ms", deployment, writeLatency(deployment, "default"),
                 writeLatency(deployment, "fast"), "ms at the median", "reported"});
  out.push_back({"replica_read_share", deployment, replicaReadShare(deployment, ReadPolicy::SessionToken),
                 replicaReadShare(deployment, ReadPolicy::StickyPrimary), "share", ">= 0.95"});
  addLoad(out, deployment);
  return out;
}

} // namespace rosemaryhinge::measure
