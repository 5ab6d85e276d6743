// Identifies a call of the decision logic to the platform or to a server, and the module that waits for it.

#pragma once

#include <compare>
#include <cstdint>

namespace rosemaryhinge {

enum class Module : std::uint8_t {
  Request,
  Routing,
  Acknowledge,
  Outcome,
  Slots,
  Failover,
  Settings,
  Membership,
  Drain,
  Journal,
  Directory,
  Leadership,
  Positions,
};

struct CallId {
  Module Owner = Module::Request;
  std::uint64_t Number = 0;

  auto operator<=>(const CallId &) const = default;
};

} // namespace rosemaryhinge
