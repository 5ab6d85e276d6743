// A service of one primary and its replicas. Each server has a log of its own: a commit goes to the log of
// the primary and reaches each replica that receives after a lag. A promoted server leads with what it has
// received.

#pragma once

#include "platformsoak/objectstore.h"
#include "platformsoak/observations.h"
#include "platformsoak/serverlog.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace rosemaryhinge::platformsoak {

struct ServiceOptions {
  std::string Name;
  std::vector<std::string> Zones; ///< Of its servers; the first one leads at the start.
  int Slots = 3;
  int MaxConns = 22;
  Millis HandshakeMs = 12;
  Millis HeartbeatMs = 1'200;
  /// From the receipt of a commit to its application.
  Millis ReplicaLagMs = 60;
  Millis PromoteMs = 1'000;
  Millis DrainMs = 7'000;
  double LateShare = 0.5; ///< Of orders while they are delayed.
  /// How much later a delayed order is carried out.
  Millis LeastLateMs = 2'000, MostLateMs = 12'000;
  std::uint64_t Seed = 1;
};

/// A server process. Its fields are guarded by the service's lock.
struct DbServer {
  std::string Id, Zone;
  int Port = 0, ListenFd = -1;
  /// Counts the processes at this address. A thread of an earlier one ends itself.
  int Incarnation = 0;
  bool Up = false, Leads = false, Draining = false;
  bool Leaving = false; ///< Drains, or is about to.
  bool Listed = false;  ///< It has written its entry.
  bool EndsForGood = false;
  /// Connections from these proxies stall until the time.
  std::set<std::size_t> LostBy;
  Millis LostUntil = 0;
  Millis CutOffUntil = 0; ///< Receives nothing from the present primary until this time.
  /// Of the lead that the log is of; 0 for a server that has received nothing yet.
  std::uint64_t Term = 0;
  /// Number of the end of the log when the term began. A server of the term has applied it.
  std::uint64_t TermStart = 0;
  ServerLog Log;
  Millis LagMs = 0;           ///< From a commit at the primary to its receipt.
  std::uint64_t HeldTerm = 0; ///< Receives nothing while this is set.
  int Busy = 0, Conns = 0;
  Millis Born = 0;
  std::uint64_t Sequence = 0;
  std::map<int, bool> Fds; ///< Open connections.
};

/// A write as it is kept in the log.
struct LoggedWrite {
  std::string Statement, Item, Value;
};

/// Who ordered a promotion.
struct PromotionOrder {
  std::string Id; ///< Of the server.
  std::string Holder;
  std::uint64_t Token = 0;
};

class DbService {
public:
  DbService(ServiceOptions options, ObjectStore &store, Observations &seen);
  [[nodiscard]] const ServiceOptions &options() const { return Options; }
  [[nodiscard]] std::string serverId(std::size_t n);
  /// Index of the server that leads or led last.
  [[nodiscard]] std::size_t primary();
  /// Index of one of the replicas that run and stay; the primary's without one.
  [[nodiscard]] std::size_t replica(std::size_t which);
  /// The server reports that it drains, ends some time later, and a new one takes its address.
  void drain(std::size_t n);
  /// A new replica starts, and is listed after the time, once it has the log. Then the server drains and ends
  /// for good.
  void replace(std::size_t n, Millis listedAfterMs);
  /// The server ends without notice, and starts again with its log.
  void crash(std::size_t n, Millis downMs);
  /// Connections between the server and these proxies stall.
  void lose(std::size_t n, std::set<std::size_t> proxies, Millis ms);
  /// All present replicas, or the first one, receive nothing from the primary.
  void cutOffReplicas(bool all, Millis ms);
  /// Some orders get no answer and are carried out late, if they are still allowed then.
  void delayOrders(Millis ms);
  /// Tells which proxy a connection comes from.
  using FindProxy = std::function<std::optional<std::size_t>(int fd)>;
  /// To be called before there are connections.
  void setFindProxy(FindProxy find) { ProxyOf = std::move(find); }
  /// The platform's order. Returns the HTTP status; 0 for no answer.
  int promote(const PromotionOrder &order);
  /// The newest acknowledged position before the time that no promotion has rolled back.
  [[nodiscard]] std::uint64_t acknowledgedBefore(Millis at);
  [[nodiscard]] std::vector<std::string> liveIds();

private:
  friend class ServerConnection;
  DbServer &add(const std::string &zone, std::uint64_t term);
  /// With a new id, or the one it had.
  void start(DbServer &server, bool keepId = false);
  void listen(DbServer &server, bool keepId = false);
  void startBeats(DbServer &server);
  /// Waits until the server has received the log.
  void awaitLog(const DbServer &server);
  void accept(DbServer &server, int listenFd, int incarnation);
  void beat(DbServer &server);
  void beatUntilEnd(DbServer &server, int incarnation);
  void end(DbServer &server);
  /// The server, which is now about to leave. Null if it already is, or does not run.
  DbServer *choose(std::size_t n);
  void takeDown(DbServer &server);
  void drainAndEnd(DbServer &server);
  void replicate();
  int carryOut(const PromotionOrder &order);
  /// How much later an order is carried out; 0 for at once.
  Millis orderDelay();
  void leadAfterPromotion(DbServer &server, const PromotionOrder &order);
  // The lock is held.
  [[nodiscard]] std::uint64_t applied(const DbServer &server) const;
  [[nodiscard]] std::string valueAt(const std::string &item, const DbServer &server) const;
  [[nodiscard]] bool present(const DbServer &server, int incarnation) const;
  [[nodiscard]] bool leads(const DbServer &server, std::uint64_t term) const;
  [[nodiscard]] bool isReceived(const DbServer &by, const LoggedCommit &commit) const;
  [[nodiscard]] std::string positionOf(const DbServer &server) const;
  /// The replica takes over what it lacks of the primary's log. Rolls back what is not in that log.
  bool receive(DbServer &replica, const DbServer &primary);
  void lead(DbServer &server);
  Promotion rollBack(const DbServer &promoted, const PromotionOrder &order);
  CommitRef append(DbServer &server, const std::string &statement, std::vector<LoggedWrite> writes);
  // The lock is taken.
  /// Waits for a slot and holds it. False if the server has ended.
  bool work(DbServer &server, int incarnation, Millis ms);
  /// Appends a commit, and waits until a replica has it. False if it is not to be acknowledged.
  /// Statement is the one that commits them.
  bool commit(DbServer &server, std::uint64_t term, const std::string &statement,
              std::vector<LoggedWrite> writes);

  struct Version {
    CommitRef Commit;
    std::string Value;
  };
  ServiceOptions Options;
  ObjectStore &Objects;
  Observations &Seen;
  std::mutex Lock;
  std::condition_variable SlotFree, Received;
  std::mt19937_64 Random;
  std::vector<std::unique_ptr<DbServer>> Servers;
  std::vector<CommitRef> Commits;                       ///< In the order of their times.
  std::map<std::string, std::vector<Version>> Versions; ///< By item.
  std::uint64_t LastToken = 0;
  Millis OrdersLateUntil = 0;
  FindProxy ProxyOf;
  std::uint64_t Ids = 0;
  std::atomic<std::uint64_t> Signatures{0};
};

} // namespace rosemaryhinge::platformsoak
