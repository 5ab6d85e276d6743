// One libpq connection without blocking, on the Asio loop.

#pragma once

#include "metrics/imetrics.h"
#include "protocol/request.h"
#include "targets/internal/statements.h"

#include <asio/io_context.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <libpq-fe.h>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace rosemaryhinge::detail {

struct PgError {
  std::string SqlState;
  std::string Message;
  std::string Detail;
};

struct PgOutcome {
  std::vector<StatementResult> Results; ///< Of the statements before the error, if there is one.
  std::vector<std::string> Tags;        ///< Command tag of each result, such as COMMIT.
  std::optional<PgError> Error;
  bool TooLarge = false; ///< Rows beyond the size limit were left out.
};

class PgConnection : public std::enable_shared_from_this<PgConnection> {
public:
  using OnConnected = std::function<void()>;
  using OnDone = std::function<void(PgOutcome)>;
  /// Called once if the connection fails, in place of the other two. Never called after close().
  using OnClosed = std::function<void(const std::string &why)>;

  PgConnection(asio::io_context &io, std::size_t maxAnswerBytes);
  ~PgConnection();
  PgConnection(const PgConnection &) = delete;
  PgConnection &operator=(const PgConnection &) = delete;

  void connect(const ConnectionOptions &options, std::chrono::milliseconds timeout, OnConnected onConnected,
               OnClosed onClosed);
  /// Requires that the connection is open and no query is running.
  void query(const std::string &sql, std::chrono::milliseconds timeout, OnDone onDone);
  void close();

  [[nodiscard]] bool idle() const { return State == Phase::Idle; }
  /// True if the server has an open transaction, failed or not.
  [[nodiscard]] bool inTransaction() const;

private:
  enum class Phase : std::uint8_t { New, Connecting, Idle, Busy, Closed };

  void poll();
  void attach();
  void detach();
  void waitFor(asio::posix::stream_descriptor::wait_type type, void (PgConnection::*then)());
  void setDeadline(std::chrono::milliseconds timeout, const char *what);
  void clearDeadline();
  void flush();
  void readable();
  void take(const PGresult &result);
  void addRows(const PGresult &result);
  void finish();
  void fail(const std::string &why);

  asio::posix::stream_descriptor Fd;
  asio::steady_timer Deadline;
  std::size_t MaxAnswerBytes;
  PGconn *Conn = nullptr;
  Phase State = Phase::New;
  std::uint64_t Round = 0; ///< Grows when the descriptor changes; earlier handlers do nothing.
  OnConnected Connected;
  OnDone Done;
  OnClosed Closed;
  PgOutcome Outcome;
  std::size_t AnswerBytes = 0;
  bool InRows = false; ///< The last of Outcome.Results still gets rows.
};

} // namespace rosemaryhinge::detail
