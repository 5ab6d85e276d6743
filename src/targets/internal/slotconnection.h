// A connection of a slot: runs one execution at a time and turns what the server says into its result.

#pragma once

#include "net/eventsink.h"
#include "targets/internal/pgconnection.h"
#include "targets/targets.h"

#include <memory>

namespace rosemaryhinge::detail {

class SlotConnection : public std::enable_shared_from_this<SlotConnection> {
public:
  /// Called once when the connection has ended by itself.
  using OnEnd = std::function<void(ConnectionId, const std::string &why)>;

  SlotConnection(asio::io_context &io, ConnectionId id, const TargetOptions &options, EventSink sink,
                 IMetrics &metrics, OnEnd onEnd);

  void connect(const ConnectionOptions &options);
  void execute(const Execute &effect);
  void close();

private:
  void finished(PgOutcome outcome);
  void failed(const PgError &error);
  void rolledBack(const PgError &error);
  void conflict();
  void done(PgOutcome outcome);
  void report(decltype(ExecutionFinished::Result) result);
  void end(const std::string &why);

  ConnectionId Id;
  const TargetOptions &Options;
  EventSink Sink;
  IMetrics &Metrics;
  OnEnd Ended;
  std::shared_ptr<PgConnection> Pg;
  bool Running = false;
  ExecutionId Execution;
  std::optional<Marker> Mark;
  bool ReadOnly = false;
  Position At;                           ///< Last status of the current transaction.
  TargetRole Role = TargetRole::Primary; ///< Goes with At.
  Script Current;                        ///< Without its text once it was sent.
};

} // namespace rosemaryhinge::detail
