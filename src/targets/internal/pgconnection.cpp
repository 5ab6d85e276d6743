// libpq on Asio.

#include "targets/internal/pgconnection.h"

#include "base/wholenumber.h"

#include <asio/post.hpp>

namespace rosemaryhinge::detail {

namespace {

using ResultPtr = std::unique_ptr<PGresult, decltype(&PQclear)>;

/// Rough cost of a cell beyond its text, in memory and on the wire.
constexpr std::size_t CellOverhead = 16;
constexpr std::size_t MaxMessage = 1'000;

std::string field(const PGresult &result, int code) {
  const char *text = PQresultErrorField(&result, code);
  return std::string(text ? text : "").substr(0, MaxMessage);
}

std::string lastError(const PGconn *conn) {
  std::string out(PQerrorMessage(conn));
  while (!out.empty() && out.back() == '\n')
    out.pop_back();
  return out.substr(0, MaxMessage);
}

} // namespace

PgConnection::PgConnection(asio::io_context &io, std::size_t maxAnswerBytes)
    : Fd(io), Deadline(io), MaxAnswerBytes(maxAnswerBytes) {}

PgConnection::~PgConnection() { close(); }

void PgConnection::connect(const ConnectionOptions &options, std::chrono::milliseconds timeout,
                           OnConnected onConnected, OnClosed onClosed) {
  Connected = std::move(onConnected);
  Closed = std::move(onClosed);
  std::vector<const char *> keys;
  std::vector<const char *> values;
  for (const auto &[key, value] : options) {
    keys.push_back(key.c_str());
    values.push_back(value.c_str());
  }
  keys.push_back(nullptr);
  values.push_back(nullptr);
  State = Phase::Connecting;
  setDeadline(timeout, "connecting timed out");
  Conn = PQconnectStartParams(keys.data(), values.data(), 0);
  if (!Conn || PQstatus(Conn) == CONNECTION_BAD) {
    // Not from within this call: the owner has not stored the connection yet.
    asio::post(Fd.get_executor(), [self = shared_from_this()] {
      self->fail(self->Conn ? lastError(self->Conn) : "out of memory");
    });
    return;
  }
  PQsetNoticeProcessor(
      Conn, [](void *, const char *) {}, nullptr);
  attach();
  waitFor(asio::posix::stream_descriptor::wait_write, &PgConnection::poll);
}

void PgConnection::query(const std::string &sql, std::chrono::milliseconds timeout, OnDone onDone) {
  Done = std::move(onDone);
  Outcome = {};
  AnswerBytes = 0;
  InRows = false;
  State = Phase::Busy;
  setDeadline(timeout, "the query timed out");
  // Row by row, so that an answer beyond the limit is not held in memory.
  if (PQsendQuery(Conn, sql.c_str()) != 1 || PQsetSingleRowMode(Conn) != 1) {
    asio::post(Fd.get_executor(), [self = shared_from_this()] { self->fail(lastError(self->Conn)); });
    return;
  }
  flush();
}

void PgConnection::close() {
  State = Phase::Closed;
  Deadline.cancel();
  detach();
  if (Conn)
    PQfinish(Conn);
  Conn = nullptr;
  Connected = nullptr;
  Done = nullptr;
  Closed = nullptr;
}

bool PgConnection::inTransaction() const { return Conn && PQtransactionStatus(Conn) != PQTRANS_IDLE; }

void PgConnection::attach() {
  // libpq owns the socket: it is released before PQfinish closes it.
  Fd.assign(PQsocket(Conn));
}

void PgConnection::detach() {
  ++Round;
  if (Fd.is_open())
    Fd.release();
}

void PgConnection::waitFor(asio::posix::stream_descriptor::wait_type type, void (PgConnection::*then)()) {
  Fd.async_wait(type, [self = shared_from_this(), round = Round, then](std::error_code ec) {
    if (round != self->Round || self->State == Phase::Closed)
      return;
    if (ec)
      self->fail(ec.message());
    else
      (self.get()->*then)();
  });
}

void PgConnection::setDeadline(std::chrono::milliseconds timeout, const char *what) {
  Deadline.expires_after(timeout);
  Deadline.async_wait([weak = weak_from_this(), what](std::error_code ec) {
    if (const auto self = weak.lock();
        self && !ec && self->Deadline.expiry() <= asio::steady_timer::clock_type::now())
      self->fail(what);
  });
}

void PgConnection::clearDeadline() {
  // A handler that is already queued finds that the deadline has not passed.
  Deadline.expires_at(asio::steady_timer::time_point::max());
}

void PgConnection::poll() {
  const auto next = PQconnectPoll(Conn);
  // The socket may be another one after each step.
  if (next != PGRES_POLLING_FAILED && Fd.native_handle() != PQsocket(Conn)) {
    detach();
    attach();
  }
  switch (next) {
  case PGRES_POLLING_READING:
    waitFor(asio::posix::stream_descriptor::wait_read, &PgConnection::poll);
    return;
  case PGRES_POLLING_WRITING:
    waitFor(asio::posix::stream_descriptor::wait_write, &PgConnection::poll);
    return;
  case PGRES_POLLING_OK:
    break;
  default:
    fail(lastError(Conn));
    return;
  }
  if (PQsetnonblocking(Conn, 1) != 0) {
    fail(lastError(Conn));
    return;
  }
  State = Phase::Idle;
  clearDeadline();
  waitFor(asio::posix::stream_descriptor::wait_read, &PgConnection::readable);
  const auto connected = std::move(Connected);
  connected();
}

void PgConnection::flush() {
  if (State != Phase::Busy)
    return;
  const int rest = PQflush(Conn);
  if (rest < 0)
    asio::post(Fd.get_executor(), [self = shared_from_this()] {
      if (self->State == Phase::Busy)
        self->fail(lastError(self->Conn));
    });
  else if (rest > 0)
    waitFor(asio::posix::stream_descriptor::wait_write, &PgConnection::flush);
}

void PgConnection::readable() {
  if (PQconsumeInput(Conn) != 1) {
    fail(lastError(Conn));
    return;
  }
  while (PGnotify *notify = PQnotifies(Conn))
    PQfreemem(notify);
  while (State == Phase::Busy && PQisBusy(Conn) == 0) {
    const ResultPtr result(PQgetResult(Conn), &PQclear);
    if (!result) {
      finish();
      break;
    }
    const auto kind = PQresultStatus(result.get());
    if (kind == PGRES_COPY_IN || kind == PGRES_COPY_OUT || kind == PGRES_COPY_BOTH) {
      fail("COPY is not supported");
      return;
    }
    take(*result);
  }
  if (State == Phase::Idle && PQstatus(Conn) != CONNECTION_OK)
    fail("closed by the server");
  if (State == Phase::Busy || State == Phase::Idle)
    waitFor(asio::posix::stream_descriptor::wait_read, &PgConnection::readable);
}

void PgConnection::take(const PGresult &result) {
  switch (PQresultStatus(&result)) {
  case PGRES_SINGLE_TUPLE:
  case PGRES_TUPLES_OK:
  case PGRES_COMMAND_OK: {
    if (!InRows) {
      auto &one = Outcome.Results.emplace_back();
      Outcome.Tags.emplace_back();
      for (int n = 0; n < PQnfields(&result); ++n)
        one.Columns.emplace_back(PQfname(&result, n));
    }
    addRows(result);
    InRows = PQresultStatus(&result) == PGRES_SINGLE_TUPLE;
    if (!InRows) {
      Outcome.Tags.back() = PQcmdStatus(const_cast<PGresult *>(&result));
      Outcome.Results.back().Affected =
          parseWholeNumber<std::uint64_t>(PQcmdTuples(const_cast<PGresult *>(&result))).value_or(0);
    }
    return;
  }
  case PGRES_EMPTY_QUERY:
    Outcome.Results.emplace_back();
    Outcome.Tags.emplace_back();
    return;
  default:
    if (!Outcome.Error)
      Outcome.Error = PgError{field(result, PG_DIAG_SQLSTATE), field(result, PG_DIAG_MESSAGE_PRIMARY),
                              field(result, PG_DIAG_MESSAGE_DETAIL)};
  }
}

void PgConnection::addRows(const PGresult &result) {
  auto &rows = Outcome.Results.back().Rows;
  for (int n = 0; n < PQntuples(&result); ++n) {
    std::vector<std::optional<std::string>> row;
    for (int column = 0; column < PQnfields(&result); ++column) {
      const auto size = static_cast<std::size_t>(PQgetlength(&result, n, column));
      AnswerBytes += size + CellOverhead;
      if (PQgetisnull(&result, n, column) == 1)
        row.emplace_back();
      else
        row.emplace_back(std::string(PQgetvalue(&result, n, column), size));
    }
    Outcome.TooLarge = Outcome.TooLarge || AnswerBytes > MaxAnswerBytes;
    if (!Outcome.TooLarge)
      rows.push_back(std::move(row));
  }
}

void PgConnection::finish() {
  if (PQstatus(Conn) != CONNECTION_OK) {
    fail(lastError(Conn));
    return;
  }
  State = Phase::Idle;
  clearDeadline();
  const auto done = std::move(Done);
  Done = nullptr;
  done(std::move(Outcome));
}

void PgConnection::fail(const std::string &why) {
  if (State == Phase::Closed)
    return;
  const auto self = shared_from_this();
  const auto closed = std::move(Closed);
  close();
  if (closed)
    closed(why);
}

} // namespace rosemaryhinge::detail
