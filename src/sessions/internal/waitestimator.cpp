// Expected waiting time in a queue of statements.

#include "sessions/internal/waitestimator.h"

#include <algorithm>

namespace rosemaryhinge::detail {

void WaitEstimator::onQueued(std::uint32_t priority, TimePoint now) {
  if (Total == 0)
    BusySince = now;
  ++Total;
  ++Queued[priority];
}

void WaitEstimator::onRemoved(std::uint32_t priority) {
  const auto it = Queued.find(priority);
  if (it == Queued.end())
    return;
  --Total;
  if (--it->second == 0)
    Queued.erase(it);
}

void WaitEstimator::onStarted(TimePoint now) {
  const auto number = slotNumber(now);
  auto &slot = Recent[static_cast<std::size_t>(number) % Slots];
  if (slot.Number != number)
    slot = {number, 0};
  ++slot.Started;
}

Duration WaitEstimator::expected(std::uint32_t priority, TimePoint now) const {
  std::size_t ahead = 0;
  for (auto it = Queued.begin(); it != Queued.end() && it->first <= priority; ++it)
    ahead += it->second;
  const auto observed = std::min<Duration>(now - BusySince, Window);
  if (ahead < MinQueue || observed < MinObservation)
    return {};
  const auto oldest = slotNumber(now - observed);
  std::size_t started = 0;
  for (const auto &it : Recent)
    if (it.Number >= oldest)
      started += it.Started;
  if (started == 0)
    return {};
  return observed * static_cast<std::int64_t>(ahead) / static_cast<std::int64_t>(started);
}

} // namespace rosemaryhinge::detail
