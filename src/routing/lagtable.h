// Estimated delay of each replica behind its primary.

#pragma once

#include "groups/grouptable.h"

#include <map>
#include <optional>

namespace rosemaryhinge {

/// Updated only while a replica is seen behind the primary.
/// The proven age of a replica's position is the lag plus up to one interval between samples of the primary,
/// so the estimate follows the low end of what is seen and rises slowly.
class LagTable {
public:
  /// Takes the known state of a replica into account, once for each sample of it.
  void update(const GroupTable &groups, const GroupView &view, const TargetId &target,
              const TargetView &replica);
  [[nodiscard]] std::optional<Duration> find(const TargetId &target) const;

private:
  struct Estimate {
    TimePoint SampledAt;
    Duration Lag{};
  };
  std::map<TargetId, Estimate> Estimates;
};

} // namespace rosemaryhinge
