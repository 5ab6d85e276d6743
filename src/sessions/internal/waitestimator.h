// Expected waiting time in a queue of statements, from the rate at which earlier ones were started.
//
// Under overload a statement that will not be started in time is refused on arrival: it costs its caller
// nothing, and the caller can try again elsewhere.

#pragma once

#include "base/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>

namespace rosemaryhinge::detail {

class WaitEstimator {
public:
  void onQueued(std::uint32_t priority, TimePoint now);
  void onRemoved(std::uint32_t priority);
  /// A queued statement was sent to a server.
  void onStarted(TimePoint now);
  /// Expected wait of a new statement behind those of the same or a higher priority (a lower number). Zero if
  /// the queue has not been observed for long enough, or if none was started lately: then a fault holds them
  /// up, whose end is not known.
  [[nodiscard]] Duration expected(std::uint32_t priority, TimePoint now) const;

  /// Statements are queued without regard to the estimate up to this number.
  static constexpr std::size_t MinQueue = 4;
  static constexpr Duration MinObservation = 300ms;
  static constexpr Duration Window = 1s;

private:
  static constexpr std::size_t Slots = 10;
  static constexpr Duration SlotLength = Window / Slots;
  struct Slot {
    std::int64_t Number = -1; ///< Time since the epoch in units of SlotLength.
    std::size_t Started = 0;
  };
  [[nodiscard]] static std::int64_t slotNumber(TimePoint at) { return at.time_since_epoch() / SlotLength; }

  std::map<std::uint32_t, std::size_t> Queued; ///< Number by priority.
  std::size_t Total = 0;
  TimePoint BusySince; ///< When the queue last became non-empty.
  std::array<Slot, Slots> Recent;
};

} // namespace rosemaryhinge::detail
