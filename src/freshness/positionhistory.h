// Which log position proves that a read is fresh enough.
//
// A sample is a position that the primary gave inside a transaction which it refuses once it has lost the
// lead. It holds every commit that was acknowledged before the request for it was sent, through whichever
// proxy.

#pragma once

#include "base/position.h"
#include "base/time.h"

#include <deque>
#include <optional>

namespace rosemaryhinge {

class PositionHistory {
public:
  /// The primary was at a position when it answered a request that was sent at a time.
  void add(Position at, TimePoint sentAt);
  /// The smallest known position that holds all commits acknowledged before a time. None if no sample is
  /// that young.
  [[nodiscard]] std::optional<Position> smallestCovering(TimePoint acknowledgedBefore) const;
  /// When the request for the newest sample was sent.
  [[nodiscard]] std::optional<TimePoint> newestRequestTime() const;

  /// Samples older than this are dropped: a younger one proves more.
  static constexpr Duration Retention = 10s;
  /// Samples closer together than this replace one another, which bounds their number.
  static constexpr Duration MinSpacing = 20ms;

private:
  struct Sample {
    Position At;
    TimePoint SentAt;
  };
  std::deque<Sample> Samples; ///< Ordered by SentAt.
};

} // namespace rosemaryhinge
