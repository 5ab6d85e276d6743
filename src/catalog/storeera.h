// Era of the platform's store, as this proxy knows it.
//
// The era rises when the store comes back from an older copy. What was written since the copy was taken is
// gone then, the claims of changes of primary included: a proxy may still act on a claim that nobody can read
// any more. So a new claim waits until the present era has been known for longer than any claim is acted on.

#pragma once

#include "base/time.h"

#include <cstdint>

namespace rosemaryhinge {

class StoreEra {
public:
  /// Records an era that the store, or another proxy, has named; 0 names none. Returns whether the store has
  /// been restored since an earlier call.
  bool observe(std::uint64_t era, TimePoint now) {
    if (era <= Current)
      return false;
    const bool restored = Current > 0;
    Current = era;
    Since = now;
    return restored;
  }
  [[nodiscard]] std::uint64_t current() const { return Current; }
  /// Whether the present era has been known for this long, or the store names none.
  [[nodiscard]] bool knownFor(Duration time, TimePoint now) const {
    return Current == 0 || now - Since >= time;
  }

private:
  std::uint64_t Current = 0;
  TimePoint Since;
};

} // namespace rosemaryhinge
