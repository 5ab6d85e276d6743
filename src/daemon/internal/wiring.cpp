// Parts of the wiring that both daemons share.

#include "daemon/internal/wiring.h"

#include <random>

namespace rosemaryhinge::detail {

HttpOptions httpOptions(const SocketAddress &address, const char *name) {
  HttpOptions out;
  out.Ip = address.Ip;
  out.Port = address.Port;
  out.Name = name;
  return out;
}

std::uint64_t randomSeed() {
  std::random_device source;
  return (static_cast<std::uint64_t>(source()) << 32) | source();
}

} // namespace rosemaryhinge::detail
