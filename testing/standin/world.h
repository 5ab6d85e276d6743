// Both outside systems in one process: the platform, the database groups and their ports.

#pragma once

#include "standin/databasegroup.h"
#include "standin/deployment.h"
#include "standin/httpserver.h"
#include "standin/pglistener.h"
#include "standin/platformapi.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <memory>
#include <string>
#include <vector>

namespace rosemaryhinge::standin {

class World {
public:
  /// Listens on all ports at once. Throws std::runtime_error or std::system_error.
  World(asio::io_context &io, Deployment deployment);

  struct Server {
    DatabaseServer *Database = nullptr;
    std::unique_ptr<PgListener> Listener;
    Location Place;
  };

  [[nodiscard]] PlatformApi &platform() { return Platform; }
  [[nodiscard]] std::vector<Server> &servers() { return Servers; }
  [[nodiscard]] const Deployment &deployment() const { return Setup; }
  /// None if there is no server of that name.
  [[nodiscard]] Server *find(const std::string &target);
  /// The server that holds office in the highest term of a database; none if there is no such database.
  [[nodiscard]] Server *primary(const std::string &database);
  [[nodiscard]] std::uint16_t port() const { return Http.port(); }

private:
  void handle(const HttpRequest &request, const HttpReply &reply);
  void addDatabase(std::size_t index);
  void putObjects();
  void runScript();

  asio::io_context &Io;
  Deployment Setup;
  PlatformApi Platform;
  HttpServer Http;
  std::vector<std::unique_ptr<DatabaseGroup>> Groups;
  std::vector<Server> Servers;
  std::vector<std::unique_ptr<asio::steady_timer>> Timers;
};

} // namespace rosemaryhinge::standin
