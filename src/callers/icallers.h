// The listener for callers.

#pragma once

#include "callers/sessiontoken.h"
#include "protocol/request.h"

#include <cstddef>
#include <cstdint>

namespace rosemaryhinge {

class ICallers {
public:
  virtual ~ICallers() = default;

  /// Binds and listens. Throws std::exception if the address cannot be bound.
  virtual void start() = 0;
  /// Answers a request. An answer to a request that is not open is counted and dropped.
  virtual void respond(RequestId id, const Answer &answer) = 0;
  /// Replaces the keys of session tokens. Before the first call all requests get not_ready.
  virtual void setKeys(SessionKeys keys) = 0;
  [[nodiscard]] virtual bool hasKeys() const = 0;
  /// Accepts no new connections.
  virtual void stop() = 0;
  [[nodiscard]] virtual std::uint16_t port() const = 0;
  /// Requests that are not answered, and answers that are not written yet.
  [[nodiscard]] virtual std::size_t pending() const = 0;
  /// Open connections, idle ones included.
  [[nodiscard]] virtual std::size_t connections() const = 0;
};

} // namespace rosemaryhinge
