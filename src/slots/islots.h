// Slots and pooled connections as other modules use them.

#pragma once

#include "protocol/context.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace rosemaryhinge {

class ISlots {
public:
  virtual ~ISlots() = default;

  /// True if this proxy holds a slot of the server and may give it work.
  [[nodiscard]] virtual bool holds(const TargetId &target) const = 0;
  /// Proxies other than this one that hold a slot of the server, by the last known record.
  [[nodiscard]] virtual std::vector<NodeId> otherHolders(const DatabaseId &database,
                                                         const TargetId &target) const = 0;
  /// Number of connections that this proxy may have to the server.
  [[nodiscard]] virtual std::uint32_t capacity(const TargetId &target) const = 0;
  /// Connections given out.
  [[nodiscard]] virtual std::uint32_t busy(const TargetId &target) const = 0;
  /// Gives out an idle connection. If there is none, starts to open one within the capacity and returns none;
  /// the reducer asks again when a connection was opened or released.
  virtual std::optional<ConnectionId> acquire(Context &ctx, const TargetId &target) = 0;
  /// Takes a connection back. A doubtful one is closed: its state is not known.
  virtual void release(Context &ctx, ConnectionId connection, bool stateUnknown) = 0;
  /// Server of a connection, also while it is closing.
  [[nodiscard]] virtual std::optional<TargetId> targetOf(ConnectionId connection) const = 0;
};

} // namespace rosemaryhinge
