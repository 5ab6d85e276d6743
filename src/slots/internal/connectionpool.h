// Connections to the servers of which this proxy holds slots.

#pragma once

#include "protocol/context.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace rosemaryhinge::detail {

/// A slot held by this proxy. Connections are opened only once Claimed: the server then refuses older
/// holders.
struct HeldSlot {
  std::uint64_t Generation = 0;
  bool Claimed = false;
  bool Releasing = false; ///< Gets no new work; goes back once its connections are idle.
  TimePoint HeldSince;
};

struct PooledConnection {
  enum class Phase : std::uint8_t { Opening, Idle, Busy, Closing };

  TargetId Target;
  std::uint32_t Slot = 0;
  Phase State = Phase::Opening;
};

/// Connections count towards their slot from the request to open them until they are reported closed.
class ConnectionPool {
public:
  struct SlotKey {
    TargetId Target;
    std::uint32_t Slot = 0;

    auto operator<=>(const SlotKey &) const = default;
  };

  /// Numbers of connections of one slot. Total includes those that are closing.
  struct Counts {
    std::uint32_t Total = 0;
    std::uint32_t Opening = 0;
    std::uint32_t Busy = 0;
  };

  /// Opens a connection of the slot. The caller has checked the limit.
  void open(Context &ctx, const SlotKey &slot, std::uint64_t generation);
  void opened(Context &ctx, ConnectionId connection);
  void closed(Context &ctx, ConnectionId connection);
  void release(Context &ctx, ConnectionId connection, bool stateUnknown);
  /// Closes the idle and opening connections of a slot, and also the busy ones if All.
  void closeSlot(Context &ctx, const SlotKey &slot, bool all);

  /// Takes an idle connection of the slot.
  std::optional<ConnectionId> takeIdle(const SlotKey &slot);
  /// Any busy connection of the slot; used only while the isolation rule is switched off.
  [[nodiscard]] std::optional<ConnectionId> anyBusy(const SlotKey &slot) const;
  [[nodiscard]] Counts counts(const SlotKey &slot) const;
  [[nodiscard]] const PooledConnection *find(ConnectionId connection) const;
  /// No connection is opened to the server before this time: the last attempts failed.
  [[nodiscard]] TimePoint retryAt(const TargetId &target) const;

private:
  struct Backoff {
    TimePoint RetryAt;
    std::uint32_t Failures = 0;
  };
  struct SlotConnections {
    Counts ConnectionCounts;
    std::vector<ConnectionId> Idle; ///< Most recently used last; it is taken first.
  };

  void close(Context &ctx, ConnectionId connection, PooledConnection &pooled);
  void removeFromPhase(ConnectionId connection, const PooledConnection &pooled);

  std::map<ConnectionId, PooledConnection> Connections;
  std::map<SlotKey, SlotConnections> Slots;
  std::map<TargetId, Backoff> Backoffs;
};

} // namespace rosemaryhinge::detail
