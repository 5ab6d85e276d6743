// Simulated platform with proxies that keep sessions, their callers, and faults drawn from a seed.
//
// Everything is judged by what callers and servers see: reads must run on logs that hold every commit
// acknowledged in time, acknowledged writes must survive, a write runs at most once, and one that is refused
// as not run does not run. A proxy that is stopped as planned answers every statement that it has read.

#pragma once

#include "reducer/reducer.h"
#include "sessionworld/dbcluster.h"
#include "sessionworld/directorystore.h"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace rosemaryhinge::sessionworld {

/// What happens beside replacements of servers.
struct ReplacementFaults {
  bool PrimaryCrashes = false;  ///< The primary comes back with its log.
  bool ProxyCuts = false;       ///< Some or all proxies lose the primary; its replicas do not.
  bool ReplicationCuts = false; ///< The replicas lose the primary, except for one that joins.
  bool Suspensions = false;     ///< Of proxies.
  bool ProxyPartitions = false; ///< A proxy is cut from the others.
  bool EntryDeletions = false;  ///< The store loses the entry of a proxy.
  /// The replicas lose the primary; seconds later a server joins, and the primary crashes soon after.
  bool LateJoins = false;
};

struct WorldOptions {
  std::uint64_t Seed = 1;
  bool Fencing = true;
  /// What the proxies are told; other than Fencing, it breaks the rule that the difference stands for.
  bool ProxiesExpectFencing = true;
  std::size_t Faults = 5;
  /// Whether the proxies know of each other and exchange messages.
  bool PeerLinks = true;
  /// Proxies that are stopped and started again as planned, in series that overlap. Callers that keep their
  /// sessions in steady use come with them, and others that connect to a proxy while it stops.
  std::size_t Restarts = 0;
  /// Times that the store comes back from an older copy. The operator changes the configuration meanwhile.
  std::size_t StoreRestorations = 0;
  /// Replicas that drain and then end together with their logs, while other servers crash or receive nothing,
  /// and proxies are suspended or replaced.
  std::size_t Drains = 0;
  /// Servers that are replaced one after the other, the primary included, each by one that joins before it
  /// ends.
  std::size_t Replacements = 0;
  ReplacementFaults BesideReplacements;
  /// Probability that an order to a server, or a promotion, has no answer and is carried out 2 to 12 s later.
  double LateOrders = 0;
  /// Connections that each server accepts, also told to the proxies. Zero: any number. A commit that waits
  /// for a replica keeps its connection until it is answered.
  std::uint32_t MaxConnections = 0;
};

struct WorldResult {
  std::vector<std::string> Violations;
  std::size_t Reads = 0;
  std::size_t Writes = 0;
  std::size_t Promotions = 0;
  std::size_t Restarts = 0;
  std::size_t Drains = 0;
  std::size_t Replacements = 0;
  std::size_t LateOrders = 0;
  std::size_t RefusedConnections = 0; ///< By servers whose connections were all in use.
  /// The same where commits that wait for a replica held more than half of the connections.
  std::size_t RefusedBesideCommits = 0;
  std::size_t SteadyAnswers = 0; ///< Of callers that keep their sessions.
  std::size_t LateAnswers = 0;   ///< Of callers that connected to a proxy while it stopped.
  bool RecoveredWrites = false;  ///< Writes were served in the last second, after all faults had ended.
  std::string Servers;           ///< State of the servers at the end.
  std::size_t LostWrites = 0;    ///< Acknowledged ones that a promoted server lacked.
  /// The same for those that servers acknowledged, whatever their callers were told.
  std::size_t LostAtServers = 0;
  std::vector<std::string> Log; ///< Warnings of the proxies, and what happens to the servers.
};

class World {
public:
  explicit World(const WorldOptions &options);
  /// Plays the faults, and some seconds without any after them.
  WorldResult run();

private:
  /// Bound on the processes of a run, so that the numbers of their links at the servers differ.
  static constexpr std::size_t MaxProcesses = 64;
  static constexpr Duration MaxOrderDelay = 12s;

