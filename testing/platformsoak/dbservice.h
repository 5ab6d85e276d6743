// A service of one primary and two replicas: its log, its servers' places in it, and changes of primary.

#pragma once

#include "platformsoak/objectstore.h"
#include "platformsoak/observations.h"

#include <atomic>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
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
  Millis ReplicaLagMs = 60;
  Millis PromoteMs = 1'000;
  Millis DrainMs = 7'000;
  std::uint64_t Seed = 1;
};

/// A server process. Its fields are guarded by the service's lock.
struct DbServer {
  std::string Id, Zone;
  int Port = 0, ListenFd = -1;
  /// Counts the processes at this address. A thread of an earlier one ends itself.
  int Incarnation = 0;
  bool Up = false, Leads = false, Draining = false;
  std::uint64_t Term = 3;
  std::uint64_t Received = 1'200; ///< Position.
  std::uint64_t HeldTerm = 0;     ///< Receives nothing while this is set.
  int Busy = 0, Conns = 0;
  Millis Born = 0;
  std::uint64_t Sequence = 0;
  std::map<int, bool> Fds; ///< Open connections.
};

/// A write as it is kept in the log.
struct LoggedWrite {
  std::string Statement, Item, Value;
};

class DbService {
public:
  DbService(ServiceOptions options, ObjectStore &store, Observations &seen);
  [[nodiscard]] const ServiceOptions &options() const { return Options; }
  [[nodiscard]] std::string serverId(std::size_t n);
  [[nodiscard]] std::size_t primary();
  /// The server reports that it drains, ends some time later, and a new one takes its address and log.
  void drain(std::size_t n);
  /// The platform's order, with the fencing token. Returns the HTTP status.
  int promote(const std::string &id, std::uint64_t token);
  /// The newest acknowledged position, and the newest that was acknowledged before the time.
  [[nodiscard]] std::uint64_t acknowledgedBefore(Millis at);
  [[nodiscard]] std::vector<std::string> liveIds();

private:
  friend class ServerConnection;
  void start(DbServer &server);
  void accept(DbServer &server, int listenFd, int incarnation);
  void beat(DbServer &server);
  void end(DbServer &server);
  void leadAfterPromotion(DbServer &server);
  // The lock is held.
  [[nodiscard]] std::uint64_t applied(const DbServer &server) const;
  [[nodiscard]] std::string valueAt(const std::string &item, std::uint64_t position) const;
  [[nodiscard]] bool present(const DbServer &server, int incarnation) const;
  // The lock is taken.
  /// Waits for a slot and holds it. False if the server has ended.
  bool work(DbServer &server, int incarnation, Millis ms);
  /// Appends a commit, and waits until a replica has it. The position if it is to be acknowledged.
  /// Statement is the one that commits them.
  std::optional<std::uint64_t> commit(DbServer &server, std::uint64_t term, const std::string &statement,
                                      std::vector<LoggedWrite> writes);

  struct Commit {
    std::uint64_t Position;
    Millis At;
    std::optional<Millis> AcknowledgedAt;
  };
  ServiceOptions Options;
  ObjectStore &Objects;
  Observations &Seen;
  std::mutex Lock;
  std::condition_variable SlotFree;
  std::vector<std::unique_ptr<DbServer>> Servers;
  std::vector<Commit> Commits; ///< In the order of their positions.
  std::map<std::string, std::vector<std::pair<std::uint64_t, std::string>>> Versions; ///< By item.
  std::uint64_t Position = 1'200;
  /// Of the log when the present term began. A server of the term has applied it.
  std::uint64_t TermStart = 0;
  std::uint64_t LastToken = 0;
  std::uint64_t Ids = 0;
  std::atomic<std::uint64_t> Signatures{0};
};

} // namespace rosemaryhinge::platformsoak
