// Slots as other modules use them: passes events to the parts of the module, and gives out connections of the
// held slots.

#include "slots/slotsmodule.h"

#include "slots/internal/allocation.h"
#include "slots/internal/heldslots.h"
#include "slots/internal/slotsstate.h"
#include "slots/internal/tablestore.h"

#include <algorithm>
#include <map>

namespace rosemaryhinge {

using detail::SlotKey;
using detail::SlotsState;

namespace {

constexpr Duration TickInterval = 200ms;
/// Connections being opened to one server at a time; more would only add load while it is slow.
constexpr std::uint32_t MaxOpening = 4;

/// The held slots of one server, in the order of their numbers.
class HeldSlotRange {
public:
  HeldSlotRange(const SlotsState &state, const TargetId &target)
      : Begin(state.Held.lower_bound({target, 0})), End(Begin) {
    while (End != state.Held.end() && End->first.Target == target)
      ++End;
  }

  [[nodiscard]] auto begin() const { return Begin; }
  [[nodiscard]] auto end() const { return End; }

private:
  std::map<SlotKey, detail::HeldSlot>::const_iterator Begin;
  std::map<SlotKey, detail::HeldSlot>::const_iterator End;
};

} // namespace

SlotsModule::SlotsModule() : State(std::make_unique<SlotsState>()) {}
SlotsModule::~SlotsModule() = default;
SlotsModule::SlotsModule(SlotsModule &&) noexcept = default;
SlotsModule &SlotsModule::operator=(SlotsModule &&) noexcept = default;

void SlotsModule::onPlatformAnswer(Context &ctx, const IPolicies &policies, const PlatformAnswer &event) {
  detail::onTableAnswer(ctx, *State, event);
  detail::maintainHeldSlots(ctx, *State, policies);
}

void SlotsModule::onObjectChanged(Context &ctx, const ObjectChanged &message) {
  detail::onTableChanged(ctx, *State, message);
}

void SlotsModule::onControlAnswer(Context &ctx, const IPolicies &policies, const ControlAnswer &event) {
  detail::onClaimAnswer(ctx, *State, policies, event);
}

void SlotsModule::onConnectionOpened(Context &ctx, const ConnectionOpened &event) {
  State->Pool.opened(ctx, event.Connection);
}

void SlotsModule::onConnectionClosed(Context &ctx, const ConnectionClosed &event) {
  State->Pool.closed(ctx, event.Connection);
}

void SlotsModule::onTimer(Context &ctx, const IPolicies &policies, const GroupTable &groups,
                          const IMembers &members, const CandidateIndex &candidates) {
  if (State->NextTimer && ctx.Now < *State->NextTimer)
    return;
  State->NextTimer = ctx.Now + TickInterval;
  auto interval = detail::readInterval(policies.databases().size());
  // A proxy that stopped being a candidate still has slots to give back.
  auto databases = candidates.ownDatabases();
  for (const auto &[slot, held] : State->Held)
    databases.insert(State->DatabaseOf[slot.Target]);
  for (const auto &database : databases)
    if (const auto *view = groups.find(database))
      detail::maintainDatabase(ctx, *State, *view, members, candidates, interval);
  detail::maintainHeldSlots(ctx, *State, policies);
}

void SlotsModule::startLeaving(Context &ctx) {
  State->Leaving = true;
  for (auto &[slot, held] : State->Held)
    held.Releasing = true;
  State->NextTimer = ctx.Now;
}

bool SlotsModule::releasedAllSlots() const { return State->Held.empty(); }

bool SlotsModule::holds(const TargetId &target) const { return capacity(target) > 0; }

std::vector<NodeId> SlotsModule::otherHolders(const DatabaseId &database, const TargetId &target) const {
  auto db = State->Databases.find(database);
  if (db == State->Databases.end())
    return {};
  std::vector<NodeId> out;
  if (!db->second.Table)
    return db->second.Candidates;
  auto records = db->second.Table->Targets.find(target);
  if (records == db->second.Table->Targets.end())
    return {};
  for (std::uint32_t n = 0; n < records->second.size(); ++n) {
    const auto &holder = records->second[n].Holder;
    if (!holder.empty() && !State->Held.contains({target, n}) &&
        std::find(out.begin(), out.end(), holder) == out.end())
      out.push_back(holder);
  }
  return out;
}

std::uint32_t SlotsModule::capacity(const TargetId &target) const {
  std::uint32_t out = 0;
  auto per = State->ConnectionsPerSlot.find(target);
  if (per == State->ConnectionsPerSlot.end())
    return 0;
  for (const auto &[slot, held] : HeldSlotRange(*State, target))
    if (held.Claimed && !held.Releasing)
      out += per->second;
  return out;
}

std::uint32_t SlotsModule::busy(const TargetId &target) const {
  std::uint32_t out = 0;
  for (const auto &[slot, held] : HeldSlotRange(*State, target))
    out += State->Pool.counts(slot).Busy;
  return out;
}

std::optional<ConnectionId> SlotsModule::acquire(Context &ctx, const TargetId &target) {
  auto limit = State->ConnectionsPerSlot[target];
  bool mayOpen = ctx.Now >= State->Pool.retryAt(target);
  const SlotKey *opening = nullptr;
  for (const auto &[slot, held] : HeldSlotRange(*State, target)) {
    if (held.Releasing || !held.Claimed)
      continue;
    if (auto connection = State->Pool.takeIdle(slot))
      return connection;
    if (!ctx.Rules.TransactionIsolation)
      if (auto connection = State->Pool.anyBusy(slot))
        return connection;
    auto counts = State->Pool.counts(slot);
    bool room = counts.Total < limit || !ctx.Rules.SlotLimit;
    if (mayOpen && room && counts.Opening < MaxOpening && opening == nullptr)
      opening = &slot;
  }
  if (opening != nullptr)
    State->Pool.open(ctx, *opening, State->Held.at(*opening).Generation);
  return std::nullopt;
}

void SlotsModule::release(Context &ctx, ConnectionId connection, bool stateUnknown) {
  const auto *pooled = State->Pool.find(connection);
  if (pooled == nullptr)
    return;
  auto held = State->Held.find({pooled->Target, pooled->Slot});
  // A connection of a slot that is no longer held must not be used again.
  State->Pool.release(ctx, connection, stateUnknown || held == State->Held.end());
  if (held != State->Held.end() && held->second.Releasing)
    State->NextTimer = ctx.Now;
}

std::optional<TargetId> SlotsModule::targetOf(ConnectionId connection) const {
  const auto *pooled = State->Pool.find(connection);
  if (pooled == nullptr)
    return std::nullopt;
  return pooled->Target;
}

std::optional<TimePoint> SlotsModule::nextTimer() const { return State->NextTimer; }

} // namespace rosemaryhinge
