// The listener for operators.

#pragma once

#include "protocol/effect.h"

#include <cstdint>

namespace rosemaryhinge {

class IAdmin {
public:
  virtual ~IAdmin() = default;

  /// Binds and listens. Throws std::exception if the address cannot be bound.
  virtual void start() = 0;
  /// Answers a command. A reply to a command that is not open is counted and dropped.
  virtual void reply(const AdminReply &effect) = 0;
  virtual void stop() = 0;
  [[nodiscard]] virtual std::uint16_t port() const = 0;
  /// Answers that are not written yet.
  [[nodiscard]] virtual std::size_t pending() const = 0;
};

} // namespace rosemaryhinge
