// Connection pool.

#include "slots/internal/connectionpool.h"

#include <algorithm>

namespace rosemaryhinge::detail {

namespace {

constexpr Duration FirstBackoff = 50ms;
constexpr Duration MaxBackoff = 1s;
constexpr std::uint32_t MaxBackoffDoublings = 5;

} // namespace

void ConnectionPool::open(Context &ctx, const SlotKey &slot, std::uint64_t generation) {
  ConnectionId connection{ctx.nextNumber()};
  Connections[connection] = {slot.Target, slot.Slot, PooledConnection::Phase::Opening};
  auto &numbers = Slots[slot].ConnectionCounts;
  ++numbers.Total;
  ++numbers.Opening;
  ctx.emit(OpenConnection{connection, slot.Target, slot.Slot, generation});
}

void ConnectionPool::opened(Context &ctx, ConnectionId connection) {
  auto it = Connections.find(connection);
  if (it == Connections.end()) {
    ctx.emit(CloseConnection{connection});
    return;
  }
  auto &pooled = it->second;
  Backoffs.erase(pooled.Target);
  if (pooled.State != PooledConnection::Phase::Opening)
    return;
  removeFromPhase(connection, pooled);
  pooled.State = PooledConnection::Phase::Idle;
  Slots[{pooled.Target, pooled.Slot}].Idle.push_back(connection);
}

void ConnectionPool::closed(Context &ctx, ConnectionId connection) {
  auto it = Connections.find(connection);
  if (it == Connections.end())
    return;
  auto &pooled = it->second;
  if (pooled.State != PooledConnection::Phase::Closing) {
    auto &backoff = Backoffs[pooled.Target];
    auto doublings = std::min(backoff.Failures, MaxBackoffDoublings);
    backoff.RetryAt = ctx.Now + std::min<Duration>(FirstBackoff * (1U << doublings), MaxBackoff);
    ++backoff.Failures;
  }
  removeFromPhase(connection, pooled);
  --Slots[{pooled.Target, pooled.Slot}].ConnectionCounts.Total;
  Connections.erase(it);
}

void ConnectionPool::release(Context &ctx, ConnectionId connection, bool stateUnknown) {
  auto it = Connections.find(connection);
  if (it == Connections.end() || it->second.State != PooledConnection::Phase::Busy)
    return;
  auto &pooled = it->second;
  if (stateUnknown) {
    close(ctx, connection, pooled);
    return;
  }
  removeFromPhase(connection, pooled);
  pooled.State = PooledConnection::Phase::Idle;
  Slots[{pooled.Target, pooled.Slot}].Idle.push_back(connection);
}

void ConnectionPool::closeSlot(Context &ctx, const SlotKey &slot, bool all) {
  for (auto &[id, it] : Connections)
    if (it.Target == slot.Target && it.Slot == slot.Slot &&
        (all || it.State != PooledConnection::Phase::Busy))
      close(ctx, id, it);
}

std::optional<ConnectionId> ConnectionPool::takeIdle(const SlotKey &slot) {
  auto it = Slots.find(slot);
  if (it == Slots.end() || it->second.Idle.empty())
    return std::nullopt;
  auto connection = it->second.Idle.back();
  it->second.Idle.pop_back();
  ++it->second.ConnectionCounts.Busy;
  Connections.at(connection).State = PooledConnection::Phase::Busy;
  return connection;
}

std::optional<ConnectionId> ConnectionPool::anyBusy(const SlotKey &slot) const {
  for (const auto &[id, it] : Connections)
    if (it.Target == slot.Target && it.Slot == slot.Slot && it.State == PooledConnection::Phase::Busy)
      return id;
  return std::nullopt;
}

ConnectionPool::Counts ConnectionPool::counts(const SlotKey &slot) const {
  auto it = Slots.find(slot);
  return it == Slots.end() ? Counts{} : it->second.ConnectionCounts;
}

const PooledConnection *ConnectionPool::find(ConnectionId connection) const {
  auto it = Connections.find(connection);
  return it == Connections.end() ? nullptr : &it->second;
}

TimePoint ConnectionPool::retryAt(const TargetId &target) const {
  auto it = Backoffs.find(target);
  return it == Backoffs.end() ? TimePoint::min() : it->second.RetryAt;
}

void ConnectionPool::close(Context &ctx, ConnectionId connection, PooledConnection &pooled) {
  if (pooled.State == PooledConnection::Phase::Closing)
    return;
  removeFromPhase(connection, pooled);
  pooled.State = PooledConnection::Phase::Closing;
  ctx.emit(CloseConnection{connection});
}

void ConnectionPool::removeFromPhase(ConnectionId connection, const PooledConnection &pooled) {
  auto &slot = Slots[{pooled.Target, pooled.Slot}];
  switch (pooled.State) {
  case PooledConnection::Phase::Opening:
    --slot.ConnectionCounts.Opening;
    break;
  case PooledConnection::Phase::Busy:
    --slot.ConnectionCounts.Busy;
    break;
  case PooledConnection::Phase::Idle:
    std::erase(slot.Idle, connection);
    break;
  case PooledConnection::Phase::Closing:
    break;
  }
}

} // namespace rosemaryhinge::detail
