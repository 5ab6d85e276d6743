// The end of a daemon: why its loop ended, what was outstanding then, and the log line about it.

#pragma once

#include "daemon/internal/shutdownsignals.h"
#include "daemon/loop.h"

#include <functional>
#include <string>

namespace rosemaryhinge::detail {

/// Reports how the loop ended.
class Ending {
public:
  /// All must outlive the object.
  Ending(const ShutdownSignals &signals, const Adapters &adapters, ILogger &logger);

  /// Runs the loop or a part of it. An exception is kept for finish().
  void run(const std::function<void()> &part);
  /// Whether the shutdown was completed as planned and all answers are written.
  [[nodiscard]] bool drained() const;
  /// Logs `ended` as the last line. Returns the exit status of the process.
  int finish();

private:
  [[nodiscard]] const char *why() const;

  const ShutdownSignals &Signals;
  const Adapters &Out;
  ILogger &Logger;
  std::string Failure; ///< What the loop threw. Empty if it ended without an exception.
};

} // namespace rosemaryhinge::detail
