// Makes the adapter for database servers.

#pragma once

#include "metrics/imetrics.h"
#include "net/eventsink.h"
#include "targets/itargets.h"

#include <asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>

namespace rosemaryhinge {

struct TargetOptions {
  NodeId Self;
  std::string SslMode = "disable"; ///< As libpq has it.
  std::chrono::milliseconds ConnectTimeout{5'000};
  /// Last resort for an execution; the decision logic closes its connection long before. Above MaxDeadline.
  std::chrono::milliseconds ExecuteTimeout{900'000};
  /// Time to clean up after a failed transaction.
  std::chrono::milliseconds RollbackTimeout{5'000};
  /// Added to the deadline of a wait for a position, which the server itself ends at its timeout.
  std::chrono::milliseconds WaitGrace{200};
  std::chrono::milliseconds ControlIdle{60'000};
  /// Largest answer of one execution. An answer also has to fit into a frame between proxies.
  std::size_t MaxAnswerBytes = std::size_t{3} << 19;
  std::size_t MaxConnections = 8'192;
  std::size_t MaxControlConnections = 4; ///< Per server; waits leave one of them free.
  std::size_t MaxControlQueue = 4'096;   ///< Calls per server.
};

/// The loop, the sink and the metrics must outlive the adapter, and the loop may not run after its end.
[[nodiscard]] std::unique_ptr<ITargets> makeTargets(asio::io_context &io, TargetOptions options,
                                                    EventSink sink, IMetrics &metrics);

} // namespace rosemaryhinge
