// A group of connections that send and read in the same way.

#pragma once

#include "platformsoak/clock.h"

#include <cstddef>
#include <functional>
#include <limits>
#include <string>
#include <vector>

namespace rosemaryhinge::misbehavingclients {

using platformsoak::Millis;

/// What each client of a group does.
struct GroupPlan {
  std::string Name;
  std::string Guards; ///< The failure that the group guards against.
  int Clients = 0;
  std::string Sends; ///< All that a client sends, in order.
  /// Sent at once, before a client pauses.
  std::size_t PieceBytes = std::size_t{64} << 10;
  Millis PauseMs = 0;
  /// From this byte on, one byte is sent at a time.
  std::size_t SlowFrom = std::numeric_limits<std::size_t>::max();
  /// Read in one turn; 0 reads nothing.
  std::size_t ReadBytes = 0;
  bool HalfCloses = false; ///< Ends its sending direction after the last byte.
  Millis HoldMs = 8'000;   ///< How long the group stays.
};

class ClientGroup {
public:
  ClientGroup(const GroupPlan &plan, int port);
  ~ClientGroup();
  ClientGroup(const ClientGroup &) = delete;
  ClientGroup &operator=(const ClientGroup &) = delete;

  /// Sends and reads until the plan's time is over, and calls back about ten times a second.
  void play(const std::function<void()> &observe);

private:
  struct Client {
    int Fd = -1;
    std::size_t Sent = 0;
    Millis NextAt = 0;
  };
  void send(Client &client);
  void read(Client &client);
  const GroupPlan &Plan;
  std::vector<Client> Clients;
  std::vector<char> Buf;
};

} // namespace rosemaryhinge::misbehavingclients
