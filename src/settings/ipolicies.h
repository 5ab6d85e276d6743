// Effective settings as other modules read them.

#pragma once

#include "protocol/policy.h"

#include <cstdint>
#include <vector>

namespace rosemaryhinge {

class IPolicies {
public:
  virtual ~IPolicies() = default;

  /// Policy of a request class; an unknown class has the policy of the service.
  [[nodiscard]] virtual const ClassPolicy &classPolicy(const DatabaseId &database,
                                                       const ClassName &name) const = 0;
  [[nodiscard]] virtual const DatabasePolicy &databasePolicy(const DatabaseId &database) const = 0;
  /// All databases that the settings tree names.
  [[nodiscard]] virtual const std::vector<DatabaseId> &databases() const = 0;
  /// Revision in force; 0 before the first.
  [[nodiscard]] virtual std::uint64_t revision() const = 0;
};

} // namespace rosemaryhinge
