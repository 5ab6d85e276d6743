// State of the journal module.

#pragma once

#include "journal/record.h"
#include "protocol/platform.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace rosemaryhinge::detail {

/// A record of this proxy that an owner has not confirmed yet.
struct OutgoingRecord {
  std::uint64_t Sequence = 0;
  std::string Text;
};

/// What an owner of the journal has confirmed.
struct OwnerLink {
  std::uint64_t Confirmed = 0; ///< Highest sequence of this proxy that it holds.
  std::uint64_t Batch = 0;     ///< Being confirmed; 0 if none.
  std::uint64_t BatchLast = 0;
  TimePoint SentAt;
};

/// A record held for writing.
struct HeldRecord {
  std::string Text;
  TimePoint ReceivedAt;
};

/// Writing of the last journal object.
struct JournalTail {
  enum class Step : std::uint8_t { Idle, ReadingHead, ReadingTail, Writing, WritingHead };

  Step Now = Step::Idle;
  std::optional<CallId> Call;
  bool Known = false;       ///< Number, Text and Version are those of the store, as far as known.
  bool CheckCopies = false; ///< An update may have taken effect whose answer was lost.
  std::uint64_t Number = 0;
  ObjectVersion HeadVersion = 0;
  std::uint64_t HeadNumber = 0;
  ObjectVersion Version = 0;
  std::string Text;
  std::string NextText;
  std::vector<RecordId> Writing;
};

/// A report that reads the journal's objects.
struct ReportSession {
  std::uint64_t Id = 0;
  std::optional<CallId> Call;
  bool HeadRead = false;
  std::int64_t SinceMicros = 0;
  std::size_t MaxRecords = 0;
  std::uint64_t Next = 0; ///< Object that is read next, from the last one backwards.
  std::size_t ObjectsRead = 0;
  int Failures = 0;
  bool StoreAvailable = true;
  bool Truncated = false;
  std::vector<JournalRecord> Records;
};

using CounterKey = std::tuple<std::string, DatabaseId, std::string, std::string>;

struct JournalState {
  std::uint64_t NextSequence = 0;
  std::deque<OutgoingRecord> Outgoing; ///< Oldest first, bounded.
  std::uint64_t Dropped = 0;           ///< Since the last record that says so.
  std::map<NodeId, OwnerLink> Links;   ///< To the current owners.
  std::map<CounterKey, std::uint64_t> Counters;
  std::optional<TimePoint> NextSummary;
  std::optional<TimePoint> NextSend;

  std::map<RecordId, HeldRecord> Held; ///< As an owner; bounded.
  std::size_t HeldBytes = 0;
  TimePoint NextWrite;
  JournalTail Tail;

  std::vector<ReportSession> Reports;
};

} // namespace rosemaryhinge::detail
