// Final check of a run: reads which keys ran in each database and compares them with the ledger.

#pragma once

#include "load/ledger.h"
#include "load/mix.h"
#include "load/proxies.h"

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace rosemaryhinge::load {

class Verifier {
public:
  Verifier(asio::io_context &io, Proxies &to, Ledger &ledger, std::vector<std::string> databases,
           std::string run);

  /// Checks one database after the other. Calls back with the reason if one could not be read, else with an
  /// empty text.
  void start(std::function<void(const std::string &)> done);

private:
  void next();
  void write();
  void readPage();
  void take(const Reply &reply);
  void post(const std::string &body, std::function<void(const Reply &)> done);

  asio::io_context &Io;
  Proxies &To;
  Ledger &Notes;
  std::vector<std::string> Databases;
  std::string Run;
  std::function<void(const std::string &)> Done;
  std::size_t Index = 0;
  std::string Token;   ///< Covers every write that was acknowledged before the check.
  std::string LastKey; ///< Of the pages read so far.
  std::map<std::string, std::uint64_t> Runs;
};

} // namespace rosemaryhinge::load
