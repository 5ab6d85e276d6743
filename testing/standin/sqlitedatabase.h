// One SQLite database in memory.

#pragma once

#include "standin/sqlerror.h"

#include <memory>
#include <string>

struct sqlite3;

namespace rosemaryhinge::standin {

class SqliteDatabase {
public:
  /// Creates an empty database that holds only the marker table.
  SqliteDatabase();

  /// Runs one statement. ReadOnly refuses statements that write, with SQLSTATE 25006.
  SqlOutcome execute(const std::string &sql, bool readOnly = false);
  /// Whether the statement writes. A statement that does not compile counts as one that does not write: its
  /// execution reports the error.
  [[nodiscard]] bool writes(const std::string &sql);
  /// Replaces the contents with those of another database.
  void copyFrom(SqliteDatabase &other);

private:
  struct Closer {
    void operator()(sqlite3 *db) const;
  };

  [[nodiscard]] SqlError lastError() const;

  std::unique_ptr<sqlite3, Closer> Handle;
};

} // namespace rosemaryhinge::standin
