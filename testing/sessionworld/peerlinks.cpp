// Messages between the proxies, and partitions between them.

#include "sessionworld/world.h"

#include <algorithm>

namespace rosemaryhinge::sessionworld {

namespace {

constexpr Duration MinPeerDelay = 1ms;
/// One way between two regions.
constexpr Duration MaxPeerDelay = 13ms;
/// Time until a peer's end of a connection shows that the process is gone.
constexpr Duration LossDelay = 2ms;

} // namespace

std::optional<std::size_t> World::placeOf(const NodeId &node) const {
  for (std::size_t n = 0; n < Live.size(); ++n)
    if (Proxies[Live[n]]->Logic.Self.Node == node)
      return n;
  return std::nullopt;
}

bool World::partitioned(std::size_t a, std::size_t b) const { return PeerCuts.contains(std::minmax(a, b)); }

void World::sendToPeer(std::size_t proxy, const SendToPeer &effect) {
  const auto &self = Proxies[proxy]->Logic.Self.Node;
  const auto from = placeOf(self);
  const auto to = placeOf(effect.To);
  if (!from || !to || partitioned(*from, *to))
    return;
  const auto receiver = Live[*to];
  if (Proxies[receiver]->Ended) {
    Queue.after(LossDelay, [this, proxy, node = effect.To] { deliver(proxy, PeerLost{node}); });
    return;
  }
  // Messages between two processes arrive in order.
  auto &last = LastDelivery[{proxy, receiver}];
  last = std::max(last, Queue.now() + PeerRandom.between(MinPeerDelay, MaxPeerDelay));
  Queue.at(last, [this, receiver, self, from = *from, to = *to, message = effect.Message] {
    if (!partitioned(from, to))
      deliver(receiver, PeerReceived{self, message});
  });
}

void World::reportLostPeer(std::size_t proxy) {
  const auto node = Proxies[proxy]->Logic.Self.Node;
  for (const auto other : Live)
    if (other != proxy)
      Queue.after(LossDelay, [this, other, node] { deliver(other, PeerLost{node}); });
}

void World::partitionProxy(Duration length) {
  const auto place = PeerRandom.below(Live.size());
  trace("n" + std::to_string(place) + " is cut from the other proxies for " + std::to_string(length / 1ms) +
        " ms");
  for (std::size_t other = 0; other < Live.size(); ++other)
    if (other != place) {
      PeerCuts.insert(std::minmax(place, other));
      Queue.after(length, [this, place, other] { PeerCuts.erase(std::minmax(place, other)); });
    }
}

} // namespace rosemaryhinge::sessionworld
