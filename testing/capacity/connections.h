// Idle connections to a daemon's callers port, to measure its memory per connection.

#pragma once

#include <string>

namespace rosemaryhinge::capacity {

/// Opens the connections and keeps them until a byte or the end of the input is read. Returns false if one
/// fails.
[[nodiscard]] bool holdConnections(const std::string &address, int count);

} // namespace rosemaryhinge::capacity
