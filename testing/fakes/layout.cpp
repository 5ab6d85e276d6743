// The two deployments of the design page.

#include "fakes/layout.h"

#include <stdexcept>

namespace rosemaryhinge::fakes {

Duration Layout::latency(const Place &a, const Place &b) const {
  if (a.AvailabilityZone == b.AvailabilityZone)
    return WithinZone;
  return a.Region == b.Region ? BetweenZones : BetweenRegions;
}

std::string Layout::settingsTree() const {
  std::string databases;
  for (const auto &it : Groups)
    databases += (databases.empty() ? "" : ", ") + it.Database.str();
  return "groups:\n"
         "  " +
         Deployment +
         ":\n"
         "    settings:\n"
         "      slots.connections: " +
         std::to_string(SlotConnections) +
         "\n"
         "    services:\n"
         "      " +
         Service +
         ":\n"
         "        databases: [" +
         databases +
         "]\n"
         "        classes:\n"
         "          default: {}\n"
         "          fast:\n"
         "            settings: {acknowledge.strength: primary}\n"
         "          repeatable:\n"
         "            settings: {repeatable: true}\n";
}

Layout makeLayout(const std::string &deployment, std::size_t nodes, std::size_t databases,
                  std::size_t servers) {
  Layout out;
  out.Deployment = deployment;
  if (deployment == "paalisoft") {
    out.Service = "merchant-db";
    out.Places = {{AvailabilityZone("etela-a"), Region("etela")},
                  {AvailabilityZone("lansi-a"), Region("lansi")},
                  {AvailabilityZone("pohjoinen-a"), Region("pohjoinen")}};
    out.BetweenZones = 1500us;
    out.ToCallers = 1ms;
    out.ConnectTime = 10ms;
    out.SlotConnections = 20;
  } else if (deployment == "openraad") {
    out.Service = "portaal-kern";
    out.Places = {{AvailabilityZone("noord-gron"), Region("noord")},
                  {AvailabilityZone("randstad-utr"), Region("randstad")},
                  {AvailabilityZone("zuid-ein"), Region("zuid")}};
    out.BetweenZones = 500us;
    out.ToCallers = 3ms;
    out.ConnectTime = 30ms;
    out.SlotConnections = 40;
  } else {
    throw std::invalid_argument("unknown deployment " + deployment);
  }
  out.BetweenRegions = 12ms;
  for (std::size_t n = 0; n < nodes; ++n) {
    const auto &place = out.Places[n % out.Places.size()];
    NodeConfig node;
    node.Node = NodeId("proxy" + std::to_string(n));
    node.AvailabilityZone = place.AvailabilityZone;
    node.Region = place.Region;
    node.PeerAddress = "proxy" + std::to_string(n) + ":7000";
    out.Nodes.push_back(std::move(node));
  }
  for (auto &node : out.Nodes)
    for (std::size_t n = 0; n < out.Nodes.size() && n < 3; ++n)
      if (out.Nodes[n].Node != node.Node)
        node.Seeds.push_back({out.Nodes[n].Node, out.Nodes[n].PeerAddress});
  for (std::size_t n = 0; n < databases; ++n) {
    Group group;
    group.Database = DatabaseId("db" + std::to_string(n));
    group.Term = 1;
    group.ChangeId = "initial";
    group.History = {{1, 0}};
    for (std::size_t k = 0; k < servers; ++k) {
      const auto &place = out.Places[(n + k) % out.Places.size()];
      GroupServer server;
      server.Target = TargetId(group.Database.str() + "-" + std::string(1, static_cast<char>('a' + k)));
      server.Address = server.Target.str() + ":5432";
      server.AvailabilityZone = place.AvailabilityZone;
      server.Region = place.Region;
      group.Servers.push_back(std::move(server));
    }
    group.Primary = group.Servers.front().Target;
    out.Groups.push_back(std::move(group));
  }
  return out;
}

} // namespace rosemaryhinge::fakes
