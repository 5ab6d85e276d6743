// Builds the lookup from the nodes of a tree.

#include "settings/internal/policytable.h"

namespace rosemaryhinge::detail {

PolicyTable::PolicyTable(const SettingsNode &root) {
  for (const auto &it : effectiveNodes(root)) {
    if (it.Node->Kind == NodeKind::Root) {
      Root = it.Values;
    } else if (it.Node->Kind == NodeKind::Service) {
      Services.push_back({it.Values, {}});
      for (const auto &name : it.Node->Databases) {
        ServiceOf[name.Database] = Services.size() - 1;
        Databases.push_back(name.Database);
      }
    } else if (it.Node->Kind == NodeKind::Class) {
      // Classes follow their service, because parents come first.
      Services.back().Classes[ClassName(it.Node->Name)] = it.Values.Class;
    }
  }
}

const ClassPolicy &PolicyTable::classPolicy(const DatabaseId &database, const ClassName &name) const {
  auto it = ServiceOf.find(database);
  if (it == ServiceOf.end())
    return Root.Class;
  const auto &service = Services[it->second];
  auto found = service.Classes.find(name);
  return found == service.Classes.end() ? service.Values.Class : found->second;
}

const DatabasePolicy &PolicyTable::databasePolicy(const DatabaseId &database) const {
  auto it = ServiceOf.find(database);
  return it == ServiceOf.end() ? Root.Database : Services[it->second].Values.Database;
}

} // namespace rosemaryhinge::detail
