// A database group: its servers and the replication between them.

#pragma once

#include "fakes/server.h"

#include <memory>
#include <vector>

namespace rosemaryhinge::fakes {

class FakeGroup {
public:
  FakeGroup(EventQueue &queue, FakeNetwork &network, Group description)
      : Description(std::move(description)), Queue(queue), Net(network) {}

  FakeServer &add(std::unique_ptr<FakeServer> server);
  /// Makes the described primary the primary of its term and starts the replication.
  void start();

  [[nodiscard]] const std::vector<std::unique_ptr<FakeServer>> &servers() const { return Servers; }
  /// Server that is primary of the highest term. Null if none is.
  [[nodiscard]] FakeServer *primary() const;
  [[nodiscard]] FakeServer *find(const TargetId &name) const;

  /// Replication of the server with this index is behind by the delay.
  void setLag(std::size_t server, Duration lag) { Lag[server] = lag; }
  [[nodiscard]] Duration lag(std::size_t server) const { return Lag[server]; }

  const Group Description;

private:
  void heartbeat();
  void ship(std::size_t from);
  void shipTo(std::size_t from, std::size_t to);

  EventQueue &Queue;
  FakeNetwork &Net;
  std::vector<std::unique_ptr<FakeServer>> Servers;
  std::vector<Duration> Lag;
  std::vector<TimePoint> LastArrival; ///< A replica's stream keeps its order also when the lag changes.
};

} // namespace rosemaryhinge::fakes
