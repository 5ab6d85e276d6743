// Reads and updates of slot tables in the store, and tables that other proxies announce. A newer table
// decides which slots this proxy holds.

#include "slots/internal/tablestore.h"

#include "protocol/changeid.h"
#include "slots/internal/heldslots.h"

namespace rosemaryhinge::detail {

namespace {

constexpr Duration PlatformTimeout = 2s;

std::string keyOf(const DatabaseId &database) { return "slots/" + database.str(); }

std::optional<DatabaseId> databaseOfKey(const std::string &key) {
  constexpr std::string_view Prefix = "slots/";
  if (!key.starts_with(Prefix))
    return std::nullopt;
  return DatabaseId(key.substr(Prefix.size()));
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

/// A read that answers for an update without a known outcome settles it.
void resolvePendingChange(Context &ctx, DatabaseSlots &db, const DatabaseId &database) {
  if (!db.PendingChange || db.PendingChange->Call)
    return;
  bool applied = db.Table && db.Table->ChangeId == db.PendingChange->NewTable.ChangeId;
  ctx.emit(CountRetry{applied ? RetryReason::StoreFailure : RetryReason::StoreConflict});
  if (applied)
    notifyCandidates(ctx, db, database, *db.Table);
  // An update that was not seen may still arrive late. It then carries the version read here and takes a slot
  // for this incarnation, which applyTable() recognises, so nothing is lost by forgetting it.
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
  } else if (auto table = parseSlotTable(value->Value)) {
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

bool isOwn(const Context &ctx, const SlotRecord &record) {
  return record.Holder == ctx.Self.Node && record.Incarnation == ctx.Incarnation;
}

void readTable(Context &ctx, DatabaseSlots &db, const DatabaseId &database) {
  db.Read = ctx.call(Module::Slots);
  ctx.emit(PlatformCall{*db.Read, PlatformTimeout, GetObject{keyOf(database)}});
}

void putTable(Context &ctx, DatabaseSlots &db, const DatabaseId &database, SlotTable next) {
  next.ChangeId = makeChangeId(ctx);
  auto call = ctx.call(Module::Slots);
  ctx.emit(
      PlatformCall{call, PlatformTimeout, PutObject{keyOf(database), next.Version, formatSlotTable(next)}});
  db.PendingChange = SlotChange{std::move(next), call};
}

void onTableAnswer(Context &ctx, SlotsState &state, const PlatformAnswer &event) {
  for (auto &[database, db] : state.Databases) {
    if (db.Read == event.Call)
      onRead(ctx, state, database, event);
    else if (db.PendingChange && db.PendingChange->Call == event.Call)
      onPut(ctx, state, database, event);
  }
}

void onTableChanged(Context &ctx, SlotsState &state, const ObjectChanged &message) {
  auto database = databaseOfKey(message.Key);
  if (!database || message.Version == 0)
    return;
  if (auto table = parseSlotTable(message.Value)) {
    table->Version = message.Version;
    applyTable(ctx, state, *database, std::move(*table));
  }
}

} // namespace rosemaryhinge::detail
