// A group of connections that send and read in the same way.

#include "misbehavingclients/clientgroup.h"

#include "platformsoak/sockets.h"

#include <algorithm>
#include <cerrno>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace rosemaryhinge::misbehavingclients {

namespace {

/// Small, so that unread answers stay with the process.
constexpr int ReceiveBufferBytes = 4'096;
constexpr Millis TurnMs = 2;
constexpr Millis ObserveMs = 100;

} // namespace

ClientGroup::ClientGroup(const GroupPlan &plan, int port)
    : Plan(plan), Buf(std::max<std::size_t>(1, plan.ReadBytes)) {
  for (int n = 0; n < plan.Clients; ++n)
    Clients.push_back({platformsoak::connectTo(port, ReceiveBufferBytes), 0, 0});
}

ClientGroup::~ClientGroup() {
  for (const auto &it : Clients)
    if (it.Fd >= 0)
      ::close(it.Fd);
}

void ClientGroup::play(const std::function<void()> &observe) {
  const auto until = platformsoak::nowMs() + Plan.HoldMs;
  for (Millis observedAt = 0; platformsoak::nowMs() < until; platformsoak::sleepMs(TurnMs)) {
    for (auto &it : Clients) {
      if (it.Fd >= 0)
        send(it);
      if (it.Fd >= 0 && Plan.ReadBytes > 0)
        read(it);
      if (platformsoak::nowMs() - observedAt >= ObserveMs) {
        observe();
        observedAt = platformsoak::nowMs();
      }
    }
  }
}

void ClientGroup::send(Client &client) {
  if (client.Sent == Plan.Sends.size() || platformsoak::nowMs() < client.NextAt)
    return;
  const auto most = client.Sent < Plan.SlowFrom ? std::min(Plan.PieceBytes, Plan.SlowFrom - client.Sent) : 1;
  const auto size = std::min(most, Plan.Sends.size() - client.Sent);
  const auto n = ::send(client.Fd, Plan.Sends.data() + client.Sent, size, MSG_NOSIGNAL | MSG_DONTWAIT);
  if (n < 0 && errno != EAGAIN) {
    ::close(std::exchange(client.Fd, -1));
    return;
  }
  client.Sent += static_cast<std::size_t>(std::max<ssize_t>(n, 0));
  client.NextAt = platformsoak::nowMs() + Plan.PauseMs;
  if (client.Sent == Plan.Sends.size() && Plan.HalfCloses)
    ::shutdown(client.Fd, SHUT_WR);
}

void ClientGroup::read(Client &client) {
  const auto n = ::recv(client.Fd, Buf.data(), Buf.size(), MSG_DONTWAIT);
  if (n == 0 || (n < 0 && errno != EAGAIN))
    ::close(std::exchange(client.Fd, -1));
}

} // namespace rosemaryhinge::misbehavingclients
