// What both daemons need to wire themselves up.

#pragma once

#include "http/ihttpserver.h"
#include "net/address.h"

#include <cstdint>

namespace rosemaryhinge::detail {

/// Options of a listener with the given metric label.
[[nodiscard]] HttpOptions httpOptions(const SocketAddress &address, const char *name);
[[nodiscard]] std::uint64_t randomSeed();

} // namespace rosemaryhinge::detail
