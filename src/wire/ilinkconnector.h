// Connections to servers that keep sessions.

#pragma once

#include "protocol/link.h"

namespace rosemaryhinge {

class ILinkConnector {
public:
  virtual ~ILinkConnector() = default;

  virtual void open(const OpenLink &effect) = 0;
  virtual void send(const SendOnLink &effect) = 0;
  virtual void close(const CloseLink &effect) = 0;
  /// Takes leave on all links.
  virtual void stop() = 0;
};

} // namespace rosemaryhinge
