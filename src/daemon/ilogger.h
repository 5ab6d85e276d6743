// Where log lines go.

#pragma once

#include "protocol/effect.h"

namespace rosemaryhinge {

class ILogger {
public:
  virtual ~ILogger() = default;

  virtual void log(const Log &entry) = 0;
};

} // namespace rosemaryhinge
