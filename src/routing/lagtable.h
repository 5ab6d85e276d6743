// Estimates the replication lag of each replica.

#pragma once

#include "groups/grouptable.h"

#include <map>
#include <optional>

namespace rosemaryhinge {

/// An estimate changes only while its replica is observed behind the primary.
/// The provable age of a replica's position exceeds the lag by up to one sampling interval of the primary, so
/// the estimate drops to a lower observation at once and rises slowly.
class LagTable {
public:
  /// Updates the estimate from the latest sample of a replica. A sample is counted once.
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
