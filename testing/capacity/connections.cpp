// Idle connections.

#include "capacity/connections.h"

#include <arpa/inet.h>
#include <cstdio>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace rosemaryhinge::capacity {

bool holdConnections(const std::string &address, int count) {
  const auto colon = address.rfind(':');
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
  if (inet_pton(AF_INET, address.substr(0, colon).c_str(), &to.sin_addr) != 1)
    return false;
  std::vector<int> sockets;
  bool ok = true;
  for (int n = 0; n < count && ok; ++n) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockets.push_back(fd);
    ok = fd >= 0 && connect(fd, reinterpret_cast<const sockaddr *>(&to), sizeof(to)) == 0;
  }
  std::printf("%s\n", ok ? "connected" : "failed");
  std::fflush(stdout);
  (void)std::getchar();
  for (int fd : sockets)
    if (fd >= 0)
      close(fd);
  return ok;
}

} // namespace rosemaryhinge::capacity
