// Carries out query strings of one connection.

#include "standin/queryrunner.h"

#include "standin/httpmessage.h"
#include "standin/wire.h"

#include <algorithm>
#include <asio/post.hpp>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <utility>

namespace rosemaryhinge::standin {

namespace {

using std::chrono::milliseconds;

/// Bound for a second write transaction's wait.
constexpr milliseconds LockTimeout{3000};
constexpr milliseconds MaxSleep{60'000};
constexpr milliseconds MaxStatusWait{60'000};
/// Larger recorded answers are left out of the marker row.
constexpr std::size_t MaxRecordedBytes = 4096;

std::uint64_t nextId() {
  static std::uint64_t last = 0;
  return ++last;
}

StatementResult oneValue(const std::string &column, const std::string &value) {
  StatementResult out;
  out.Columns = {column};
  out.Rows = {{value}};
  out.Affected = 1;
  return out;
}

std::string formatResults(const std::vector<StatementResult> &results) {
  auto out = nlohmann::json::array();
  for (const auto &it : results) {
    auto rows = nlohmann::json::array();
    for (const auto &row : it.Rows) {
      auto values = nlohmann::json::array();
      for (const auto &value : row)
        values.push_back(value ? nlohmann::json(*value) : nlohmann::json());
      rows.push_back(std::move(values));
    }
    out.push_back({{"columns", it.Columns}, {"rows", std::move(rows)}, {"affected", it.Affected}});
  }
  return out.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string commandTag(const Statement &statement, const StatementResult &result, bool failed) {
  if (statement.Type == Statement::Kind::Commit)
    return failed ? "ROLLBACK" : "COMMIT";
  auto word = firstWord(statement.Text);
  auto count = std::to_string(result.Affected);
  if (word == "INSERT" || word == "REPLACE")
    return "INSERT 0 " + count;
  if (word == "UPDATE" || word == "DELETE")
    return word + " " + count;
  if (!result.Columns.empty())
    return "SELECT " + count;
  return word;
}

std::optional<std::vector<std::uint64_t>> numbers(const std::vector<std::string> &args) {
  std::vector<std::uint64_t> out;
  for (const auto &it : args) {
    auto value = parseNumber(it);
    if (!value)
      return std::nullopt;
    out.push_back(*value);
  }
  return out;
}

} // namespace

QueryRunner::QueryRunner(asio::io_context &io, DatabaseServer &server, ClaimSlot claim)
    : Io(io), Server(server), Claim(std::move(claim)), Id(nextId()), Timer(io) {}

void QueryRunner::run(std::string_view sql, std::function<void()> done) {
  Done = std::move(done);
  Pending = parseStatements(sql);
  Index = 0;
  if (Pending.empty())
    WireWriter(Out).emptyQuery();
  next();
}

void QueryRunner::next() {
  while (Index < Pending.size()) {
    const auto &statement = Pending[Index];
    auto failed = State == Mode::Failed;
    auto outcome = execute(statement);
    if (!outcome)
      return;
    Waited = false;
    ++Index;
    if (const auto *error = std::get_if<SqlError>(&*outcome)) {
      WireWriter(Out).error(*error);
      endWork();
      if (State != Mode::Idle)
        State = Mode::Failed;
      Pending.clear();
      break;
    }
    const auto &result = std::get<StatementResult>(*outcome);
    WireWriter(Out).result(result, commandTag(statement, result, failed));
  }
  finish();
}

void QueryRunner::finish() {
  auto status = 'T';
  if (State == Mode::Idle)
    status = 'I';
  else if (State == Mode::Failed)
    status = 'E';
  WireWriter(Out).ready(status);
  // Moved out first: the callback may start the next query.
  auto done = std::move(Done);
  done();
}

void QueryRunner::abandon() {
  Abandoned = true;
  Timer.cancel();
  Server.cancelWait(StatusWait);
  endWork();
  Server.Writer.release(Id);
  Done = nullptr;
}

QueryRunner::Step QueryRunner::execute(const Statement &statement) {
  using Kind = Statement::Kind;
  if (State == Mode::Failed && statement.Type != Kind::Commit && statement.Type != Kind::Rollback)
    return SqlError{"25P02", "current transaction is aborted, commands ignored until end of transaction", ""};
  switch (statement.Type) {
  case Kind::Begin:
    return begin(Mode::ReadWrite);
  case Kind::BeginReadOnly:
    return begin(Mode::ReadOnly);
  case Kind::Commit:
    return commit();
  case Kind::Rollback:
    return rollback();
  case Kind::Function:
    return function(statement);
  case Kind::Sleep:
    return sleep(statement);
  case Kind::Unsupported:
    return SqlError{"0A000", "statement is not supported", ""};
  case Kind::Sql:
    return sql(statement.Text);
  }
  return std::nullopt;
}

QueryRunner::Step QueryRunner::begin(Mode mode) {
  if (State != Mode::Idle)
    return SqlError{"25001", "there is already a transaction in progress", ""};
  State = mode;
  return StatementResult{};
}

QueryRunner::Step QueryRunner::commit() {
  if (State == Mode::Failed)
    return rollback();
  auto error = commitWork();
  endWork();
  State = Mode::Idle;
  return error ? Step(*error) : Step(StatementResult{});
}

SqlOutcome QueryRunner::rollback() {
  endWork();
  State = Mode::Idle;
  return StatementResult{};
}

QueryRunner::Step QueryRunner::sql(const std::string &text) {
  if (State != Mode::Idle) {
    auto outcome = sqlInTransaction(text);
    if (outcome && std::holds_alternative<StatementResult>(*outcome))
      Results.push_back(std::get<StatementResult>(*outcome));
    return outcome;
  }
  if (!Server.Committed.writes(text)) {
    ++Server.Counters.Reads;
    return Server.Committed.execute(text, true);
  }
  auto outcome = sqlInTransaction(text);
  if (!outcome || std::holds_alternative<SqlError>(*outcome))
    return outcome;
  auto error = commitWork();
  endWork();
  return error ? Step(*error) : outcome;
}

QueryRunner::Step QueryRunner::sqlInTransaction(const std::string &text) {
  if (State == Mode::ReadOnly || (!WorkOpen && !Server.Primary && !Server.Committed.writes(text))) {
    ++Server.Counters.Reads;
    return Server.Committed.execute(text, true);
  }
  if (!holdWriter())
    return Failure ? Step(*std::exchange(Failure, std::nullopt)) : std::nullopt;
  auto writes = Server.Work.writes(text);
  auto outcome = Server.Work.execute(text);
  if (writes && std::holds_alternative<StatementResult>(outcome))
    Writes.push_back(text);
  return outcome;
}

QueryRunner::Step QueryRunner::sleep(const Statement &statement) {
  auto seconds = statement.Args.size() == 1 ? std::strtod(statement.Args[0].c_str(), nullptr) : -1.0;
  if (!(seconds >= 0))
    return SqlError{"42883", "pg_sleep takes one number", ""};
  if (!Waited) {
    auto limited = std::min(seconds, std::chrono::duration<double>(MaxSleep).count());
    beginWait(std::chrono::duration_cast<milliseconds>(std::chrono::duration<double>(limited)));
    return std::nullopt;
  }
  auto out = oneValue("pg_sleep", "");
  Results.push_back(out);
  return out;
}

QueryRunner::Step QueryRunner::function(const Statement &statement) {
  const auto &name = statement.Function;
  const auto &args = statement.Args;
  if (name == "marker" && args.size() == 1)
    return Server.marker(args[0]);
  if ((name == "mark" || name == "abort") && args.size() == 2) {
    if (auto attempt = parseNumber(args[1]))
      return name == "mark" ? mark(args[0], *attempt) : abort(args[0], *attempt);
  }
  auto values = numbers(args).value_or(std::vector<std::uint64_t>{});
  if (name == "status" && values.size() == 3)
    return status(values);
  auto now = DatabaseServer::Clock::now();
  auto answer = [&](bool granted) -> Step {
    if (!granted)
      return SqlError{"RH001", "a higher term or generation is known", std::to_string(Server.Raised)};
    return Server.status(now);
  };
  if (name == "raise_term" && values.size() == 1)
    return answer(Server.raise(values[0]));
  if (name == "promote" && values.size() == 1)
    return answer(Server.promote(values[0]));
  if (name == "claim_slot" && values.size() == 2 && values[0] <= UINT32_MAX)
    return answer(Claim(static_cast<std::uint32_t>(values[0]), values[1]));
  return SqlError{"42883", "no such function, or wrong arguments: rosemaryhinge_" + name, ""};
}

QueryRunner::Step QueryRunner::status(const std::vector<std::uint64_t> &args) {
  Position position{args[0], args[1]};
  auto end = Server.Log.end();
  auto reached = position.Term == 0 || (position.Term == end.Term && position.Lsn <= end.Lsn);
  if (reached || Waited || args[2] == 0)
    return Server.status(DatabaseServer::Clock::now());
  auto timeout = std::min<std::uint64_t>(args[2], MaxStatusWait.count());
  StatusWait = Server.waitFor(position, beginWait(milliseconds(timeout)));
  return std::nullopt;
}

QueryRunner::Step QueryRunner::mark(const std::string &key, std::uint64_t attempt) {
  if (State != Mode::ReadWrite)
    return SqlError{"25P01", "a mark needs an open write transaction", ""};
  if (!holdWriter())
    return Failure ? Step(*std::exchange(Failure, std::nullopt)) : std::nullopt;
  auto found =
      Server.Work.execute("SELECT done, attempt FROM rosemaryhinge_request WHERE key = " + quoteLiteral(key));
  if (const auto *result = std::get_if<StatementResult>(&found); result != nullptr && !result->Rows.empty()) {
    const auto &row = result->Rows.front();
    if (row[0] == "1" || parseNumber(row[1].value_or("")).value_or(0) >= attempt) {
      ++Server.Counters.MarkConflicts;
      return SqlError{"RH002", "the key is done, or aborted with this or a later attempt", key};
    }
  }
  auto text = "INSERT OR REPLACE INTO rosemaryhinge_request VALUES (" + quoteLiteral(key) + ", 1, " +
              std::to_string(attempt) + ", NULL)";
  auto outcome = Server.Work.execute(text);
  if (std::holds_alternative<SqlError>(outcome))
    return outcome;
  ++Server.Counters.Marked;
  Writes.push_back(text);
  Marked = Mark{key, attempt};
  return oneValue("marked", "t");
}

QueryRunner::Step QueryRunner::abort(const std::string &key, std::uint64_t attempt) {
  if (State != Mode::Idle)
    return SqlError{"25001", "abort runs outside a transaction", ""};
  if (!holdWriter())
    return Failure ? Step(*std::exchange(Failure, std::nullopt)) : std::nullopt;
  auto found =
      Server.Work.execute("SELECT done, attempt FROM rosemaryhinge_request WHERE key = " + quoteLiteral(key));
  const auto *result = std::get_if<StatementResult>(&found);
  auto known =
      result != nullptr && !result->Rows.empty() &&
      (result->Rows[0][0] == "1" || parseNumber(result->Rows[0][1].value_or("")).value_or(0) >= attempt);
  if (!known) {
    auto text = "INSERT OR REPLACE INTO rosemaryhinge_request VALUES (" + quoteLiteral(key) + ", 0, " +
                std::to_string(attempt) + ", NULL)";
    Server.Work.execute(text);
    Writes.push_back(text);
    ++Server.Counters.Aborts;
  }
  auto error = commitWork();
  endWork();
  return error ? Step(*error) : Step(Server.marker(key));
}

bool QueryRunner::holdWriter() {
  if (WorkOpen) {
    Failure = Server.refusal(Epoch);
    return !Failure;
  }
  Failure = Server.refusal(Server.Epoch);
  if (Failure) {
    ++Server.Counters.RefusedWrites;
    return false;
  }
  if (!Server.Writer.heldBy(Id)) {
    if (Waited) {
      Server.Writer.release(Id);
      Failure = SqlError{"55P03", "timed out waiting for another write transaction", ""};
      return false;
    }
    if (!Server.Writer.acquire(Id, beginWait(LockTimeout)))
      return false;
    endWait();
  }
  Epoch = Server.Epoch;
  WorkOpen = true;
  Server.beginWork();
  return true;
}

std::optional<SqlError> QueryRunner::commitWork() {
  if (!WorkOpen)
    return std::nullopt;
  if (auto refused = Server.refusal(Epoch)) {
    ++Server.Counters.RefusedWrites;
    return refused;
  }
  if (Marked) {
    auto text = formatResults(Results);
    if (text.size() <= MaxRecordedBytes) {
      auto update = "UPDATE rosemaryhinge_request SET result = " + quoteLiteral(text) +
                    " WHERE key = " + quoteLiteral(Marked->Key);
      Server.Work.execute(update);
      Writes.push_back(update);
    }
  }
  WorkOpen = false;
  return Server.commitWork(std::move(Writes));
}

void QueryRunner::endWork() {
  if (WorkOpen && Epoch == Server.Epoch)
    Server.rollbackWork();
  WorkOpen = false;
  Server.Writer.release(Id);
  Writes.clear();
  Results.clear();
  Marked.reset();
}

std::function<void()> QueryRunner::beginWait(milliseconds timeout) {
  auto number = ++Wait;
  Timer.expires_after(timeout);
  Timer.async_wait([self = shared_from_this(), number](std::error_code ec) {
    if (!ec)
      self->resume(number);
  });
  return
      [self = shared_from_this(), number] { asio::post(self->Io, [self, number] { self->resume(number); }); };
}

void QueryRunner::endWait() {
  ++Wait;
  Timer.cancel();
}

void QueryRunner::resume(std::uint64_t wait) {
  if (Abandoned || wait != Wait)
    return;
  endWait();
  Server.cancelWait(std::exchange(StatusWait, 0));
  Waited = true;
  next();
}

} // namespace rosemaryhinge::standin
