// One record of the journal, its JSON form and the order in which a report shows records.

#pragma once

#include "base/id.h"
#include "protocol/context.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rosemaryhinge {

/// How often something was refused or retried, for one database and class.
struct JournalCounter {
  std::string Kind; ///< "refusal" or "retry".
  DatabaseId Database;
  std::string Class;
  std::string Reason;
  std::uint64_t Count = 0;
};

/// Names a record. Two records with the same id are copies of one.
struct RecordId {
  NodeId Node;
  std::uint64_t Incarnation = 0;
  std::uint64_t Sequence = 0;

  auto operator<=>(const RecordId &) const = default;
};

struct JournalRecord {
  RecordId Id;
  JournalEntry Entry;
  std::int64_t BootMicros = 0;
  /// Wall time as an interval; none if the daemon had no reading of the wall clock.
  std::optional<std::int64_t> EarliestMicros;
  std::optional<std::int64_t> LatestMicros;
  std::vector<JournalCounter> Counters;
};

[[nodiscard]] std::string formatRecord(const JournalRecord &record);
/// Empty if the text is not a record.
[[nodiscard]] std::optional<JournalRecord> parseRecord(std::string_view text);

/// Removes copies and orders the records. Terms of one database and revisions are in order whatever the
/// clocks say; otherwise the middle of the time interval decides.
void orderRecords(std::vector<JournalRecord> &records);

} // namespace rosemaryhinge
