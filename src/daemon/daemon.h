// Wires the adapters, the loop and the decision logic together.

#pragma once

#include "daemon/ilogger.h"
#include "daemon/ireducer.h"
#include "daemon/localsettings.h"

#include <functional>

namespace rosemaryhinge {

/// Ports that the listeners got.
struct DaemonPorts {
  std::uint16_t Callers = 0;
  std::uint16_t Peers = 0;
  std::uint16_t Admin = 0;
};

/// Runs until a graceful shutdown is complete. SIGTERM or SIGINT starts it; a second one ends at once.
/// Throws std::exception if a listener cannot be bound. Returns the exit status.
int runDaemon(const LocalSettings &settings, IReducer &reducer, ILogger &logger,
              const std::function<void(const DaemonPorts &)> &onListening = {});

} // namespace rosemaryhinge
