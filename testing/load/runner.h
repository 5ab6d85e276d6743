// Open-loop arrivals: each request starts at its intended time, whether or not earlier ones are answered.

#pragma once

#include "load/ledger.h"
#include "load/mix.h"
#include "load/proxies.h"
#include "load/tally.h"
#include "load/verifier.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace rosemaryhinge::load {

struct RunOptions {
  std::vector<asio::ip::tcp::endpoint> Proxies;
  std::string Mix = "paalisoft";
  std::string Run;  ///< Tells this run's rows from those of others.
  double Rate = 50; ///< Arrivals per second.
  double Seconds = 10;
  double CrestFactor = 1; ///< Multiplies the rate between CrestAt and CrestAt + CrestFor.
  double CrestAt = 0;
  double CrestFor = 0;
  std::uint64_t Seed = 1;
  std::uint32_t DeadlineMs = 5000;
  std::size_t MaxConnections = 200;
};

class Runner {
public:
  Runner(asio::io_context &io, RunOptions options);

  /// Creates the tables, sends the load, waits for the answers and verifies. Then the io context runs out of
  /// work.
  void start();
  /// One line of JSON.
  [[nodiscard]] std::string report() const;
  /// 0: verified without violation. 1: a violation. 3: the run could not be verified.
  [[nodiscard]] int exitCode() const;

private:
  using Clock = std::chrono::steady_clock;

  struct Session {
    std::uint64_t Id = 0;
    std::string Token;
    std::uint64_t Acknowledged = 0; ///< Writes that the token covers.
  };
  struct Work {
    Operation Request;
    Clock::time_point Intended;
    std::shared_ptr<Session> Caller; ///< None for a read of stated age.
    int Tries = 0;
    bool Repeat = false; ///< Sent again after its acknowledgement, to test that it does not run twice.
  };

  void prepare(std::size_t database);
  void schedule();
  void arrive(Clock::time_point intended);
  std::shared_ptr<Session> takeSession(const std::string &database);
  void send(const std::shared_ptr<Work> &work);
  void answered(const std::shared_ptr<Work> &work, const Reply &reply);
  void noteWrite(Work &work, const Reply &reply);
  void finish(const std::shared_ptr<Work> &work, const Reply &reply);
  void retry(const std::shared_ptr<Work> &work);
  void checkEnd();
  [[nodiscard]] double rateAt(double second) const;

  asio::io_context &Io;
  RunOptions Options;
  Mix Profile;
  Proxies To;
  Tally Counts;
  Ledger Notes;
  Verifier Check;
  asio::steady_timer Timer;
  std::mt19937_64 Random;
  Clock::time_point Begin;
  Clock::time_point Next; ///< Intended time of the next arrival.
  std::map<std::string, std::vector<std::shared_ptr<Session>>> IdleSessions; ///< By database.
  std::uint64_t Sessions = 0;
  std::uint64_t Arrivals = 0;
  std::uint64_t Open = 0;
  bool Arriving = true;
  std::string Problem = "not finished"; ///< Why the run is not verified.
};

} // namespace rosemaryhinge::load
