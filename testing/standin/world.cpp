// Both outside systems in one process.

#include "standin/world.h"

#include "standin/faults.h"
#include "standin/stats.h"

#include <array>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>
#include <openssl/rand.h>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace rosemaryhinge::standin {

namespace {

constexpr std::string_view FaultPrefix = "/faults/";
constexpr std::size_t KeyBytes = 32;

std::string randomBase64() {
  std::array<unsigned char, KeyBytes> bytes{};
  if (RAND_bytes(bytes.data(), KeyBytes) != 1)
    throw std::runtime_error("no random bytes for the session key");
  std::array<unsigned char, KeyBytes * 2> text{};
  auto n = EVP_EncodeBlock(text.data(), bytes.data(), KeyBytes);
  return {text.begin(), text.begin() + n};
}

std::string readFile(const std::string &file) {
  if (file.empty())
    return "";
  std::ifstream in(file, std::ios::binary);
  if (!in)
    throw std::runtime_error("cannot read " + file);
  std::ostringstream out;
  out << in.rdbuf();
  return out.str();
}

} // namespace

World::World(asio::io_context &io, Deployment deployment)
    : Io(io), Setup(std::move(deployment)), Platform(io),
      Http(io, Setup.Port,
           [this](const HttpRequest &request, const HttpReply &reply) { handle(request, reply); }) {
  Platform.Vms.Lag = Setup.VmListLag;
  for (std::size_t i = 0; i < Setup.Databases.size(); ++i)
    addDatabase(i);
  putObjects();
  runScript();
}

void World::addDatabase(std::size_t index) {
  const auto &name = Setup.Databases[index];
  std::vector<TargetId> targets;
  for (std::size_t i = 0; i < Setup.Locations.size(); ++i)
    targets.emplace_back(name + "-s" + std::to_string(i + 1));
  auto primary = index % targets.size();
  auto &group = *Groups.emplace_back(
      std::make_unique<DatabaseGroup>(Io, DatabaseId(name), targets, primary, Setup.SlotConnections));
  Group object;
  object.Database = group.database();
  object.Term = 1;
  object.Primary = targets[primary];
  object.History = {{1, 0}};
  for (std::size_t i = 0; i < targets.size(); ++i) {
    auto &server = *group.servers()[i];
    server.Lag = Setup.Lag;
    server.ConnectDelay = Setup.ConnectDelay;
    auto offset = 1 + Servers.size();
    auto port = Setup.Port == 0 ? std::uint16_t{0} : static_cast<std::uint16_t>(Setup.Port + offset);
    Servers.push_back({&server, std::make_unique<PgListener>(Io, port, server), Setup.Locations[i]});
    object.Servers.push_back({targets[i], "127.0.0.1:" + std::to_string(Servers.back().Listener->port()),
                              AvailabilityZone(Setup.Locations[i].AvailabilityZone),
                              Region(Setup.Locations[i].Region)});
    Platform.Vms.set(targets[i].str(), false, VmList::Clock::now() - Setup.VmListLag);
  }
  if (!Setup.InitialSql.empty())
    group.initialise(Setup.InitialSql);
  Platform.Store.put("groups/" + name, 0, formatGroup(object));
}

void World::putObjects() {
  for (const auto &it : Setup.Vms)
    Platform.Vms.set(it, false, VmList::Clock::now() - Setup.VmListLag);
  Platform.Store.put("settings/tree", 0, readFile(Setup.SettingsFile));
  nlohmann::json keys = {{"current", "k1"}, {"keys", {{"k1", randomBase64()}}}};
  Platform.Store.put("keys/session", 0, keys.dump());
}

void World::runScript() {
  for (const auto &it : Setup.Script) {
    auto &timer = *Timers.emplace_back(std::make_unique<asio::steady_timer>(Io, it.At));
    timer.async_wait([this, it](std::error_code) {
      auto error = applyFault(*this, it.Name, it.Arguments);
      std::cerr << "fault=" << it.Name << " arguments=" << it.Arguments << " error=\"" << error << "\"\n";
    });
  }
}

void World::handle(const HttpRequest &request, const HttpReply &reply) {
  if (PlatformApi::owns(request))
    return Platform.handle(request, reply);
  if (request.Path == "/stats")
    return reply({200, formatStats(*this), {{"Content-Type", "application/json"}}});
  if (request.Path.starts_with(FaultPrefix) && request.Method == "POST") {
    auto error = applyFault(*this, request.Path.substr(FaultPrefix.size()), request.Body);
    return reply({error.empty() ? 200 : 400, error.empty() ? "ok\n" : error + "\n", {}});
  }
  reply({404, "no such path\n", {}});
}

World::Server *World::find(const std::string &target) {
  for (auto &it : Servers) {
    if (it.Database->Target.str() == target)
      return &it;
  }
  return nullptr;
}

World::Server *World::primary(const std::string &database) {
  Server *out = nullptr;
  for (auto &it : Servers) {
    if (it.Database->Primary && it.Database->Target.str().starts_with(database + "-s") &&
        (out == nullptr || out->Database->Office < it.Database->Office))
      out = &it;
  }
  return out;
}

} // namespace rosemaryhinge::standin
