// Connections of callers, one for each session.

#pragma once

#include "protocol/session.h"

#include <cstddef>
#include <cstdint>

namespace rosemaryhinge {

class ISessionListener {
public:
  virtual ~ISessionListener() = default;

  virtual void greet(const AcceptSession &effect) = 0;
  virtual void refuse(const RefuseSession &effect) = 0;
  virtual void answer(const AnswerStatement &effect) = 0;
  /// Closes a connection once what was written to it is sent. Statements that have arrived on it meanwhile
  /// are refused as not run.
  virtual void close(const CloseSession &effect) = 0;
  /// Accepts what is in the queue of the operating system, then nothing more, and reports AcceptingStopped.
  virtual void stopAccepting() = 0;
  [[nodiscard]] virtual std::uint16_t port() const = 0;
  /// Connections with answers that are not written yet, or that are being closed.
  [[nodiscard]] virtual std::size_t pending() const = 0;
};

} // namespace rosemaryhinge