  struct Proxy {
    State Logic;
    bool Paused = false;
    bool Ended = false;                 ///< The process is gone; its successor has another index.
    std::optional<TimePoint> StoppedAt; ///< When it was asked to stop.
    bool Accepting = true;              ///< Callers can connect.
    std::deque<Event> Held;             ///< Events that arrived while the process was paused.
    std::optional<TimePoint> TimerAt;
  };
  struct Link {
    std::size_t Proxy = 0;
    TargetId Target;
    std::size_t Server = 0;
    bool Silent = false; ///< An answer was lost: nothing more arrives in either direction.
  };
  struct Operation {
    std::string Statement;
    bool Write = false;
    bool Current = false; ///< A read of the newest data.
    TimePoint SentAt;
  };
  /// A caller that sends one statement after the other on the session that it keeps.
  struct SteadyCaller {
    SessionId Session; ///< Zero while it has none.
    std::size_t Proxy = 0;
    std::string Statement; ///< In progress; empty if none is.
  };

  /// A caller that connects to a proxy while it stops, for one statement.
  struct LateCaller {
    std::size_t Proxy = 0;
    std::string Statement;
  };

  [[nodiscard]] static NodeId nodeOf(std::size_t place);
  void addProxy(std::size_t place);
  /// Adds a line to the log of the run.
  void trace(const std::string &line);
  /// The highest position that each proxy has acknowledged to callers, for the log of the run.
  [[nodiscard]] std::string describeAcknowledged() const;

  // Draining servers (drains.cpp).
  /// Schedules them. Returns the time at which the last one and the faults beside it have ended.
  TimePoint planDrains();
  void drainReplica();
  void terminateServer(std::size_t server);
  void stallReplica(std::size_t server);
  /// Kills a process. The one that takes its place knows none of the commits that its callers were told of.
  void replaceProxy(std::size_t place);

  // Replacements of servers (replacements.cpp).
  /// Schedules them, and the faults beside them. Returns the time at which all have ended.
  TimePoint planReplacements();
  /// Adds a server, and drains one of those that were there before.
  void replaceServer();
  /// Adds a server, which is listed later. Returns its index.
  std::size_t joinServer();
  /// Lists a server that has joined.
  void listServer(std::size_t server);
  void drainServer(std::size_t server);
  /// Ends a drained server as soon as its log is not the only one with an acknowledged write.
  void endServer(std::size_t server);
  void injectReplacementFault();
  void cutProxies(std::size_t server, Duration length);
  void cutReplication(std::size_t server, Duration length);
  /// Cuts the replication of a server, lets another one join, which receives all that waits, and crashes it.
  void crashAfterJoin(std::size_t server, Duration length);

  // Messages between the proxies (peerlinks.cpp).
  [[nodiscard]] std::optional<std::size_t> placeOf(const NodeId &node) const;
  [[nodiscard]] bool partitioned(std::size_t a, std::size_t b) const;
  void sendToPeer(std::size_t proxy, const SendToPeer &effect);
  /// A process has ended: the others' connections to it close.
  void reportLostPeer(std::size_t proxy);
  /// Cuts a proxy from the others.
  void partitionProxy(Duration length);

  // Orders that are carried out late (lateorders.cpp).
  /// \returns the time after which an order is carried out without an answer, if that is to happen.
  std::optional<Duration> drawOrderDelay();
  /// \returns false if the command is to be carried out now.
  bool delayOrder(Link &link, const LinkCommand &command);
  bool delayPromotion(std::size_t proxy, const PromotionCall &call);

  // Restorations of the store (storerestorations.cpp).
  /// Schedules them, and changes of the configuration. Returns the time of the last one.
  TimePoint planStoreRestorations();
  void restoreStore();
  /// At the end: the configuration that the operator wrote last is in force everywhere.
  void checkConfigurations();

