// One SQLite database in memory.

#include "standin/sqlitedatabase.h"

#include <chrono>
#include <sqlite3.h>
#include <stdexcept>
#include <string_view>

namespace rosemaryhinge::standin {

namespace {

using Clock = std::chrono::steady_clock;
using StatementHandle = std::unique_ptr<sqlite3_stmt, decltype(&sqlite3_finalize)>;

/// A statement blocks every server of the process, so it is interrupted after this time.
constexpr auto StatementLimit = std::chrono::seconds(2);
constexpr int ProgressSteps = 100'000;

int pastDeadline(void *deadline) {
  return Clock::now() > *static_cast<Clock::time_point *>(deadline) ? 1 : 0;
}

std::string sqlStateOf(int code, std::string_view message) {
  switch (code) {
  case SQLITE_CONSTRAINT_UNIQUE:
  case SQLITE_CONSTRAINT_PRIMARYKEY:
    return "23505";
  case SQLITE_CONSTRAINT_NOTNULL:
    return "23502";
  case SQLITE_CONSTRAINT_CHECK:
    return "23514";
  case SQLITE_CONSTRAINT_FOREIGNKEY:
    return "23503";
  case SQLITE_INTERRUPT:
    return "57014";
  default:
    break;
  }
  if (message.find("no such table") != std::string_view::npos)
    return "42P01";
  if (message.find("already exists") != std::string_view::npos)
    return "42P07";
  if (message.find("no such column") != std::string_view::npos)
    return "42703";
  return (code & 0xff) == SQLITE_ERROR ? "42601" : "XX000";
}

StatementHandle prepare(sqlite3 *db, const std::string &sql) {
  sqlite3_stmt *stmt = nullptr;
  sqlite3_prepare_v2(db, sql.c_str(), static_cast<int>(sql.size()), &stmt, nullptr);
  return {stmt, &sqlite3_finalize};
}

void readRow(sqlite3_stmt *stmt, StatementResult &out) {
  auto &row = out.Rows.emplace_back();
  for (int i = 0; i < sqlite3_column_count(stmt); ++i) {
    const auto *text = reinterpret_cast<const char *>(sqlite3_column_text(stmt, i));
    if (text == nullptr)
      row.emplace_back();
    else
      row.emplace_back(std::string(text, static_cast<std::size_t>(sqlite3_column_bytes(stmt, i))));
  }
}

} // namespace

void SqliteDatabase::Closer::operator()(sqlite3 *db) const { sqlite3_close(db); }

SqliteDatabase::SqliteDatabase() {
  sqlite3 *db = nullptr;
  auto rc = sqlite3_open(":memory:", &db);
  Handle.reset(db);
  if (rc != SQLITE_OK)
    throw std::runtime_error("cannot open an SQLite database in memory");
  execute("CREATE TABLE rosemaryhinge_request (key TEXT PRIMARY KEY, done INTEGER NOT NULL, "
          "attempt INTEGER NOT NULL, result TEXT)");
}

SqlError SqliteDatabase::lastError() const {
  std::string message = sqlite3_errmsg(Handle.get());
  return {sqlStateOf(sqlite3_extended_errcode(Handle.get()), message), message, ""};
}

bool SqliteDatabase::writes(const std::string &sql) {
  auto stmt = prepare(Handle.get(), sql);
  return stmt != nullptr && sqlite3_stmt_readonly(stmt.get()) == 0;
}

SqlOutcome SqliteDatabase::execute(const std::string &sql, bool readOnly) {
  auto stmt = prepare(Handle.get(), sql);
  if (stmt == nullptr)
    return lastError();
  if (readOnly && sqlite3_stmt_readonly(stmt.get()) == 0)
    return SqlError{"25006", "cannot execute a write in a read-only transaction", ""};
  StatementResult out;
  for (int i = 0; i < sqlite3_column_count(stmt.get()); ++i)
    out.Columns.emplace_back(sqlite3_column_name(stmt.get(), i));
  auto deadline = Clock::now() + StatementLimit;
  sqlite3_progress_handler(Handle.get(), ProgressSteps, pastDeadline, &deadline);
  auto before = sqlite3_total_changes(Handle.get());
  auto rc = sqlite3_step(stmt.get());
  for (; rc == SQLITE_ROW; rc = sqlite3_step(stmt.get()))
    readRow(stmt.get(), out);
  sqlite3_progress_handler(Handle.get(), 0, nullptr, nullptr);
  if (rc != SQLITE_DONE)
    return lastError();
  out.Affected = sqlite3_stmt_readonly(stmt.get()) != 0
                     ? out.Rows.size()
                     : static_cast<std::uint64_t>(sqlite3_total_changes(Handle.get()) - before);
  return out;
}

void SqliteDatabase::copyFrom(SqliteDatabase &other) {
  auto *backup = sqlite3_backup_init(Handle.get(), "main", other.Handle.get(), "main");
  if (backup == nullptr)
    throw std::runtime_error("cannot copy an SQLite database");
  sqlite3_backup_step(backup, -1);
  if (sqlite3_backup_finish(backup) != SQLITE_OK)
    throw std::runtime_error("cannot copy an SQLite database");
}

} // namespace rosemaryhinge::standin
