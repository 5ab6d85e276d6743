// Connections to database servers.

#pragma once

#include "protocol/effect.h"

namespace rosemaryhinge {

class ITargets {
public:
  virtual ~ITargets() = default;

  virtual void setAddress(const TargetAddress &address) = 0;
  /// Ends in ConnectionOpened or ConnectionClosed.
  virtual void open(const OpenConnection &effect) = 0;
  /// Ends in ConnectionClosed, unless the connection is not known any more.
  virtual void close(const CloseConnection &effect) = 0;
  /// Ends in ExecutionFinished, or in ConnectionClosed if the outcome is not known.
  virtual void execute(const Execute &effect) = 0;
  /// Ends in exactly one ControlAnswer.
  virtual void control(const ControlCall &effect) = 0;
  /// Closes all connections.
  virtual void stop() = 0;
};

} // namespace rosemaryhinge
