// A database server of a group: log, terms, marker table, slots and connections.

#pragma once

#include "fakes/dice.h"
#include "fakes/eventqueue.h"
#include "fakes/network.h"
#include "fakes/observer.h"
#include "protocol/target.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace rosemaryhinge::fakes {

using EntryPtr = std::shared_ptr<const LogEntry>;

/// Names a connection across proxies and their incarnations.
struct ConnectionKey {
  std::size_t Proxy = 0;
  std::uint64_t Incarnation = 0;
  std::uint64_t Connection = 0;

  auto operator<=>(const ConnectionKey &) const = default;
};

struct ServerTiming {
  Duration Connect{};
  Duration StatementLow = 300us;
  Duration StatementHigh = 1500us;
  /// Executions beyond this number slow each other down in proportion.
  std::uint32_t Cores = 1000;
};

class FakeServer {
public:
  using ControlResult = decltype(ControlAnswer::Result);
  using ControlReply = std::function<void(ControlResult)>;
  /// Sends an event back over the connection; the connection's stream keeps its order.
  using Deliver = std::function<void(const ConnectionKey &, Event)>;

  FakeServer(EventQueue &queue, Dice &dice, std::vector<IObserver *> &observers, TargetId name,
             Endpoint place, std::uint32_t slotConnections, ServerTiming timing);

  // What arrives from proxies.
  void open(const ConnectionKey &key, const OpenConnection &request);
  void execute(const ConnectionKey &key, const Execute &request);
  /// The other end closed the connection. As with a real server, a running statement goes on to its end.
  void closedByProxy(const ConnectionKey &key);
  void control(const ControlCall &call, ControlReply reply);

  // What happens to the server.
  void setDown(bool down);

  // Replication, driven by the group.
  /// Takes the primary's log from index First on. Previous is the entry before it.
  void replicate(Term term, std::size_t first, const EntryPtr &previous,
                 const std::vector<EntryPtr> &entries);
  void becomeInitialPrimary(Term term);

  [[nodiscard]] const TargetId &name() const { return Name; }
  [[nodiscard]] Endpoint place() const { return Where; }
  [[nodiscard]] bool isPrimary() const { return Primary && PrimaryTerm >= Raised; }
  [[nodiscard]] Term primaryTerm() const { return PrimaryTerm; }
  [[nodiscard]] Term raisedTerm() const { return Raised; }
  [[nodiscard]] bool down() const { return Down; }
  [[nodiscard]] const std::vector<EntryPtr> &log() const { return Log; }
  [[nodiscard]] bool contains(const std::string &tag) const { return Tags.count(tag) != 0; }
  [[nodiscard]] std::uint32_t tryOf(const std::string &tag) const;
  [[nodiscard]] TargetStatus status() const;
  [[nodiscard]] Position end() const;
  [[nodiscard]] std::size_t running() const { return Running; }
  [[nodiscard]] std::size_t executionsOf(std::size_t proxy, std::uint64_t incarnation) const;
  [[nodiscard]] std::string describe() const;

  Deliver Send;
  /// Asks the group to send the log to the replicas.
  std::function<void()> OnAppend;
  bool Leaving = false;
  std::uint64_t Reads = 0;
  std::uint64_t Commits = 0;
  std::uint64_t GenerationRefusals = 0;
  std::uint64_t LimitRefusals = 0;
  std::uint64_t KilledConnections = 0;

private:
  struct Connection {
    std::uint32_t Slot = 0;
    std::uint64_t Generation = 0;
    bool Established = false;
    bool Gone = false; ///< The proxy has closed it; a statement still runs.
    bool Busy = false;
    std::optional<std::string> Open; ///< Tag of the interactive transaction.
    std::uint32_t OpenTry = 0;
    bool OpenReadOnly = false;
    std::vector<std::pair<std::string, std::string>> Buffer;
    std::vector<StatementResult> Results;
  };
  struct Waiter {
    std::uint64_t Id = 0;
    Position For;
    ControlReply Reply;
  };
  struct RowVersion {
    std::string Value;
    Position At;
  };

  void finish(const ConnectionKey &key, const Execute &request);
  void answer(const ConnectionKey &key, ExecutionId id, decltype(ExecutionFinished::Result) result);
  [[nodiscard]] std::optional<decltype(ExecutionFinished::Result)> refusal(const Execute &request,
                                                                           bool readOnly) const;
  [[nodiscard]] std::optional<MarkerRecord> conflict(const Marker &marker) const;
  [[nodiscard]] MarkerRecord record(const LogEntry &entry) const;
  decltype(ExecutionFinished::Result) run(Connection &connection, const Execute &request);
  decltype(ExecutionFinished::Result) commit(Connection &connection, const Execute &request,
                                             std::vector<StatementResult> results);
  /// Runs the statements; the first failure is returned.
  std::optional<ExecutionFailed> statements(Connection &connection, const Execute &request, bool readOnly,
                                            std::vector<StatementResult> &results);
  void checkTransaction(const Connection &connection, const Execute &request);
  const LogEntry &append(LogEntry entry);
  void apply(const EntryPtr &entry);
  void rebuild();
  void kill(const ConnectionKey &key, const char *why);
  void killIf(const std::function<bool(const Connection &)> &which, const char *why);
  void releaseWaiters();
  void queryStatus(const ControlCall &call, const QueryStatus &request, const ControlReply &reply);
  ControlResult raise(Term term);
  ControlResult promote(Term term);
  ControlResult claim(const ClaimSlot &request);
  ControlResult abort(const AbortMarker &request);
  void demote();
  void countConnections(std::uint32_t slot);

  EventQueue &Queue;
  Dice &Random;
  std::vector<IObserver *> &Observers;
  TargetId Name;
  Endpoint Where;
  std::uint32_t SlotConnections;
  ServerTiming Timing;

  bool Down = false;
  bool Primary = false;
  Term PrimaryTerm = 0;
  Term Raised = 0;
  std::vector<EntryPtr> Log;
  std::unordered_map<std::string, RowVersion> Rows;
  std::unordered_map<std::string, EntryPtr> Markers;
  std::unordered_map<std::string, std::uint32_t> Tags; ///< Operations in the log, with the try that ran.
  std::vector<TermStart> History;
  TimePoint HeardPrimary;
  std::map<ConnectionKey, Connection> Connections;
  std::map<std::uint32_t, std::uint64_t> Generations;
  std::list<Waiter> Waiters;
  std::uint64_t NextWaiter = 1;
  std::size_t Running = 0;
};

} // namespace rosemaryhinge::fakes
