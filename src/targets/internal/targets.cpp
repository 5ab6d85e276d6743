// Table of connections to database servers.

#include "targets/targets.h"

#include "net/address.h"
#include "targets/internal/controlpool.h"
#include "targets/internal/slotconnection.h"

#include <unordered_map>

namespace rosemaryhinge {

namespace {

class Targets : public ITargets {
public:
  Targets(asio::io_context &io, TargetOptions options, EventSink sink, IMetrics &metrics)
      : Io(io), Options(std::move(options)), Sink(std::move(sink)), Metrics(metrics) {}

  ~Targets() override { stop(); }

  void setAddress(const TargetAddress &address) override {
    Addresses[address.Target] = address;
    if (const auto it = Pools.find(address.Target); it != Pools.end())
      it->second->setServer(server(address.Target, detail::controlApplication()));
  }

  void open(const OpenConnection &effect) override {
    const auto options = server(effect.Target, detail::slotApplication(effect, Options.Self));
    if (options.empty() || Connections.size() >= Options.MaxConnections ||
        Connections.contains(effect.Connection)) {
      Metrics.count("target_connections_rejected_total");
      Sink(ConnectionClosed{effect.Connection,
                            options.empty() ? "the server's address is not known" : "too many connections"});
      return;
    }
    const auto connection = std::make_shared<detail::SlotConnection>(
        Io, effect.Connection, Options, Sink, Metrics, [this](ConnectionId id, const std::string &why) {
          Connections.erase(id);
          Metrics.count("target_connections_lost_total");
          Sink(ConnectionClosed{id, why});
        });
    Connections.emplace(effect.Connection, connection);
    Metrics.count("target_connections_opened_total");
    connection->connect(options);
  }

  void close(const CloseConnection &effect) override {
    const auto node = Connections.extract(effect.Connection);
    if (node.empty())
      return;
    node.mapped()->close();
    Sink(ConnectionClosed{effect.Connection, "closed by this proxy"});
  }

  void execute(const Execute &effect) override {
    const auto it = Connections.find(effect.Connection);
    if (it == Connections.end()) {
      // Its ConnectionClosed event is on the way and also ends this execution.
      Metrics.count("target_executions_rejected_total");
      return;
    }
    // Keeps the connection while it may remove itself from the table.
    const auto connection = it->second;
    connection->execute(effect);
  }

  void control(const ControlCall &effect) override {
    auto &pool = Pools[effect.Target];
    if (!pool) {
      pool = std::make_shared<detail::ControlPool>(Io, effect.Target, Options, Sink, Metrics);
      pool->setServer(server(effect.Target, detail::controlApplication()));
    }
    pool->call(effect);
  }

  void stop() override {
    for (const auto &[id, it] : Connections)
      it->close();
    Connections.clear();
    for (const auto &[id, it] : Pools)
      it->stop();
    Pools.clear();
  }

private:
  /// Empty if the address is not known or not valid.
  detail::ConnectionOptions server(const TargetId &target, const std::string &application) const {
    const auto it = Addresses.find(target);
    const auto address = it == Addresses.end() ? std::nullopt : parseAddress(it->second.Address);
    if (!address)
      return {};
    return detail::connectionOptions(address->Ip, address->Port, it->second.Database, application,
                                     Options.SslMode);
  }

  asio::io_context &Io;
  TargetOptions Options;
  EventSink Sink;
  IMetrics &Metrics;
  std::unordered_map<TargetId, TargetAddress> Addresses;
  std::unordered_map<ConnectionId, std::shared_ptr<detail::SlotConnection>> Connections;
  std::unordered_map<TargetId, std::shared_ptr<detail::ControlPool>> Pools;
};

} // namespace

std::unique_ptr<ITargets> makeTargets(asio::io_context &io, TargetOptions options, EventSink sink,
                                      IMetrics &metrics) {
  return std::make_unique<Targets>(io, std::move(options), std::move(sink), metrics);
}

} // namespace rosemaryhinge
