// Log of committed write transactions.

#include "standin/replicationlog.h"

#include <algorithm>
#include <utility>

namespace rosemaryhinge::standin {

namespace {

/// Length of an entry besides its statements, so that every entry advances the position.
constexpr Lsn EntryHeadBytes = 8;

} // namespace

Position ReplicationLog::end() const {
  return Entries.empty() ? Position{} : Position{Entries.back()->Term, Entries.back()->End};
}

const LogEntry &ReplicationLog::append(Term term, std::vector<std::string> statements) {
  auto entry = std::make_shared<LogEntry>();
  entry->Term = term;
  entry->Start = end().Lsn;
  entry->End = entry->Start + EntryHeadBytes;
  for (const auto &it : statements)
    entry->End += it.size();
  entry->Statements = std::move(statements);
  push(std::move(entry));
  return *Entries.back();
}

void ReplicationLog::push(EntryPtr entry) {
  if (Terms.empty() || Terms.back().Term != entry->Term)
    Terms.push_back({entry->Term, entry->Start});
  Entries.push_back(std::move(entry));
}

void ReplicationLog::truncate(std::size_t size) {
  Entries.resize(size);
  while (!Terms.empty() && (Entries.empty() || Terms.back().Term > Entries.back()->Term))
    Terms.pop_back();
}

std::size_t ReplicationLog::follow(const ReplicationLog &other, std::size_t count, bool &truncated) {
  // Equal entries at one index imply equal entries before it, so the last common one is looked for.
  auto common = std::min({size(), count, other.size()});
  while (common > 0 && Entries[common - 1] != other.Entries[common - 1])
    --common;
  truncated = common < size() && common < count;
  if (truncated)
    truncate(common);
  auto first = size();
  for (auto i = first; i < std::min(count, other.size()); ++i)
    push(other.Entries[i]);
  return std::min(first, size());
}

} // namespace rosemaryhinge::standin
