// Watch over the revisions in force on each proxy.

#include "soak/settingsinforce.h"

#include <algorithm>

namespace rosemaryhinge::soak {

namespace {
constexpr Duration Bound = 4s;
} // namespace

void SettingsInForce::accepted(std::uint64_t revision, const fakes::FakeProxy &by) {
  Change change{revision, World.Queue.now(), &by, by.incarnation()};
  World.Queue.after(Bound, [this, change] { check(change); });
  Waiting.push_back(change);
}

void SettingsInForce::onProxyStarted(const fakes::FakeProxy &proxy) { InForce[proxy.index()] = 0; }

void SettingsInForce::onAfterEvent(const fakes::FakeProxy &proxy) {
  if (World.Store->Down || World.Store->Slow > 0ms)
    StoreImpairedAt = World.Queue.now();
  auto revision = proxy.revision();
  auto &known = InForce[proxy.index()];
  if (revision < known)
    fail(proxy.config().Node.str() + " went back from revision " + std::to_string(known) + " to " +
         std::to_string(revision));
  if (revision > known)
    for (const auto &it : Waiting)
      if (it.Revision > known && it.Revision <= revision && it.At >= proxy.startedAt())
        Delays.push_back(World.Queue.now() - it.At);
  known = revision;
}

void SettingsInForce::check(const Change &change) {
  // If the process that accepted the change is gone and the store has been out of reach, nobody else can
  // know.
  bool known = change.By->running() && change.By->incarnation() == change.ByIncarnation &&
               change.By->lastPauseEnd() < change.At &&
               World.Network.lastCutAt(change.By->place()) < change.At;
  if (!known && StoreImpairedAt > change.At)
    return;
  for (const auto &it : World.Proxies) {
    // A proxy that was cut off, paused or started since then is measured from when it is reachable.
    if (!it->running() || it->startedAt() > change.At || it->lastPauseEnd() > change.At ||
        World.Network.lastCutAt(it->place()) > change.At)
      continue;
    if (it->revision() < change.Revision)
      fail(it->config().Node.str() + " has revision " + std::to_string(it->revision()) +
           " in force 4 s after " + std::to_string(change.Revision) + " was accepted by " +
           change.By->config().Node.str());
  }
}

} // namespace rosemaryhinge::soak
