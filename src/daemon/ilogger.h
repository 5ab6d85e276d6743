// Where log lines go.

#pragma once

#include "protocol/effect.h"

namespace rosemaryhinge {

class ILogger {
public:
  virtual ~ILogger() = default;

  virtual void log(const Log &entry) = 0;
  /// Logs a line about the start or the end of the process. Other lines, however many, do not displace it.
  virtual void logProcess(const Log &entry) { log(entry); }
};

} // namespace rosemaryhinge
