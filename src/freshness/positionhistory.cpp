// History of sampled log positions of a primary.

#include "freshness/positionhistory.h"

#include <algorithm>

namespace rosemaryhinge {

void PositionHistory::add(Position at, TimePoint sentAt) {
  const auto later = std::upper_bound(Samples.begin(), Samples.end(), sentAt,
                                      [](TimePoint time, const Sample &it) { return time < it.SentAt; });
  const bool last = later == Samples.end();
  if (last && Samples.size() > 1 && sentAt - Samples[Samples.size() - 2].SentAt < MinSpacing)
    Samples.back() = {at, sentAt};
  else
    Samples.insert(later, {at, sentAt});
  while (Samples.back().SentAt - Samples.front().SentAt > Retention)
    Samples.pop_front();
}

std::optional<Position> PositionHistory::smallestCovering(TimePoint acknowledgedBefore) const {
  std::optional<Position> out;
  for (auto it = Samples.rbegin(); it != Samples.rend() && it->SentAt >= acknowledgedBefore; ++it)
    if (!out || it->At < *out)
      out = it->At;
  return out;
}

std::optional<TimePoint> PositionHistory::newestRequestTime() const {
  if (Samples.empty())
    return std::nullopt;
  return Samples.back().SentAt;
}

} // namespace rosemaryhinge
