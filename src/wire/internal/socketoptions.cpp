// Socket options.

#include "wire/internal/socketoptions.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace rosemaryhinge::detail {

void setSocketOptions(asio::ip::tcp::socket &socket, std::chrono::milliseconds unacknowledged) {
  std::error_code ec;
  socket.set_option(asio::ip::tcp::no_delay(true), ec);
  const auto millis = static_cast<unsigned>(unacknowledged.count());
  // A system without the option keeps the connection until its own limits; nothing depends on it.
  static_cast<void>(
      ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &millis, sizeof millis));
}

} // namespace rosemaryhinge::detail
