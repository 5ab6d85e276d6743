// The callers: long sessions that are mostly idle, and sessions that serve one operation and close.

#pragma once

#include "platformsoak/balancer.h"
#include "platformsoak/callersession.h"
#include "platformsoak/configoperator.h"
#include "platformsoak/dbservice.h"
#include "platformsoak/forwarder.h"

#include <atomic>
#include <memory>
#include <random>
#include <span>
#include <string>
#include <vector>

namespace rosemaryhinge::platformsoak {

/// What callers of a kind of route do.
struct Workload {
  RouteKind Kind = RouteKind::Primary;
  std::string HostPrefix;    ///< The database is this and the service's number.
  Millis TimeoutMs = 0;      ///< Of the route.
  Millis DeadlineMs = 0;     ///< Of an operation.
  Millis MaxStalenessMs = 0; ///< 0: reads are current.
  double WriteShare = 0, TransactionShare = 0;
  bool Fresh = false; ///< A session for each operation.
  int Callers = 0;
  Millis PauseMs = 0; ///< Between operations, on average.
};

[[nodiscard]] const std::vector<Workload> &workloads();
/// One of each kind of route.
[[nodiscard]] std::span<const Workload> routeWorkloads();

/// Whether the routes of this service ask for no key.
[[nodiscard]] inline bool isAnonymous(std::size_t service) { return service == 0; }

struct CallerCounts {
  std::atomic<int> Served{0}, Failed{0}, Sessions{0};
};

/// What callers share.
struct CallerContext {
  Observations &Seen;
  const Balancer &Entry;
  std::vector<std::unique_ptr<DbService>> &Services;
  std::vector<std::unique_ptr<ProxyProcess>> &Proxies;
  std::vector<std::unique_ptr<Forwarder>> &Networks;
  std::atomic<bool> &Over;
  const ConfigOperator &Operator;
  /// Callers read slowly until this time.
  std::atomic<Millis> SlowUntil{0};
  /// Callers pause for half as long until this time.
  std::atomic<Millis> BurstUntil{0};
  /// Callers of this workspace pause for a fraction of the usual time until this time.
  std::atomic<std::size_t> FloodTenant{0};
  std::atomic<Millis> FloodUntil{0};
  CallerCounts Counts{};
};

/// One caller. Its thread runs until the callers are over.
class Caller {
public:
  Caller(CallerContext &context, const Workload &workload, std::string zone, int number, std::uint64_t seed);
  void run();

private:
  enum class Outcome { Served, Retry, Failed };
  void operation();
  Outcome attempt(int number);
  Outcome transaction();
  bool open(int attempt);
  [[nodiscard]] int haste() const;
  Answer send(const std::string &text);
  Outcome after(const Answer &answer, bool mayHaveRun) const;
  std::string randomItem();
  std::string randomStatement(bool mayWrite, bool &writes);
  /// Sets the position that the next read needs, as its first byte leaves now.
  void noteNeeds();
  double roll() { return std::uniform_real_distribution<double>(0, 1)(Random); }

  CallerContext &Context;
  const Workload &Work;
  std::string Zone;
  int Number;
  std::mt19937_64 Random;
  CallerSession Session;
  DbService &Service;
  std::string Host;
  std::optional<std::size_t> Tenant; ///< Index; absent on an anonymous route.
  bool Direct;                       ///< Its connections leave the forwarder out.
  Millis EndBy = 0;
  std::uint64_t Needs = 0;
  std::uint64_t OwnCommit = 0; ///< Of this session.
  std::string LastId;
};

} // namespace rosemaryhinge::platformsoak
