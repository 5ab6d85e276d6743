// rosemaryhinge-spread: measures how fast and at what cost a settings change reaches a fleet.

#include "settings/object.h"
#include "spread/baseline.h"
#include "spread/fleet.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <vector>

using namespace rosemaryhinge;
using namespace rosemaryhinge::spread;
using nlohmann::json;

namespace {

constexpr std::array<std::size_t, 3> Sizes = {6, 50, 300};
constexpr double DesignNodes = 3500;
constexpr double TargetMs = 4000;
constexpr double TargetBytes = 3000;
/// 9,300 changes a day.
constexpr Duration ChangeInterval = std::chrono::duration_cast<Duration>(24h) / 9300;
constexpr int Changes = 20;
/// The gossip of a common start of 300 proxies has ended after this time.
constexpr Duration SettleTime = 5min;

struct Deployment {
  std::string Name;
  std::vector<std::string> Zones;
  Duration WithinRegion;
  std::string Service;
};

struct Figures {
  double InForceMs = 0; ///< From the operator's command until the last member has it; worst of all changes.
  double AnswerMs = 0;  ///< Until the operator is told so; worst of all changes.
  double BytesPerNodeS = 0;         ///< Sent by proxies to each other and exchanged with the store.
  double SettingsBytesPerNodeS = 0; ///< The part above what the fleet sends without changes.
  double StoreCallsPerS = 0;
  std::size_t ObjectBytes = 0; ///< Of settings/tree, halfway between the first and the last change.
};

std::string readFile(const std::string &name) {
  std::ifstream in(name);
  std::ostringstream out;
  out << in.rdbuf();
  return out.str();
}

std::uint64_t bytes(const Fleet &fleet) { return fleet.BytesSent + fleet.StoreBytes; }

double ms(Duration value) { return static_cast<double>(value.count()) / 1000; }

/// Bytes per node and second over a length of time.
double rate(const Fleet &fleet, std::uint64_t before, Duration length) {
  return static_cast<double>(bytes(fleet) - before) / static_cast<double>(fleet.size()) / (ms(length) / 1000);
}

FleetOptions options(const Deployment &deployment, std::size_t nodes, const std::string &tree,
                     std::uint64_t seed) {
  FleetOptions out;
  out.Nodes = nodes;
  out.AvailabilityZones = deployment.Zones;
  out.WithinRegion = deployment.WithinRegion;
  out.Seed = seed;
  out.Tree = tree;
  return out;
}

Figures measureTree(const Deployment &deployment, std::size_t nodes, const std::string &tree,
                    std::uint64_t seed) {
  Fleet fleet(options(deployment, nodes, tree, seed));
  fleet.startAll();
  fleet.runFor(SettleTime);
  Figures out;
  auto before = bytes(fleet);
  fleet.runFor(ChangeInterval * Changes);
  auto idle = rate(fleet, before, ChangeInterval * Changes);
  before = bytes(fleet);
  auto calls = fleet.Store.Calls;
  auto started = fleet.Now;
  for (int i = 0; i < Changes; ++i) {
    auto at = fleet.Now;
    auto revision = static_cast<std::uint64_t>(i) + 1;
    json body = {{"revision", revision}, {"change_id", "c" + std::to_string(i)},
                 {"author", "measure"},  {"path", "/" + deployment.Name + "/" + deployment.Service},
                 {"key", "read.wait"},   {"value", std::to_string(20 + i) + "ms"},
                 {"wait", true}};
    auto id = fleet.admin(static_cast<std::size_t>(i) % nodes, "settings.set", body.dump());
    if (!fleet.runUntil([&] { return fleet.allHave(revision + 1); }, ChangeInterval))
      std::cerr << "revision " << revision + 1 << " was not in force everywhere in time\n";
    out.InForceMs = std::max(out.InForceMs, ms(fleet.Now - at));
    fleet.runUntil([&] { return fleet.Replies.contains(id); }, 10s);
    out.AnswerMs = std::max(out.AnswerMs, ms(fleet.Now - at));
    fleet.runFor(at + ChangeInterval - fleet.Now);
  }
  out.BytesPerNodeS = rate(fleet, before, fleet.Now - started);
  out.SettingsBytesPerNodeS = out.BytesPerNodeS - idle;
  out.ObjectBytes = (tree.size() + fleet.Store.object(std::string(SettingsKey)).Value.size()) / 2;
  out.StoreCallsPerS = static_cast<double>(fleet.Store.Calls - calls) / (ms(fleet.Now - started) / 1000);
  return out;
}

/// Value at the size of the design by the straight line through the figures of the two largest fleets. A cost
/// per node that falls with the size is taken to stay as it is at the largest fleet.
double atDesignSize(const std::vector<double> &values) {
  auto slope = (values[2] - values[1]) / static_cast<double>(Sizes[2] - Sizes[1]);
  return values[2] + std::max(0.0, slope) * (DesignNodes - static_cast<double>(Sizes[2]));
}

void print(const std::string &name, const std::string &deployment, double value, double baseline,
           const std::string &unit, const json &target, const json &more) {
  auto rounded = [](double it) { return std::round(it * 10) / 10; };
  json line = {
      {"name", name}, {"deployment", deployment}, {"value", rounded(value)}, {"baseline", rounded(baseline)},
      {"unit", unit}, {"target", target}};
  line.update(more);
  std::cout << line.dump() << "\n";
}

void measure(const Deployment &deployment, const std::string &tree, std::uint64_t seed) {
  std::vector<double> times;
  std::size_t objectBytes = 0;
  std::vector<double> costs;
  for (auto nodes : Sizes) {
    auto figures = measureTree(deployment, nodes, tree, seed);
    auto base =
        everyProxyWatches(options(deployment, nodes, tree, seed), ChangeInterval, figures.ObjectBytes);
    objectBytes = figures.ObjectBytes;
    times.push_back(figures.InForceMs);
    costs.push_back(figures.BytesPerNodeS);
    print("settings_in_force_ms", deployment.Name, figures.InForceMs, base.InForceMs, "ms", TargetMs,
          {{"nodes", nodes}, {"operator_told_ms", std::round(figures.AnswerMs * 10) / 10}});
    print("settings_bytes_per_node_s", deployment.Name, figures.BytesPerNodeS, base.BytesPerNodeS, "B/s",
          TargetBytes,
          {{"nodes", nodes},
           {"of_which_changes", std::round(figures.SettingsBytesPerNodeS * 10) / 10},
           {"store_calls_per_s", std::round(figures.StoreCallsPerS * 100) / 100},
           {"baseline_store_calls_per_s", std::round(base.StoreCallsPerS * 100) / 100}});
  }
  auto base = everyProxyWatches(options(deployment, static_cast<std::size_t>(DesignNodes), tree, seed),
                                ChangeInterval, objectBytes);
  print("settings_in_force_ms", deployment.Name, atDesignSize(times), base.InForceMs, "ms", TargetMs,
        {{"nodes", DesignNodes}, {"by_slope", true}});
  print("settings_bytes_per_node_s", deployment.Name, atDesignSize(costs), base.BytesPerNodeS, "B/s",
        TargetBytes, {{"nodes", DesignNodes}, {"by_slope", true}});
}

} // namespace

int main(int argc, char **argv) {
  if (argc != 3) {
    std::cerr << "usage: rosemaryhinge-spread SETTINGS_FOLDER SEED\n"
                 "Example: rosemaryhinge-spread scripts/settings 1\n";
    return 2;
  }
  const std::array<Deployment, 2> deployments = {
      Deployment{"paalisoft", {"etela-a", "lansi-a", "pohjoinen-a"}, 1500us, "merchant-db"},
      Deployment{"openraad", {"noord-gron", "randstad-utr", "zuid-ein"}, 500us, "portaal-kern"}};
  for (const auto &it : deployments) {
    auto tree = readFile(std::string(argv[1]) + "/" + it.Name + ".yaml");
    if (tree.empty()) {
      std::cerr << "cannot read " << argv[1] << "/" << it.Name << ".yaml\n";
      return 2;
    }
    measure(it, tree, std::stoull(argv[2]));
  }
  return 0;
}
