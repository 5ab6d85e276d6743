// The servers of one database and the replication between them.

#pragma once

#include "base/id.h"
#include "groups/group.h"
#include "standin/databaseserver.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace rosemaryhinge::standin {

class DatabaseGroup {
public:
  /// Starts in term 1 with the server at `primary` in office.
  DatabaseGroup(asio::io_context &io, DatabaseId database, const std::vector<TargetId> &targets,
                std::size_t primary, std::uint32_t slotLimit);

  /// Runs statements as the first transaction of every log. Throws std::runtime_error if one fails.
  void initialise(const std::vector<std::string> &sql);

  [[nodiscard]] const DatabaseId &database() const { return Database; }
  [[nodiscard]] std::vector<std::unique_ptr<DatabaseServer>> &servers() { return Servers; }

private:
  void heartbeat();
  void send(DatabaseServer &from);
  void deliver(DatabaseServer &from, DatabaseServer &to, Term term, std::size_t count);

  asio::io_context &Io;
  DatabaseId Database;
  std::vector<std::unique_ptr<DatabaseServer>> Servers;
  asio::steady_timer Timer;
};

} // namespace rosemaryhinge::standin
