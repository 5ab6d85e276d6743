// What callers, servers and the platform have seen, for the checks after the run.

#pragma once

#include "platformsoak/clock.h"

#include <cstdint>
#include <fstream>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rosemaryhinge::platformsoak {

enum class RouteKind : std::uint8_t { Primary, Bounded, ReadYourWrites };

enum class Ending : std::uint8_t {
  Answered, ///< Up to its READY.
  Cut,      ///< The connection ended without a complete answer.
  GivenUp,  ///< The caller left at its deadline.
};

/// A request of a caller.
struct Request {
  std::string Id, Session, Text, Host, Service;
  RouteKind Kind = RouteKind::Primary;
  int Proxy = 0;          ///< Index.
  Millis OpenedAt = 0;    ///< When the session's READY came.
  Millis SentAt = 0;      ///< Its last byte.
  Millis FirstByteAt = 0; ///< Not earlier than this.
  Millis EndedAt = 0;
  Millis TimeoutMs = 0;  ///< Of the route.
  Millis DeadlineMs = 0; ///< How long the caller waits at most.
  platformsoak::Ending Ending = Ending::Answered;
  std::string Key;   ///< Of its session; empty on an anonymous route.
  std::string Error; ///< Code; empty for a success.
  std::string Signature, Rows;
  /// A read: the least position that its log has to have, by the rule STALE.
  std::uint64_t NeedsPosition = 0;
};

/// A server has received a request and run it.
struct ServerRun {
  std::string Server;
  Millis ReceivedAt = 0;
  std::optional<Millis> DoneAt; ///< Its work has ended; absent while it is at work.
  bool ProxyGone = false;       ///< The connection had ended at the proxy's side when the work ended.
  bool ServerBroke = false;     ///< The server itself ended the connection before its answer.
  std::string Signature, Rows;
  std::uint64_t Position = 0; ///< Of the log on which it ran.
};

/// A statement of a caller has reached a server, whether or not the server runs it.
struct Arrival {
  std::string Id, User, Server; ///< User: the name under which the connection was opened.
  Millis At = 0;
  bool Operation = false; ///< A single statement, or the first one of a transaction.
};

/// A commit that the server of a promotion does not have.
struct MissingCommit {
  std::string Statement;     ///< Id of the request that committed it.
  std::string Position;      ///< TERM.NUMBER.
  Millis AcknowledgedAt = 0; ///< By the server.
  std::vector<std::string> Holders;
  /// Those of them that run and are listed.
  std::vector<std::string> RunningHolders;
};

/// A promotion has taken effect.
struct Promotion {
  std::string Service, Server, Holder; ///< Holder: the proxy whose order it was.
  std::uint64_t Token = 0;
  Millis At = 0;
  std::string Log; ///< TERM.NUMBER of the end of the server's log.
  /// Commits that a server has acknowledged and no promotion before has rolled back.
  std::vector<MissingCommit> Missing;
};

/// A process received SIGSTOP, and SIGCONT later.
struct Suspension {
  Millis From = 0;
  std::optional<Millis> Until;
};

/// One process of a proxy.
struct ProcessLife {
  int Proxy = 0;  ///< Index.
  int Number = 0; ///< Counts the processes of this proxy from 1.
  Millis StartedAt = 0;
  std::vector<Millis> Terms, Hups;
  std::optional<Millis> KilledAt, EndedAt;
  /// When the run itself killed it while it served: a crash, no stop.
  std::optional<Millis> CrashedAt;
  std::vector<Suspension> Suspensions;
  std::string How; ///< Of its end.
  std::string LogFile;
};

/// A span of unplanned disruption.
struct Disruption {
  Millis From = 0, Until = 0;
  std::string What;
  /// Only this proxy and its connections with callers are held up. Absent: all of the deployment.
  std::optional<int> CallersOf = std::nullopt;
  /// Only servers, or the ways to them, are held up.
  bool OfServers = false;
};

/// All that was observed. Its members may be called by any thread.
class Observations {
public:
  explicit Observations(const std::string &folder) : Out(folder + "/record.txt") {}
  /// Writes a line to the record of the run.
  void line(std::string_view text);

  void addRequest(Request request);
  std::size_t startRun(const std::string &id, ServerRun run);
  void finishRun(const std::string &id, std::size_t index, const ServerRun &run);
  /// A write took effect, or a COMMIT with writes.
  void addCommit(const std::string &id, std::uint64_t position);
  /// Sets its time.
  void addArrival(Arrival arrival);
  void addDisruption(Disruption disruption);
  void addPromotion(Promotion promotion);

  [[nodiscard]] std::vector<Request> requests() const;
  [[nodiscard]] std::map<std::string, std::vector<ServerRun>> runs() const;
  /// Positions at which a statement took effect, by its id.
  [[nodiscard]] std::map<std::string, std::vector<std::uint64_t>> commits() const;
  /// The last position of a statement that took effect; 0 without one.
  [[nodiscard]] std::uint64_t commitPosition(const std::string &id) const;
  /// In the order of their times.
  [[nodiscard]] std::vector<Arrival> arrivals() const;
  [[nodiscard]] std::vector<Disruption> disruptions() const;
  [[nodiscard]] std::vector<Promotion> promotions() const;

private:
  mutable std::mutex Lock;
  std::ofstream Out;
  std::vector<Request> Requests;
  std::map<std::string, std::vector<ServerRun>> Runs;
  std::map<std::string, std::vector<std::uint64_t>> Commits;
  std::vector<Arrival> Arrivals;
  std::vector<Disruption> Disruptions;
  std::vector<Promotion> Promotions;
};

} // namespace rosemaryhinge::platformsoak
