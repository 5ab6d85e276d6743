// One connection of the PostgreSQL protocol.

#pragma once

#include "standin/databaseserver.h"
#include "standin/queryrunner.h"
#include "standin/slottable.h"

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <string>

namespace rosemaryhinge::standin {

class PgSession : public std::enable_shared_from_this<PgSession> {
public:
  PgSession(asio::io_context &io, asio::ip::tcp::socket socket, DatabaseServer &server,
            QueryRunner::ClaimSlot claim);

  void start();
  /// Ends the connection.
  void close();
  /// Continues after a cut is over.
  void resume();
  [[nodiscard]] bool closed() const { return Closed; }
  /// Set once a slot connection has been admitted.
  [[nodiscard]] const std::optional<SlotName> &slot() const { return Slot; }

private:
  enum class Phase : std::uint8_t { Startup, Delayed, Ready };

  void read();
  void onRead(std::error_code ec, std::size_t bytes);
  void process();
  bool processStartup();
  bool processMessage();
  bool admit(const std::string &applicationName);
  void welcome();
  void refuse(const SqlError &error);
  void flush();
  void watchIdle();

  asio::ip::tcp::socket Socket;
  DatabaseServer &Server;
  std::shared_ptr<QueryRunner> Runner;
  asio::steady_timer Timer; ///< Connect delay, then the limit of an idle transaction.

  Phase Stage = Phase::Startup;
  std::optional<SlotName> Slot;
  std::array<char, 16'384> Buf{};
  std::string In;
  std::string Writing; ///< Being sent.
  bool Busy = false;   ///< A query is running.
  bool Reading = false;
  bool CloseAfterFlush = false;
  bool Closed = false;
};

} // namespace rosemaryhinge::standin
