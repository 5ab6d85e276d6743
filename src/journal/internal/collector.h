// Collecting records: counters into summaries, records to the two owners.

#pragma once

#include "journal/internal/journalstate.h"
#include "membership/imembers.h"

namespace rosemaryhinge::detail {

/// Keeps an entry as a record, or counts it if it is a refusal or a retry.
void keep(JournalState &state, Context &ctx, const JournalEntry &entry);
/// Writes the counters of the last minute into one record.
void summarise(JournalState &state, Context &ctx);
/// The two members that collect records.
[[nodiscard]] std::vector<NodeId> owners(const IMembers &members);
/// Sends batches to the owners, and again where an answer is overdue.
void sendBatches(JournalState &state, Context &ctx, const IMembers &members);
void onBatch(JournalState &state, Context &ctx, const NodeId &from, const JournalRecords &message);
void onBatchAck(JournalState &state, const NodeId &from, const JournalAck &message);
/// The other owner wrote these records.
void onWritten(JournalState &state, const JournalWritten &message);
void eraseHeld(JournalState &state, const RecordId &id);

} // namespace rosemaryhinge::detail
