// Listener for peers and the table of connections to them.

#include "peers/peers.h"

#include "peers/internal/inbound.h"
#include "peers/internal/outbound.h"
#include "peers/peercodec.h"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <unordered_map>
#include <unordered_set>

namespace rosemaryhinge {

namespace {

using asio::ip::tcp;

constexpr std::chrono::milliseconds AcceptPause{50};

class Peers : public IPeers {
public:
  Peers(asio::io_context &io, PeerOptions options, EventSink sink, IMetrics &metrics)
      : Io(io), Options(std::move(options)), Sink(std::move(sink)), Metrics(metrics), Acceptor(io), Sweep(io),
        Pause(io) {
    const tcp::endpoint endpoint(asio::ip::make_address(Options.Listen.Ip), Options.Listen.Port);
    Acceptor.open(endpoint.protocol());
    Acceptor.set_option(tcp::acceptor::reuse_address(true));
    Acceptor.bind(endpoint);
    Acceptor.listen();
    accept();
    sweep();
  }

  ~Peers() override { stop(); }

  void setAddress(const PeerAddress &address) override {
    if (auto *it = outbound(address.Node))
      it->setAddress(address.Address);
  }

  void send(const SendToPeer &effect) override {
    auto *peer = outbound(effect.To);
    if (!peer) {
      Metrics.count("peer_messages_dropped_total{why=\"too_many_peers\"}");
      Sink(PeerLost{effect.To});
      return;
    }
    auto frame = encodePeer({Options.Self, effect.To, effect.Message, Options.Advertised});
    if (frame.empty())
      frame = shorten(effect);
    if (frame.empty())
      peer->lost();
    else
      peer->send(std::move(frame));
  }

  void stop() override {
    Stopped = true;
    std::error_code ignored;
    Acceptor.close(ignored);
    Sweep.cancel();
    Pause.cancel();
    for (const auto &it : Incoming)
      it->stop();
    Incoming.clear();
    for (const auto &[node, it] : Outgoing)
      it->stop();
    Outgoing.clear();
  }

  [[nodiscard]] std::uint16_t port() const override { return Acceptor.local_endpoint().port(); }

  [[nodiscard]] std::size_t pending() const override {
    std::size_t out = 0;
    for (const auto &[node, it] : Outgoing)
      out += it->pending();
    return out;
  }

private:
  detail::Outbound *outbound(const NodeId &node) {
    if (const auto it = Outgoing.find(node); it != Outgoing.end())
      return it->second.get();
    if (Stopped || Outgoing.size() >= Options.MaxPeers)
      return nullptr;
    auto peer =
        std::make_shared<detail::Outbound>(Io, Options, Metrics, [this, node] { Sink(PeerLost{node}); });
    return Outgoing.emplace(node, std::move(peer)).first->second.get();
  }

  /// An answer that is too large for a frame becomes a refusal that says so: the request did run.
  std::string shorten(const SendToPeer &effect) {
    Metrics.count("peer_messages_dropped_total{why=\"too_large\"}");
    const auto *answer = std::get_if<ForwardAnswer>(&effect.Message);
    if (!answer)
      return {};
    const Refusal refusal{RefusalReason::LostAnswer, Ran::Ran, std::nullopt,
                          "the answer exceeds the size limit between proxies"};
    return encodePeer({Options.Self, effect.To, ForwardAnswer{answer->Id, refusal}, Options.Advertised});
  }

  void accept() {
    Acceptor.async_accept([this](std::error_code ec, tcp::socket socket) {
      if (Stopped || ec == asio::error::operation_aborted)
        return;
      if (ec) {
        // Usually no file descriptors are left; trying again at once would spin.
        Metrics.count("peer_accept_errors_total");
        Pause.expires_after(AcceptPause);
        Pause.async_wait([this](std::error_code error) {
          if (!error)
            accept();
        });
        return;
      }
      if (Incoming.size() < Options.MaxInbound)
        add(std::move(socket));
      else
        Metrics.count("peer_connections_refused_total");
      accept();
    });
  }

  void add(tcp::socket socket) {
    const auto connection = std::make_shared<detail::Inbound>(
        std::move(socket), Options, Metrics, [this](PeerEnvelope envelope) { take(std::move(envelope)); },
        [this](const std::shared_ptr<detail::Inbound> &it, const NodeId &from) {
          Incoming.erase(it);
          if (!from.empty())
            Sink(PeerLost{from});
        });
    Incoming.insert(connection);
    connection->start();
  }

  void take(PeerEnvelope envelope) {
    Metrics.count("peer_messages_received_total");
    // A node that has just started is reachable for an answer before the member list names it.
    if (!envelope.FromAddress.empty())
      setAddress({envelope.From, envelope.FromAddress});
    Sink(PeerReceived{std::move(envelope.From), std::move(envelope.Message)});
  }

  void sweep() {
    Sweep.expires_after(Options.SweepInterval);
    Sweep.async_wait([this](std::error_code ec) {
      if (ec || Stopped)
        return;
      const auto now = detail::Inbound::Clock::now();
      const std::vector<std::shared_ptr<detail::Inbound>> all(Incoming.begin(), Incoming.end());
      for (const auto &it : all)
        it->check(now);
      sweep();
    });
  }

  asio::io_context &Io;
  PeerOptions Options;
  EventSink Sink;
  IMetrics &Metrics;
  tcp::acceptor Acceptor;
  asio::steady_timer Sweep;
  asio::steady_timer Pause;
  std::unordered_map<NodeId, std::shared_ptr<detail::Outbound>> Outgoing;
  std::unordered_set<std::shared_ptr<detail::Inbound>> Incoming;
  bool Stopped = false;
};

} // namespace

std::unique_ptr<IPeers> makePeers(asio::io_context &io, PeerOptions options, EventSink sink,
                                  IMetrics &metrics) {
  return std::make_unique<Peers>(io, std::move(options), std::move(sink), metrics);
}

} // namespace rosemaryhinge
