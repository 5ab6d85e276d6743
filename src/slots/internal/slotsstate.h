// State of the slots module.

#pragma once

#include "slots/internal/connectionpool.h"
#include "slots/internal/slottable.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace rosemaryhinge::detail {

using SlotKey = ConnectionPool::SlotKey;

/// A change of slots/<database> on its way to the platform.
struct SlotChange {
  SlotTable NewTable;
  std::optional<CallId> Call; ///< None while the outcome of a failed call is being read back.
};

struct DatabaseSlots {
  std::optional<SlotTable> Table; ///< Last known; none before the first reading.
  std::optional<SlotChange> PendingChange;
  std::optional<CallId> Read;
  TimePoint NextRead;
  TimePoint NextRebalance;
  std::vector<NodeId> Candidates; ///< Proxies that look after the database, in order.
};

struct ClaimCall {
  SlotKey Slot;
  std::uint64_t Generation = 0;
};

struct SlotsState {
  std::map<DatabaseId, DatabaseSlots> Databases;
  std::map<TargetId, DatabaseId> DatabaseOf;
  /// Slots that the last known table gives to this incarnation of this proxy.
  std::map<SlotKey, HeldSlot> Held;
  std::map<CallId, ClaimCall> Claims;
  std::map<SlotKey, TimePoint> ClaimRetryAt;
  std::map<TargetId, std::uint32_t> ConnectionsPerSlot;
  ConnectionPool Pool;
  bool Leaving = false;
  TimePoint NextPut; ///< No table is updated before this time.
  std::optional<TimePoint> NextTimer;
};

} // namespace rosemaryhinge::detail
