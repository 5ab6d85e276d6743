// Allocation of slots: each candidate proxy takes free slots up to its share of a server, and gives back one
// slot at a time above it.

#include "slots/internal/allocation.h"

#include "slots/candidates.h"
#include "slots/internal/tablestore.h"

#include <algorithm>
#include <chrono>

namespace rosemaryhinge::detail {

namespace {

constexpr Duration MinReadInterval = 2s;
/// A proxy that is not in the order of a server gives its slot back no sooner than this after taking it.
constexpr Duration RebalanceInterval = 10s;
/// Reads of slot tables by the whole fleet stay below this, out of about 2,000 reads a second of the store.
constexpr std::int64_t MaxFleetReadsPerSecond = 200;
/// Updates of slot tables by the whole fleet stay below this, out of several hundred writes a second of the
/// store: when an availability zone goes, thousands of slots move and promotions need the rest.
constexpr std::int64_t MaxFleetWritesPerSecond = 200;

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

/// Only candidates hold slots, so that ordering them costs the same in a fleet of any size.
std::vector<Member> candidateMembers(const DatabaseSlots &db, const IMembers &members) {
  std::vector<Member> out;
  for (const auto &it : db.Candidates)
    if (const auto *member = members.find(it))
      out.push_back(*member);
  return out;
}

} // namespace

Duration readInterval(std::size_t databases) {
  auto fleetReads = static_cast<std::int64_t>(databases * CandidatesPerDatabase);
  return std::max<Duration>(MinReadInterval, std::chrono::seconds(fleetReads / MaxFleetReadsPerSecond));
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

} // namespace rosemaryhinge::detail
