// A connection to a database server: its statements, one after the other.

#pragma once

#include "platformsoak/dbservice.h"
#include "platformsoak/sockets.h"

#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace rosemaryhinge::platformsoak {

class ServerConnection {
public:
  ServerConnection(DbService &of, DbServer &server, int fd, int incarnation, std::uint64_t seed)
      : Of(of), Server(server), Incarnation(incarnation), Socket(fd), Random(seed) {}
  /// Serves until the connection ends, and closes it.
  void serve();

private:
  bool greet();
  /// Waits while the network between the proxy and the server is cut. False if the server has dropped the
  /// connection meanwhile.
  bool passNetwork();
  Millis cutUntil();
  /// The whole answer but its READY. Empty if the server has ended.
  std::string run(const std::string &id, std::string text);
  std::string runStatement(const std::string &id, const std::string &word, const std::string &rest);
  std::string runOrder(const std::string &word, const std::string &rest);
  static void carryOut(DbServer &server, const std::string &word, std::uint64_t term);
  std::string begin(const std::string &rest, bool lacks);
  std::string read(const std::string &id, const std::string &item);
  std::string write(const std::string &id, const std::string &item, const std::string &value);
  std::string endTransaction(const std::string &id);
  std::string refuse(const std::string &code);
  std::string ready();
  std::string statusRow();
  std::string sign();
  /// Notes what becomes of a request at this server. Work is called for it.
  bool workOn(const std::string &id, const std::string &signature, const std::string &rows, Millis ms);
  [[nodiscard]] bool present();

  DbService &Of;
  DbServer &Server;
  int Incarnation;
  LineSocket Socket;
  std::mt19937_64 Random;
  char State = 'I';
  bool ReadOnly = false;
  /// Where it comes from; looked up only for a server that some proxies have lost.
  std::optional<std::optional<std::size_t>> Proxy;
  std::string User;       ///< Under whose name it was opened.
  bool First = false;     ///< The transaction has got no statement yet.
  std::uint64_t Term = 0; ///< Of the lead under which the transaction began.
  std::vector<LoggedWrite> Writes;
  std::map<std::string, std::string> Prepared; ///< READ or WRITE, by name.
};

} // namespace rosemaryhinge::platformsoak
