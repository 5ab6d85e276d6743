// Socket options shared by callers' connections and links.

#pragma once

#include <asio/ip/tcp.hpp>
#include <chrono>

namespace rosemaryhinge::detail {

/// Sends small messages at once, and ends a connection whose peer has not acknowledged data for the time.
void setSocketOptions(asio::ip::tcp::socket &socket, std::chrono::milliseconds unacknowledged);

} // namespace rosemaryhinge::detail
