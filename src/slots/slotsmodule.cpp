// Claiming, holding and giving up slots.

#include "slots/slotsmodule.h"

#include "protocol/changeid.h"
#include "slots/candidates.h"
#include "slots/internal/slotsstate.h"

#include <algorithm>

namespace rosemaryhinge {

using detail::DatabaseSlots;
using detail::HeldSlot;
using detail::SlotRecord;
using detail::SlotsState;
using detail::SlotTable;
using SlotKey = detail::ConnectionPool::SlotKey;

namespace {

constexpr Duration TickInterval = 200ms;
constexpr Duration PlatformTimeout = 2s;
constexpr Duration ClaimTimeout = 2s;
constexpr Duration ClaimRetryInterval = 500ms;
constexpr Duration MinReadInterval = 2s;
/// A proxy that is not in the order of a server gives its slot back no sooner than this after taking it.
constexpr Duration RebalanceInterval = 10s;
/// Reads of slot tables by the whole fleet stay below this, out of about 2,000 reads a second of the store.
constexpr std::int64_t MaxFleetReadsPerSecond = 200;
/// Updates of slot tables by the whole fleet stay below this, out of several hundred writes a second of the
/// store: when an availability zone goes, thousands of slots move and promotions need the rest.
constexpr std::int64_t MaxFleetWritesPerSecond = 200;
/// Connections being opened to one server at a time; more would only add load while it is slow.
constexpr std::uint32_t MaxOpening = 4;

std::string keyOf(const DatabaseId &database) { return "slots/" + database.str(); }

std::optional<DatabaseId> databaseOfKey(const std::string &key) {
  constexpr std::string_view Prefix = "slots/";
  if (!key.starts_with(Prefix))
    return std::nullopt;
  return DatabaseId(key.substr(Prefix.size()));
}

bool isOwn(const Context &ctx, const SlotRecord &record) {
  return record.Holder == ctx.Self.Node && record.Incarnation == ctx.Incarnation;
}

/// Free for a takeover: nobody holds it, its holder died, or this node held it before a restart.
bool isFree(const Context &ctx, const IMembers &members, const SlotRecord &record) {
  if (record.Holder.empty())
    return true;
  if (record.Holder == ctx.Self.Node)
    return record.Incarnation != ctx.Incarnation;
  return members.isDead(record.Holder);
}

/// How many slots of the server this proxy should hold: slot r goes to the r-th proxy of the order, and the
/// order starts again if there are fewer proxies than slots.
std::uint32_t slotShare(const Context &ctx, const std::vector<NodeId> &order, std::uint32_t slots) {
  std::uint32_t out = 0;
  if (order.empty())
    return 0;
  for (std::uint32_t it = 0; it < slots; ++it)
    if (order[it % order.size()] == ctx.Self.Node)
      ++out;
  return out;
}

void removeHeldSlot(Context &ctx, SlotsState &state, const SlotKey &slot) {
  state.Pool.closeSlot(ctx, slot, true);
  state.Held.erase(slot);
  ctx.emit(Log{
      LogLevel::Info, "slot given up", {{"target", slot.Target.str()}, {"slot", std::to_string(slot.Slot)}}});
}

/// Takes over a table and brings the held slots in line with it.
void applyTable(Context &ctx, SlotsState &state, const DatabaseId &database, SlotTable table) {
  auto &db = state.Databases[database];
  if (db.Table && db.Table->Version >= table.Version)
    return;
  for (const auto &[target, records] : table.Targets) {
    state.DatabaseOf[target] = database;
    for (std::uint32_t n = 0; n < records.size(); ++n) {
      SlotKey slot{target, n};
      auto it = state.Held.find(slot);
      bool own = isOwn(ctx, records[n]);
      if (it != state.Held.end() && (!own || it->second.Generation != records[n].Generation))
        removeHeldSlot(ctx, state, slot);
      if (own && !state.Held.contains(slot))
        state.Held[slot] = HeldSlot{records[n].Generation, false, false, ctx.Now};
    }
  }
  db.Table = std::move(table);
}

void notifyCandidates(Context &ctx, const DatabaseSlots &db, const DatabaseId &database,
                      const SlotTable &table) {
  for (const auto &it : db.Candidates)
    if (it != ctx.Self.Node)
      ctx.emit(SendToPeer{it, ObjectChanged{keyOf(database), table.Version, formatSlotTable(table)}});
}

void putTable(Context &ctx, DatabaseSlots &db, const DatabaseId &database, SlotTable next) {
  next.ChangeId = makeChangeId(ctx);
  auto call = ctx.call(Module::Slots);
  ctx.emit(
      PlatformCall{call, PlatformTimeout, PutObject{keyOf(database), next.Version, formatSlotTable(next)}});
  db.PendingChange = detail::SlotChange{std::move(next), call};
}

void readTable(Context &ctx, DatabaseSlots &db, const DatabaseId &database) {
  db.Read = ctx.call(Module::Slots);
  ctx.emit(PlatformCall{*db.Read, PlatformTimeout, GetObject{keyOf(database)}});
}

Duration readInterval(std::size_t databases) {
  auto fleetReads = static_cast<std::int64_t>(databases * CandidatesPerDatabase);
  return std::max<Duration>(MinReadInterval, std::chrono::seconds(fleetReads / MaxFleetReadsPerSecond));
}

/// Gives slots in the next table to this proxy, up to its share of each server.
bool claimFreeSlots(Context &ctx, const SlotsState &state, const Group &group, const IMembers &members,
                    const std::vector<Member> &live, SlotTable &next) {
  bool changed = false;
  for (const auto &server : group.Servers) {
    auto &records = next.Targets[server.Target];
    if (records.size() < server.Slots) {
      records.resize(server.Slots);
      changed = true;
    }
    auto wanted = slotShare(ctx, slotOrder(server, live), server.Slots);
    auto held = static_cast<std::uint32_t>(
        std::count_if(records.begin(), records.end(), [&](const auto &it) { return isOwn(ctx, it); }));
    if (state.Leaving)
      continue;
    for (auto &it : records) {
      if (held >= wanted)
        break;
      if (!isFree(ctx, members, it))
        continue;
      it = SlotRecord{ctx.Self.Node, ctx.Incarnation, it.Generation + 1};
      ++held;
      changed = true;
    }
  }
  return changed;
}

/// Frees the slots that are being given up and have no connection left.
bool freeReleasedSlots(Context &ctx, SlotsState &state, const DatabaseId &database, SlotTable &next) {
  bool changed = false;
  for (auto &[slot, held] : state.Held) {
    if (!held.Releasing || state.DatabaseOf[slot.Target] != database)
      continue;
    state.Pool.closeSlot(ctx, slot, false);
    if (state.Pool.counts(slot).Total > 0)
      continue;
    auto &record = next.Targets[slot.Target].at(slot.Slot);
    if (!isOwn(ctx, record))
      continue;
    record.Holder = NodeId();
    changed = true;
  }
  return changed;
}

/// Marks one slot above this proxy's share, so that a new proxy gets it.
void rebalance(Context &ctx, SlotsState &state, DatabaseSlots &db, const Group &group,
               const std::vector<Member> &live) {
  if (ctx.Now < db.NextRebalance || state.Leaving)
    return;
  db.NextRebalance = ctx.Now + RebalanceInterval;
  for (const auto &server : group.Servers) {
    auto wanted = slotShare(ctx, slotOrder(server, live), server.Slots);
    std::uint32_t held = 0;
    for (std::uint32_t n = 0; n < server.Slots; ++n)
      if (auto it = state.Held.find({server.Target, n}); it != state.Held.end() && !it->second.Releasing) {
        ++held;
        if (held > wanted && ctx.Now > it->second.HeldSince + RebalanceInterval) {
          it->second.Releasing = true;
          return;
        }
      }
  }
}

void claimAtServer(Context &ctx, SlotsState &state, const SlotKey &slot, const HeldSlot &held) {
  auto [it, added] = state.ClaimRetryAt.try_emplace(slot, ctx.Now);
  if (ctx.Now < it->second)
    return;
  it->second = ctx.Now + ClaimTimeout + ClaimRetryInterval;
  auto call = ctx.call(Module::Slots);
  state.Claims[call] = {slot, held.Generation};
  ctx.emit(ControlCall{call, slot.Target, ClaimTimeout, ClaimSlot{slot.Slot, held.Generation}});
}

void openWarmConnections(Context &ctx, SlotsState &state, const SlotKey &slot, const HeldSlot &held,
                         std::uint32_t warm) {
  if (ctx.Now < state.Pool.retryAt(slot.Target))
    return;
  auto limit = std::min(warm, state.ConnectionsPerSlot[slot.Target]);
  for (auto n = state.Pool.counts(slot).Total; n < limit; ++n)
    state.Pool.open(ctx, slot, held.Generation);
}

void maintainHeldSlots(Context &ctx, SlotsState &state, const IPolicies &policies) {
  for (auto &[slot, held] : state.Held) {
    const auto &policy = policies.databasePolicy(state.DatabaseOf[slot.Target]);
    state.ConnectionsPerSlot[slot.Target] = policy.SlotConnections;
    if (held.Releasing)
      continue;
    held.Claimed = held.Claimed || !ctx.Rules.SlotLimit;
    if (!held.Claimed)
      claimAtServer(ctx, state, slot, held);
    else
      openWarmConnections(ctx, state, slot, held, policy.WarmConnections);
  }
}

/// Only candidates hold slots, so that ordering them costs the same in a fleet of any size.
std::vector<Member> candidateMembers(const DatabaseSlots &db, const IMembers &members) {
  std::vector<Member> out;
  for (const auto &it : db.Candidates)
    if (const auto *member = members.find(it))
      out.push_back(*member);
  return out;
}

void maintainDatabase(Context &ctx, SlotsState &state, const GroupView &view, const IMembers &members,
                      const CandidateIndex &candidates, Duration interval) {

  const auto &database = view.Group.Database;
  auto &db = state.Databases[database];
  bool candidate = candidates.ownDatabases().contains(database);
  db.Candidates = candidates.candidatesOf(database);
  const auto live = candidateMembers(db, members);
  if (!db.Read && ctx.Now >= db.NextRead && (candidate || db.PendingChange)) {
    db.NextRead = ctx.Now + interval;
    readTable(ctx, db, database);
  }
  if (!db.Table || db.PendingChange || db.Read)
    return;
  rebalance(ctx, state, db, view.Group, live);
  auto next = *db.Table;
  bool changed = candidate && claimFreeSlots(ctx, state, view.Group, members, live, next);
  changed = freeReleasedSlots(ctx, state, database, next) || changed;
  // A leaving proxy has little time, and few leave at once.
  if (!changed || (ctx.Now < state.NextPut && !state.Leaving))
    return;
  state.NextPut = ctx.Now + std::chrono::microseconds(1s) * static_cast<std::int64_t>(members.live().size()) /
                                MaxFleetWritesPerSecond;
  putTable(ctx, db, database, std::move(next));
}

/// A read that answers for an update without a known outcome settles it.
void resolvePendingChange(Context &ctx, DatabaseSlots &db, const DatabaseId &database) {
  if (!db.PendingChange || db.PendingChange->Call)
    return;
  bool applied = db.Table && db.Table->ChangeId == db.PendingChange->NewTable.ChangeId;
  ctx.emit(CountRetry{applied ? RetryReason::StoreFailure : RetryReason::StoreConflict});
  if (applied)
    notifyCandidates(ctx, db, database, *db.Table);
  // An update that was not seen may still arrive late. It then carries the version read here and takes a slot
  // for this incarnation, which adopt() recognises, so nothing is lost by forgetting it.
  db.PendingChange.reset();
}

void onRead(Context &ctx, SlotsState &state, const DatabaseId &database, const PlatformAnswer &event) {
  auto &db = state.Databases[database];
  db.Read.reset();
  const auto *value = std::get_if<ObjectValue>(&event.Result);
  if (value == nullptr)
    return;
  if (value->Version == 0) {
    if (!db.Table)
      db.Table = SlotTable{};
  } else if (auto table = detail::parseSlotTable(value->Value)) {
    table->Version = value->Version;
    applyTable(ctx, state, database, std::move(*table));
  } else {
    ctx.emit(Log{LogLevel::Error, "platform object does not parse", {{"key", value->Key}}});
    ctx.emit(Count{"platform_objects_invalid_total"});
    return;
  }
  resolvePendingChange(ctx, db, database);
}

void onPut(Context &ctx, SlotsState &state, const DatabaseId &database, const PlatformAnswer &event) {
  auto &db = state.Databases[database];
  if (const auto *done = std::get_if<PutDone>(&event.Result)) {
    auto table = std::move(db.PendingChange->NewTable);
    db.PendingChange.reset();
    table.Version = done->Version;
    notifyCandidates(ctx, db, database, table);
    applyTable(ctx, state, database, std::move(table));
    return;
  }
  if (std::holds_alternative<PutConflict>(event.Result)) {
    ctx.emit(CountRetry{RetryReason::StoreConflict});
    db.PendingChange.reset();
  } else {
    db.PendingChange->Call.reset();
  }
  db.NextRead = ctx.Now;
}

} // namespace

SlotsModule::SlotsModule() : State(std::make_unique<SlotsState>()) {}
SlotsModule::~SlotsModule() = default;
SlotsModule::SlotsModule(SlotsModule &&) noexcept = default;
SlotsModule &SlotsModule::operator=(SlotsModule &&) noexcept = default;

void SlotsModule::onPlatformAnswer(Context &ctx, const IPolicies &policies, const PlatformAnswer &event) {
  for (auto &[database, db] : State->Databases) {
    if (db.Read == event.Call)
      onRead(ctx, *State, database, event);
    else if (db.PendingChange && db.PendingChange->Call == event.Call)
      onPut(ctx, *State, database, event);
  }
  maintainHeldSlots(ctx, *State, policies);
}

void SlotsModule::onObjectChanged(Context &ctx, const ObjectChanged &message) {
  auto database = databaseOfKey(message.Key);
  if (!database || message.Version == 0)
    return;
  if (auto table = detail::parseSlotTable(message.Value)) {
    table->Version = message.Version;
    applyTable(ctx, *State, *database, std::move(*table));
  }
}

void SlotsModule::onControlAnswer(Context &ctx, const IPolicies &policies, const ControlAnswer &event) {
  auto it = State->Claims.find(event.Call);
  if (it == State->Claims.end())
    return;
  auto claim = it->second;
  State->Claims.erase(it);
  auto held = State->Held.find(claim.Slot);
  if (held == State->Held.end() || held->second.Generation != claim.Generation)
    return;
  State->ClaimRetryAt[claim.Slot] = ctx.Now + ClaimRetryInterval;
  if (const auto *failure = std::get_if<ControlFailure>(&event.Result)) {
    // Refused: another proxy has claimed a higher generation. The table tells who.
    if (failure->Error == ControlError::Refused)
      State->Databases[State->DatabaseOf[claim.Slot.Target]].NextRead = ctx.Now;
    return;
  }
  held->second.Claimed = true;
  ctx.emit(Log{LogLevel::Info,
               "slot claimed",
               {{"target", claim.Slot.Target.str()},
                {"slot", std::to_string(claim.Slot.Slot)},
                {"generation", std::to_string(claim.Generation)}}});
  maintainHeldSlots(ctx, *State, policies);
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
  auto interval = readInterval(policies.databases().size());
  // A proxy that stopped being a candidate still has slots to give back.
  auto databases = candidates.ownDatabases();
  for (const auto &[slot, held] : State->Held)
    databases.insert(State->DatabaseOf[slot.Target]);
  for (const auto &database : databases)
    if (const auto *view = groups.find(database))
      maintainDatabase(ctx, *State, *view, members, candidates, interval);
  maintainHeldSlots(ctx, *State, policies);
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
  for (auto it = State->Held.lower_bound({target, 0}); it != State->Held.end() && it->first.Target == target;
       ++it)
    if (it->second.Claimed && !it->second.Releasing)
      out += per->second;
  return out;
}

std::uint32_t SlotsModule::busy(const TargetId &target) const {
  std::uint32_t out = 0;
  for (auto it = State->Held.lower_bound({target, 0}); it != State->Held.end() && it->first.Target == target;
       ++it)
    out += State->Pool.counts(it->first).Busy;
  return out;
}

std::optional<ConnectionId> SlotsModule::acquire(Context &ctx, const TargetId &target) {
  auto limit = State->ConnectionsPerSlot[target];
  bool mayOpen = ctx.Now >= State->Pool.retryAt(target);
  const SlotKey *opening = nullptr;
  for (auto it = State->Held.lower_bound({target, 0}); it != State->Held.end() && it->first.Target == target;
       ++it) {
    const auto &[slot, held] = *it;
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
