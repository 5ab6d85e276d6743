// Control calls to one server, on a few connections of their own.

#pragma once

#include "net/eventsink.h"
#include "targets/internal/pgconnection.h"
#include "targets/targets.h"

#include <asio/steady_timer.hpp>
#include <list>
#include <memory>
#include <vector>

namespace rosemaryhinge::detail {

/// Calls wait in a queue for a connection. Status queries that wait in the queue together go to the server as
/// one: each was asked for before the common query is sent, so its answer is recent enough for all of them.
class ControlPool : public std::enable_shared_from_this<ControlPool> {
public:
  ControlPool(asio::io_context &io, TargetId target, const TargetOptions &options, EventSink sink,
              IMetrics &metrics);

  /// Connections to a former address take no further calls.
  void setServer(ConnectionOptions options);
  void call(const ControlCall &effect);
  void stop();

private:
  using Clock = std::chrono::steady_clock;

  struct Call {
    CallId Id;
    ControlRequest Request;
    Clock::time_point WaitUntil; ///< When the server ends a wait.
    Clock::time_point Deadline;  ///< When the call fails.
  };
  using Calls = std::vector<Call>;

  struct Connection {
    std::shared_ptr<PgConnection> Pg;
    Calls Running;
    bool Waits = false;  ///< The running query waits for a position.
    bool Former = false; ///< To a former address of the server.
    Clock::time_point IdleSince;
  };
  using ConnectionIt = std::list<Connection>::iterator;

  void pump();
  [[nodiscard]] Calls takeBatch(bool waitsAllowed);
  [[nodiscard]] std::optional<ConnectionIt> freeConnection();
  void run(ConnectionIt it);
  void finished(ConnectionIt it, const PgOutcome &outcome);
  void statusArrived(const Calls &calls, bool waited, const TargetStatus &status);
  void lost(ConnectionIt it, const std::string &why);
  void answer(const Call &call, decltype(ControlAnswer::Result) result);
  void fail(const Call &call, ControlError error, const std::string &message);
  void tick();
  void expire(Calls &calls, Clock::time_point now);

  asio::io_context &Io;
  TargetId Target;
  const TargetOptions &Options;
  EventSink Sink;
  IMetrics &Metrics;
  asio::steady_timer Timer;
  bool Ticking = false;
  ConnectionOptions Server;
  Calls Queue;
  std::list<Connection> Connections;
};

} // namespace rosemaryhinge::detail
