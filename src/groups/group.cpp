// JSON serialization of groups.

#include "groups/group.h"

#include "json/jsonparse.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace rosemaryhinge {

namespace {

constexpr std::size_t MaxServers = 64;

nlohmann::json toJson(const GroupServer &server) {
  return {{"target", server.Target.str()},
          {"address", server.Address},
          {"availability_zone", server.AvailabilityZone.str()},
          {"region", server.Region.str()},
          {"slots", server.Slots}};
}

GroupServer serverFromJson(const nlohmann::json &json) {
  GroupServer out;
  out.Target = TargetId(json.at("target").get<std::string>());
  out.Address = json.at("address").get<std::string>();
  out.AvailabilityZone = AvailabilityZone(json.at("availability_zone").get<std::string>());
  out.Region = Region(json.at("region").get<std::string>());
  out.Slots = json.value("slots", 3U);
  return out;
}

} // namespace

const GroupServer *Group::find(const TargetId &target) const {
  auto it = std::find_if(Servers.begin(), Servers.end(), [&](const auto &s) { return s.Target == target; });
  return it == Servers.end() ? nullptr : &*it;
}

std::string formatGroup(const Group &group) {
  nlohmann::json out = {{"database", group.Database.str()},
                        {"term", group.Term},
                        {"phase", group.State == Group::Phase::Done ? "done" : "ordered"},
                        {"primary", group.Primary.str()},
                        {"orderer", group.Orderer.str()},
                        {"change_id", group.ChangeId},
                        {"servers", nlohmann::json::array()},
                        {"history", nlohmann::json::array()}};
  for (const auto &server : group.Servers)
    out["servers"].push_back(toJson(server));
  for (const auto &[term, start] : group.History)
    out["history"].push_back({term, start});
  return out.dump();
}

std::optional<Group> parseGroup(std::string_view text) {
  try {
    auto json = parseJson(text);
    Group out;
    out.Database = DatabaseId(json.at("database").get<std::string>());
    out.Term = json.at("term").get<Term>();
    auto phase = json.at("phase").get<std::string>();
    if (phase != "done" && phase != "ordered")
      return std::nullopt;
    out.State = phase == "done" ? Group::Phase::Done : Group::Phase::Ordered;
    out.Primary = TargetId(json.at("primary").get<std::string>());
    out.Orderer = NodeId(json.value("orderer", ""));
    out.ChangeId = json.value("change_id", "");
    for (const auto &it : json.at("servers"))
      out.Servers.push_back(serverFromJson(it));
    for (const auto &it : json.at("history"))
      out.History.push_back({it.at(0).get<Term>(), it.at(1).get<Lsn>()});
    if (out.Servers.empty() || out.Servers.size() > MaxServers)
      return std::nullopt;
    return out;
  } catch (const std::exception &) {
    return std::nullopt;
  }
}

} // namespace rosemaryhinge
