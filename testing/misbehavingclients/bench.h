// A proxy process with a small stand-in deployment, and the figures of the process.

#pragma once

#include "platformsoak/configoperator.h"
#include "platformsoak/httpserver.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace rosemaryhinge::misbehavingclients {

/// Settings of the proxy, from which the bounds follow.
constexpr int MemoryMb = 128;
constexpr int MaxDescriptors = 1'200;

struct ProcessFigures {
  double ResidentMb = 0;
  double PeakMb = 0; ///< Highest resident memory since the start of the process.
  int Descriptors = 0;
};

class Bench {
public:
  Bench(const std::string &program, const std::string &folder);
  /// Starts a new process in place of the present one. False if it does not become ready.
  bool restart();
  /// Whether the process still runs.
  [[nodiscard]] bool alive() { return !Proxy->check() && Proxy->running(); }
  [[nodiscard]] ProcessFigures figures() const;
  /// Opens a session and runs one statement, which ends with CR LF.
  [[nodiscard]] bool answers(const std::string &statement) const;
  [[nodiscard]] int port() const { return Proxy->callersPort(); }
  /// Ends the process.
  void end() { Proxy.reset(); }

private:
  platformsoak::Observations Seen;
  platformsoak::ObjectStore Store;
  platformsoak::ConfigOperator Operator;
  platformsoak::DbService Service;
  platformsoak::HttpServer Duties;
  std::unique_ptr<platformsoak::ProxyProcess> Proxy;
};

} // namespace rosemaryhinge::misbehavingclients
