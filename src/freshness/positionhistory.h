// Recent log positions of a primary, used to decide which position a replica must have reached to serve a
// read within its staleness bound.
//
// The primary reports each position inside a transaction, which it rejects once it is no longer the leader. A
// sample therefore covers every commit that was acknowledged before the request for it was sent, including
// commits acknowledged through other proxies.

#pragma once

#include "base/position.h"
#include "base/time.h"

#include <deque>
#include <optional>

namespace rosemaryhinge {

class PositionHistory {
public:
  /// Records the position that the primary returned for a request sent at sentAt.
  void add(Position at, TimePoint sentAt);
  /// Returns the smallest sampled position that covers all commits acknowledged before the given time, or
  /// nullopt if no sample was requested at or after that time.
  [[nodiscard]] std::optional<Position> smallestCovering(TimePoint acknowledgedBefore) const;
  /// Time at which the request for the newest sample was sent.
  [[nodiscard]] std::optional<TimePoint> newestRequestTime() const;

  /// Age relative to the newest sample beyond which a sample is dropped. Newer samples cover more commits.
  static constexpr Duration Retention = 10s;
  /// Minimum interval between stored samples. Closer ones replace the newest sample, which bounds the number
  /// kept.
  static constexpr Duration MinSpacing = 20ms;

private:
  struct Sample {
    Position At;
    TimePoint SentAt;
  };
  std::deque<Sample> Samples; ///< Ordered by SentAt.
};

} // namespace rosemaryhinge