  // Planned stops and steady callers (plannedstops.cpp).
  /// Schedules the planned stops and opens the steady callers' sessions. Returns the time of the last stop.
  TimePoint planRestarts();
  /// Stops a proxy as planned. A new process takes its place once it has ended, at the latest after the
  /// grace.
  void restartProxy();
  void endProxy(std::size_t proxy);
  void openSteady(std::size_t caller);
  void sendSteady(std::size_t caller, SessionId session);
  void onSessionAccepted(SessionId session);
  void onSessionClosedByProxy(SessionId session);
  /// Whether the session is that of a steady caller, which then goes on after a pause.
  bool answerSteady(SessionId session);
  /// Connects a caller that starts its session some time later.
  void connectLate(std::size_t proxy);
  /// A proxy has ended: none of the callers that it let connect may be left without an answer.
  void checkLateCallers(std::size_t proxy);

  void start(std::size_t proxy);
  void deliver(std::size_t proxy, const Event &event);
  void apply(std::size_t proxy, const Event &event);
  void scheduleTimer(std::size_t proxy);
  void carryOut(std::size_t proxy, const Effect &effect);
  void open(std::size_t proxy, const OpenLink &effect);
  /// Whether a server has a connection for another link. Counts those that are refused.
  bool acceptsConnection(std::size_t server);
  void send(std::size_t proxy, const SendOnLink &effect);
  /// Checks that a proxy orders each server at intervals, and asks it for its status. Without fencing, reads
  /// ask for it as well, to confirm a lease: they have no part in changes of primary.
  void checkOrderRate(std::size_t proxy, LinkId link, std::span<const LinkCommand> commands);
  void runOne(std::size_t proxy, LinkId link, const LinkCommand &command);
  void checkRead(const RunStatement &statement, const DbServer &server);
  void onAnswer(std::size_t proxy, const AnswerStatement &answer);
  void request();
  void injectFault();
  /// Crashes a server that is up, and starts it again with its log.
  /// \param reborn Whether it starts under a new id.
  void crashServer(std::size_t server, bool reborn, Duration length);
  void suspendProxy(std::size_t proxy, Duration length);
  void breakLinks(std::size_t server);
  /// Number of a link at the servers, where links of different proxies must differ.
  [[nodiscard]] static LinkId atServers(std::size_t proxy, LinkId link) {
    return LinkId{link.Value * MaxProcesses + proxy};
  }
  [[nodiscard]] bool cutOff(std::size_t proxy, std::size_t server) const {
    return Cuts.contains({proxy, server});
  }

  WorldOptions Options;
  fakes::EventQueue Queue;
  fakes::Dice Random;
  fakes::Dice OrderRandom;   ///< For orders that are carried out late.
  fakes::Dice PlannedRandom; ///< For steady callers and all that is planned.
  fakes::Dice PeerRandom;    ///< For messages between proxies.
  DbCluster Cluster;
  DirectoryStore Store;
  std::vector<std::unique_ptr<Proxy>> Proxies; ///< Each process that was ever started.
  std::vector<std::size_t> Live;               ///< The process in each place of the fleet.
  std::vector<SteadyCaller> SteadyCallers;
  std::map<SessionId, LateCaller> LateCallers;
  std::map<std::pair<std::size_t, LinkId>, Link> Links;
  std::set<std::pair<std::size_t, std::size_t>> Cuts;     ///< Proxy and server.
  std::set<std::pair<std::size_t, std::size_t>> PeerCuts; ///< Places of two proxies.
  /// When the last message from one process to another arrives.
  std::map<std::pair<std::size_t, std::size_t>, TimePoint> LastDelivery;
  std::map<std::pair<std::size_t, SessionId>, Operation> Sessions;
  std::map<std::string, Operation> Running; ///< By statement.
  std::map<std::string, TimePoint> AcknowledgedAt;
  std::vector<std::string> RefusedWrites;
  std::uint64_t LastNumber = 0;
  std::uint64_t HighestToken = 0; ///< Of the orders sent.
  /// Orders and status queries in the last second, by proxy and server.
  std::map<std::pair<std::size_t, std::size_t>, std::deque<TimePoint>> RecentOrders;
  TimePoint LastPlanned{}; ///< End of what is planned; orders are in time from then on.
  std::uint64_t Reborn = 0;
  std::optional<TimePoint> LastWriteAt;
  WorldResult Result;
};

} // namespace rosemaryhinge::sessionworld
