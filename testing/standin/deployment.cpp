// Set-up of the stand-in.

#include "standin/deployment.h"

#include <nlohmann/json.hpp>
#include <stdexcept>
#include <yaml-cpp/yaml.h>

namespace rosemaryhinge::standin {

namespace {

nlohmann::json toJson(const YAML::Node &node) {
  if (node.IsMap()) {
    auto out = nlohmann::json::object();
    for (const auto &it : node)
      out[it.first.as<std::string>()] = toJson(it.second);
    return out;
  }
  if (node.IsSequence()) {
    auto out = nlohmann::json::array();
    for (const auto &it : node)
      out.push_back(toJson(it));
    return out;
  }
  if (!node.IsScalar())
    return nullptr;
  if (bool value = false; node.Tag() != "!" && YAML::convert<bool>::decode(node, value))
    return value;
  if (std::int64_t value = 0; node.Tag() != "!" && YAML::convert<std::int64_t>::decode(node, value))
    return value;
  return node.Scalar();
}

std::vector<TimedFault> readScript(const YAML::Node &node) {
  std::vector<TimedFault> out;
  for (const auto &it : node) {
    auto arguments = it["with"] ? toJson(it["with"]) : nlohmann::json::object();
    out.push_back({std::chrono::milliseconds(it["at_ms"].as<std::int64_t>()), it["fault"].as<std::string>(),
                   arguments.dump()});
  }
  return out;
}

void readMs(const YAML::Node &node, std::chrono::milliseconds &out) {
  if (node)
    out = std::chrono::milliseconds(node.as<std::int64_t>());
}

} // namespace

Deployment namedDeployment(const std::string &name) {
  using std::chrono::milliseconds;
  Deployment out;
  out.Name = name;
  if (name == "paalisoft") {
    out.Databases = {"merchant-db-1", "merchant-db-2", "merchant-db-3"};
    out.Locations = {{"etela-a", "etela"}, {"lansi-a", "lansi"}, {"pohjoinen-a", "pohjoinen"}};
  } else if (name == "openraad") {
    out.Databases = {"portaal-kern-1", "portaal-kern-2", "portaal-kern-3"};
    out.Locations = {{"noord-gron", "noord"}, {"randstad-utr", "randstad"}, {"zuid-ein", "zuid"}};
    out.SlotConnections = 40;
    out.ConnectDelay = milliseconds(30);
  } else {
    throw std::runtime_error("unknown deployment: " + name);
  }
  return out;
}

Deployment loadDeployment(const std::string &file) {
  try {
    auto root = YAML::LoadFile(file);
    auto out = namedDeployment(root["deployment"].as<std::string>());
    out.Port = root["port"].as<std::uint16_t>(0);
    out.SettingsFile = root["settings"].as<std::string>("");
    out.Vms = root["vms"].as<std::vector<std::string>>(std::vector<std::string>{});
    out.InitialSql = root["initial_sql"].as<std::vector<std::string>>(std::vector<std::string>{});
    readMs(root["replication_lag_ms"], out.Lag);
    readMs(root["connect_delay_ms"], out.ConnectDelay);
    readMs(root["vm_list_lag_ms"], out.VmListLag);
    out.Script = readScript(root["script"]);
    return out;
  } catch (const YAML::Exception &error) {
    throw std::runtime_error(file + ": " + error.what());
  }
}

std::vector<TimedFault> loadScript(const std::string &file) {
  try {
    return readScript(YAML::LoadFile(file));
  } catch (const YAML::Exception &error) {
    throw std::runtime_error(file + ": " + error.what());
  }
}

} // namespace rosemaryhinge::standin
