// Lookup of effective policies by database and class.

#pragma once

#include "settings/effective.h"

#include <map>
#include <vector>

namespace rosemaryhinge::detail {

class PolicyTable {
public:
  PolicyTable() = default;
  explicit PolicyTable(const SettingsNode &root);

  [[nodiscard]] const ClassPolicy &classPolicy(const DatabaseId &database, const ClassName &name) const;
  [[nodiscard]] const DatabasePolicy &databasePolicy(const DatabaseId &database) const;
  [[nodiscard]] const std::vector<DatabaseId> &databases() const { return Databases; }
  [[nodiscard]] const TreePolicy &treePolicy() const { return Root.Tree; }

private:
  struct Service {
    EffectiveSettings Values;
    std::map<ClassName, ClassPolicy> Classes;
  };

  EffectiveSettings Root;
  std::vector<Service> Services;
  std::map<DatabaseId, std::size_t> ServiceOf;
  std::vector<DatabaseId> Databases;
};

} // namespace rosemaryhinge::detail
