// Watch over new work at servers that are listed as leaving.

#include "soak/leavingtargetidle.h"

#include <algorithm>

namespace rosemaryhinge::soak {

namespace {
constexpr Duration Bound = 3s;
/// A statement sent at the bound is still on its way for this long.
constexpr Duration InFlight = 100ms;
} // namespace

void LeavingTargetIdle::onTargetListedLeaving(const TargetId &target, bool leaving) {
  if (leaving)
    ListedAt.try_emplace(target, World.Queue.now());
  else
    ListedAt.erase(target);
}

void LeavingTargetIdle::onAfterEvent(const fakes::FakeProxy & /*proxy*/) {
  if (World.Store->Down || World.Store->Slow > 0ms)
    StoreImpairedAt = World.Queue.now();
}

void LeavingTargetIdle::onWorkStarted(const fakes::FakeServer &server, std::size_t proxy) {
  auto it = ListedAt.find(server.name());
  if (it == ListedAt.end())
    return;
  const auto &sender = *World.Proxies[proxy];
  // While the proxy could not read the list it cannot know.
  auto known = std::max({it->second, StoreImpairedAt, sender.lastPauseEnd(), sender.startedAt(),
                         World.Network.lastCutAt(sender.place())});
  if (World.Queue.now() > known + Bound + InFlight)
    fail(sender.config().Node.str() + " gave " + server.name().str() + " new work " +
         std::to_string((World.Queue.now() - it->second).count() / 1000) +
         " ms after it was listed as leaving");
}

} // namespace rosemaryhinge::soak
