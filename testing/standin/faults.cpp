// Faults by name.

#include "standin/faults.h"

#include "standin/world.h"

#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace rosemaryhinge::standin {

namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr std::int64_t MaxDelayMs = 600'000;

milliseconds readMs(const Json &json, const char *name) {
  auto value = json.at(name).get<std::int64_t>();
  if (value < 0 || value > MaxDelayMs)
    throw std::runtime_error(std::string(name) + " must be between 0 and 600000");
  return milliseconds(value);
}

/// The servers that the arguments name: "server", or the primary of "database", or all if neither is given.
std::vector<World::Server *> serversOf(World &world, const Json &json) {
  std::vector<World::Server *> out;
  if (!json.contains("server") && !json.contains("database")) {
    for (auto &it : world.servers())
      out.push_back(&it);
    return out;
  }
  out.push_back(json.contains("server") ? world.find(json["server"].get<std::string>())
                                        : world.primary(json["database"].get<std::string>()));
  if (out.front() == nullptr)
    throw std::runtime_error("no such server or database");
  return out;
}

void cut(World::Server &it, bool fromProxies, bool fromServers) {
  it.Database->CutFromServers = fromServers;
  auto over = it.Database->CutFromProxies && !fromProxies;
  it.Database->CutFromProxies = fromProxies;
  if (over)
    it.Listener->resume();
}

void storeDown(World &world, const Json &json) { world.platform().Faults.Down = json.value("on", true); }

void storeSlow(World &world, const Json &json) { world.platform().Faults.Delay = readMs(json, "delay_ms"); }

void storeLoseAnswer(World &world, const Json &json) {
  world.platform().Faults.LoseAnswers = json.value("count", 1U);
}

void cutServers(World &world, const Json &json) {
  auto on = json.value("on", true);
  for (auto *it : serversOf(world, json))
    cut(*it, on && json.value("proxies", true), on && json.value("servers", true));
}

void stopServers(World &world, const Json &json) {
  for (auto *it : serversOf(world, json))
    it->Listener->stop();
}

void startServers(World &world, const Json &json) {
  for (auto *it : serversOf(world, json))
    it->Listener->start();
}

void setLag(World &world, const Json &json) {
  for (auto *it : serversOf(world, json))
    it->Database->Lag = readMs(json, "ms");
}

void setConnectDelay(World &world, const Json &json) {
  for (auto *it : serversOf(world, json))
    it->Database->ConnectDelay = readMs(json, "ms");
}

/// Names a VM: a server by its target, or a proxy. "listed" alone changes only the platform's list.
void setLeaving(World &world, const Json &json) {
  auto vm = json.at("vm").get<std::string>();
  auto on = json.value("on", true);
  if (auto *it = world.find(vm); it != nullptr && json.value("status", true))
    it->Database->Leaving = on;
  auto now = VmList::Clock::now();
  if (json.value("removed", false))
    world.platform().Vms.remove(vm, now);
  else if (json.value("listed", true))
    world.platform().Vms.set(vm, on, now);
}

void reset(World &world, const Json & /*json*/) {
  world.platform().Faults = {};
  for (auto &it : world.servers()) {
    cut(it, false, false);
    it.Listener->start();
    it.Database->Lag = world.deployment().Lag;
    it.Database->ConnectDelay = world.deployment().ConnectDelay;
    if (std::exchange(it.Database->Leaving, false))
      world.platform().Vms.set(it.Database->Target.str(), false, VmList::Clock::now());
  }
}

const std::map<std::string, std::function<void(World &, const Json &)>> &faults() {
  static const std::map<std::string, std::function<void(World &, const Json &)>> Table = {
      {"store_down", storeDown},
      {"store_slow", storeSlow},
      {"store_lose_answer", storeLoseAnswer},
      {"cut", cutServers},
      {"stop", stopServers},
      {"start", startServers},
      {"lag", setLag},
      {"connect_delay", setConnectDelay},
      {"leaving", setLeaving},
      {"reset", reset},
  };
  return Table;
}

} // namespace

std::string applyFault(World &world, const std::string &name, const std::string &arguments) {
  auto it = faults().find(name);
  if (it == faults().end())
    return "no such fault: " + name;
  try {
    it->second(world, arguments.empty() ? Json::object() : Json::parse(arguments));
  } catch (const std::exception &error) {
    return error.what();
  }
  return "";
}

} // namespace rosemaryhinge::standin
