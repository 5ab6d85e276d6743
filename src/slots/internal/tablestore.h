// Reads and updates of slot tables in the store, and tables that other proxies announce.

#pragma once

#include "slots/internal/slotsstate.h"

namespace rosemaryhinge::detail {

/// Whether this incarnation of this proxy holds the slot.
[[nodiscard]] bool isOwn(const Context &ctx, const SlotRecord &record);
/// Starts to read the table of a database.
void readTable(Context &ctx, DatabaseSlots &db, const DatabaseId &database);
/// Starts to update the table of a database, if the store still holds the version of the given table.
void putTable(Context &ctx, DatabaseSlots &db, const DatabaseId &database, SlotTable next);
/// Handles the answer to a read or an update. Ignores answers to other calls.
void onTableAnswer(Context &ctx, SlotsState &state, const PlatformAnswer &event);
/// Takes over a table that another proxy announces.
void onTableChanged(Context &ctx, SlotsState &state, const ObjectChanged &message);

} // namespace rosemaryhinge::detail
