// Correlation id of an asynchronous call to the platform or to a database server, with the module that
// receives the answer.

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
  Quota,
};

struct CallId {
  Module Owner = Module::Request;
  std::uint64_t Number = 0;

  auto operator<=>(const CallId &) const = default;
};

} // namespace rosemaryhinge
