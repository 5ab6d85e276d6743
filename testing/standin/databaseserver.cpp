// One database server of a group.

#include "standin/databaseserver.h"

#include "standin/statement.h"

#include <algorithm>
#include <utility>

namespace rosemaryhinge::standin {

namespace {

constexpr std::size_t MaxReportedTerms = 32;

std::string formatHistory(const std::vector<TermStart> &history) {
  std::string out;
  auto first = history.size() > MaxReportedTerms ? history.size() - MaxReportedTerms : 0;
  for (auto i = first; i < history.size(); ++i) {
    if (!out.empty())
      out += ',';
    out += std::to_string(history[i].Term) + ":" + std::to_string(history[i].Start);
  }
  return out;
}

} // namespace

DatabaseServer::DatabaseServer(TargetId target, std::uint32_t slotLimit)
    : Target(std::move(target)), Slots(slotLimit) {}

StatementResult DatabaseServer::status(Clock::time_point now) const {
  auto since = std::chrono::duration_cast<std::chrono::milliseconds>(now - LastHeard).count();
  auto end = Log.end();
  StatementResult out;
  out.Columns = {"role", "raised_term", "log_term", "log_lsn", "since_primary_ms", "leaving", "history"};
  out.Rows = {{Primary ? "primary" : "replica", std::to_string(Raised), std::to_string(end.Term),
               std::to_string(end.Lsn), std::to_string(Primary ? 0 : since), Leaving ? "t" : "f",
               formatHistory(Log.history())}};
  out.Affected = 1;
  return out;
}

StatementResult DatabaseServer::marker(const std::string &key) {
  auto outcome = Committed.execute(
      "SELECT done, attempt, result FROM rosemaryhinge_request WHERE key = " + quoteLiteral(key), true);
  StatementResult out;
  out.Columns = {"done", "attempt", "result", "log_term", "log_lsn"};
  if (const auto *found = std::get_if<StatementResult>(&outcome); found != nullptr && !found->Rows.empty()) {
    const auto &row = found->Rows.front();
    out.Rows = {{row[0] == "1" ? "t" : "f", row[1], row[2], std::to_string(Log.end().Term),
                 std::to_string(Log.end().Lsn)}};
    out.Affected = 1;
  }
  return out;
}

bool DatabaseServer::raise(Term term) {
  if (term < Raised)
    return false;
  Raised = term;
  return true;
}

bool DatabaseServer::promote(Term term) {
  if (Primary && Office == term && Raised == term)
    return true;
  if (term < Raised || term <= Log.end().Term)
    return false;
  Raised = term;
  Office = term;
  Primary = true;
  ++Counters.Promotions;
  replaceWork();
  Work.copyFrom(Committed);
  Log.append(term, {});
  notifyWaits();
  if (OnCommit)
    OnCommit();
  return true;
}

std::optional<SqlError> DatabaseServer::refusal(std::uint64_t epoch) const {
  if (Primary && Raised <= Office && epoch == Epoch)
    return std::nullopt;
  return SqlError{"RH003", "server is not primary of the current term", std::to_string(Raised)};
}

void DatabaseServer::beginWork() { Work.execute("BEGIN"); }

std::optional<SqlError> DatabaseServer::commitWork(std::vector<std::string> statements) {
  auto outcome = Work.execute("COMMIT");
  if (const auto *error = std::get_if<SqlError>(&outcome)) {
    rollbackWork();
    return *error;
  }
  ++Counters.Commits;
  if (statements.empty())
    return std::nullopt;
  Log.append(Office, std::move(statements));
  apply(Log.size() - 1);
  notifyWaits();
  if (OnCommit)
    OnCommit();
  return std::nullopt;
}

void DatabaseServer::rollbackWork() {
  ++Counters.Rollbacks;
  Work.execute("ROLLBACK");
}

bool DatabaseServer::receive(const DatabaseServer &primary, std::size_t count, Clock::time_point now) {
  if (primary.Office < Raised)
    return false;
  Raised = primary.Office;
  LastHeard = now;
  if (Primary) {
    Primary = false;
    replaceWork();
  }
  auto before = Log.size();
  bool truncated = false;
  auto first = Log.follow(primary.Log, count, truncated);
  if (truncated) {
    Counters.DroppedEntries += before - first;
    rebuild();
  } else {
    apply(first);
  }
  notifyWaits();
  return true;
}

void DatabaseServer::replaceWork() {
  ++Epoch;
  Work = SqliteDatabase();
  Writer.revoke();
}

void DatabaseServer::rebuild() {
  ++Counters.Rebuilds;
  Committed = SqliteDatabase();
  apply(0);
}

void DatabaseServer::apply(std::size_t first) {
  if (first >= Log.size())
    return;
  Committed.execute("BEGIN");
  for (auto i = first; i < Log.size(); ++i) {
    for (const auto &sql : Log.at(i).Statements) {
      auto outcome = Committed.execute(sql);
      if (std::holds_alternative<SqlError>(outcome))
        ++Counters.ApplyErrors;
    }
  }
  Committed.execute("COMMIT");
}

std::uint64_t DatabaseServer::waitFor(Position position, std::function<void()> reached) {
  auto number = ++NextWait;
  Waits.emplace(number, Wait{position, std::move(reached)});
  return number;
}

void DatabaseServer::notifyWaits() {
  auto end = Log.end();
  std::vector<std::function<void()>> due;
  for (auto it = Waits.begin(); it != Waits.end();) {
    if (it->second.At.Term == end.Term && it->second.At.Lsn <= end.Lsn) {
      due.push_back(std::move(it->second.Reached));
      it = Waits.erase(it);
    } else {
      ++it;
    }
  }
  for (const auto &reached : due)
    reached();
}

} // namespace rosemaryhinge::standin
