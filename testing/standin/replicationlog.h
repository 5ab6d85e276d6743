// Log of committed write transactions of one server.

#pragma once

#include "base/position.h"

#include <memory>
#include <string>
#include <vector>

namespace rosemaryhinge::standin {

/// A committed transaction, or the start of a term if it has no statements. Shared between servers, so that
/// equal logs hold the same objects.
struct LogEntry {
  rosemaryhinge::Term Term = 0;
  Lsn Start = 0;
  Lsn End = 0;
  std::vector<std::string> Statements;
};

class ReplicationLog {
public:
  using EntryPtr = std::shared_ptr<const LogEntry>;

  const LogEntry &append(Term term, std::vector<std::string> statements);
  /// Takes over the first `count` entries of another log. Returns the first index that is new, and sets
  /// `truncated` if entries of this log's own had to go.
  std::size_t follow(const ReplicationLog &other, std::size_t count, bool &truncated);

  [[nodiscard]] Position end() const;
  [[nodiscard]] std::size_t size() const { return Entries.size(); }
  [[nodiscard]] const LogEntry &at(std::size_t i) const { return *Entries[i]; }
  [[nodiscard]] const std::vector<TermStart> &history() const { return Terms; }

private:
  void push(EntryPtr entry);
  void truncate(std::size_t size);

  std::vector<EntryPtr> Entries;
  std::vector<TermStart> Terms; ///< First start of each term in Entries.
};

} // namespace rosemaryhinge::standin
