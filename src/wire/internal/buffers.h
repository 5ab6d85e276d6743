// Buffers of connections.

#pragma once

#include <cstddef>
#include <string>

namespace rosemaryhinge::detail {

/// Empties a buffer. Memory of a large message is freed; it would stay for the life of the connection.
inline void clearBuffer(std::string &buf) {
  constexpr std::size_t KeptBytes = std::size_t{64} << 10;
  if (buf.capacity() > KeptBytes)
    std::string().swap(buf);
  else
    buf.clear();
}

} // namespace rosemaryhinge::detail
