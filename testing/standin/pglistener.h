// Port of one database server, with its connections.

#pragma once

#include "standin/databaseserver.h"
#include "standin/pgsession.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace rosemaryhinge::standin {

class PgListener {
public:
  /// Listens at once. Port 0 takes a free one. Throws std::system_error if the port is taken.
  PgListener(asio::io_context &io, std::uint16_t port, DatabaseServer &server);

  /// Closes the port and all connections, as a process that ends.
  void stop();
  void start();
  /// Lets connections continue after a cut.
  void resume();
  [[nodiscard]] std::uint16_t port() const { return Port; }
  [[nodiscard]] std::size_t connections();

private:
  void open();
  void accept();
  bool claim(std::uint32_t slot, std::uint64_t generation);
  std::vector<std::shared_ptr<PgSession>> live();

  asio::io_context &Io;
  std::uint16_t Port;
  DatabaseServer &Server;
  std::optional<asio::ip::tcp::acceptor> Acceptor;
  /// Kept here because a session of a cut server waits for nothing that would hold it.
  std::vector<std::shared_ptr<PgSession>> Sessions;
};

} // namespace rosemaryhinge::standin
