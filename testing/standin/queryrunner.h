// Carries out query strings of one connection: its transaction, its waits and its answers.

#pragma once

#include "standin/databaseserver.h"
#include "standin/sqlerror.h"
#include "standin/statement.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace rosemaryhinge::standin {

class QueryRunner : public std::enable_shared_from_this<QueryRunner> {
public:
  /// Claims a slot and closes connections of lower generations; false if refused.
  using ClaimSlot = std::function<bool(std::uint32_t slot, std::uint64_t generation)>;

  QueryRunner(asio::io_context &io, DatabaseServer &server, ClaimSlot claim);

  /// Runs a query string; `done` is called when its whole answer, up to ReadyForQuery, is in Out.
  void run(std::string_view sql, std::function<void()> done);
  /// The connection ended: rolls back. Nothing is called back afterwards.
  void abandon();
  /// Whether a transaction is open.
  [[nodiscard]] bool inTransaction() const { return State != Mode::Idle; }

  std::string Out; ///< Messages to send.

private:
  enum class Mode : std::uint8_t { Idle, ReadWrite, ReadOnly, Failed };
  /// Result of a step; none while the statement waits, after which it is run again.
  using Step = std::optional<SqlOutcome>;

  void next();
  void finish();
  Step execute(const Statement &statement);
  Step begin(Mode mode);
  Step commit();
  SqlOutcome rollback();
  Step sql(const std::string &text);
  Step sqlInTransaction(const std::string &text);
  Step sleep(const Statement &statement);
  Step function(const Statement &statement);
  Step status(const std::vector<std::uint64_t> &args);
  Step mark(const std::string &key, std::uint64_t attempt);
  Step abort(const std::string &key, std::uint64_t attempt);

  /// True once this connection holds the writer lock and Work has an open transaction. False: it waits, or
  /// Failure is set.
  bool holdWriter();
  std::optional<SqlError> commitWork();
  void endWork();
  /// Starts a wait that ends with its timeout or with a call of the returned function.
  std::function<void()> beginWait(std::chrono::milliseconds timeout);
  void endWait();
  void resume(std::uint64_t wait);

  struct Mark {
    std::string Key;
    std::uint64_t Attempt = 0;
  };

  asio::io_context &Io;
  DatabaseServer &Server;
  ClaimSlot Claim;
  const std::uint64_t Id; ///< Owner of the writer lock.
  asio::steady_timer Timer;
  std::function<void()> Done;

  std::vector<Statement> Pending;
  std::size_t Index = 0;
  bool Waited = false;          ///< The wait of the current statement is over.
  std::uint64_t Wait = 0;       ///< Number of the current wait; a late end of an earlier one is ignored.
  std::uint64_t StatusWait = 0; ///< At the server.
  bool Abandoned = false;

  Mode State = Mode::Idle;
  bool WorkOpen = false;
  std::uint64_t Epoch = 0; ///< Of the server when the work began.
  std::vector<std::string> Writes;
  std::vector<StatementResult> Results; ///< Of the transaction's statements, for its marker.
  std::optional<Mark> Marked;
  std::optional<SqlError> Failure;
};

} // namespace rosemaryhinge::standin
