// Wires the adapters, the loop and the decision logic together.

#pragma once

#include "daemon/ilogger.h"
#include "daemon/ireducer.h"
#include "daemon/localsettings.h"

#include <functional>
#include <string>

namespace rosemaryhinge {

/// Ports that the listeners got.
struct DaemonPorts {
  std::uint16_t Callers = 0;
  std::uint16_t Peers = 0;
  std::uint16_t Admin = 0;
};

/// Runs until a graceful shutdown is complete. SIGTERM or SIGINT starts it; during it SIGTERM changes nothing
/// and SIGINT ends at once. SIGHUP checks the settings file again. Throws std::exception if a listener cannot
/// be bound. Returns the exit status.
int runDaemon(const LocalSettings &settings, const std::string &file, IReducer &reducer, ILogger &logger,
              const std::function<void(const DaemonPorts &)> &onListening = {});

} // namespace rosemaryhinge
