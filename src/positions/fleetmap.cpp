// Listing of the proxies in the store, and their orders.

#include "positions/fleetmap.h"

#include "membership/rendezvous.h"

#include <algorithm>
#include <set>

namespace rosemaryhinge {

namespace {

constexpr Duration CallTimeout = 1500ms;
constexpr Duration RetryPause = 1s;
/// Pause after a listing that failed before one on request.
constexpr Duration RefreshPause = 150ms;
/// The first listing finds proxies that already run or ran before. At the first start of the fleet it waits
/// until the others have registered themselves. The second finds proxies that started at the same time. Later
/// listings are infrequent because each call to the store is billed.
constexpr Duration FirstStartList = 1200ms;
constexpr Duration SecondList = 1500ms;
constexpr Duration ListInterval = 30s;
/// Entries of proxies that have ended are kept for this many intervals between listings, so that every proxy
/// has read what they reported.
constexpr int EndedIntervals = 10;
/// A proxy whose entry is gone is kept for this many intervals. One that is running finds out within one.
constexpr int UnlistedIntervals = 2;
/// Above this number of proxies, the listing interval grows in proportion to the fleet size, because the cost
/// of a full listing for each proxy grows with it. So does the time for announcements after a restoration,
/// because the store limits the writes of all proxies together.
constexpr std::size_t ProxiesPerListInterval = 100;
/// Bound on the orders that are kept; there is one for each service.
constexpr std::size_t MaxOrders = 20'000;

} // namespace

void FleetMap::onStarted(Context &ctx) {
  Enabled = !ctx.Self.PeerAddress.empty();
  if (!Enabled)
    return;
  addProxy(ctx, {ctx.Self.Node, ctx.Self.AvailabilityZone, ctx.Self.PeerAddress});
  onProxiesChanged();
  announce(ctx, 0);
  ListAt = ctx.Now + firstListDelay(ctx.Self);
}

Duration FleetMap::firstListDelay(const NodeConfig &self) {
  return self.FirstStart ? FirstStartList : Duration{};
}

void FleetMap::list(Context &ctx) {
  ListAt.reset();
  if (PartialListing.empty())
    FirstPageAt = ctx.Now;
  ListCall = ctx.call(Module::Positions);
  const ListDirectory request{DirectoryKind::Proxies, lastName(PartialListing), ListMayBeStale};
  ctx.emit(DirectoryCall{*ListCall, CallTimeout, request});
}

void FleetMap::refresh(Context &ctx) {
  if (!Enabled || Leaving || ListCall || ctx.Now < RefreshAfter)
    return;
  ListMayBeStale = false;
  list(ctx);
}

void FleetMap::addProxy(Context &ctx, const ProxyEntry &entry) {
  const auto it = Proxies.find(entry.Node);
  const bool known = it != Proxies.end() && it->second.Address == entry.Address;
  Proxies[entry.Node] = entry;
  if (!known && entry.Node != ctx.Self.Node)
    ctx.emit(PeerAddress{entry.Node, entry.Address});
}

void FleetMap::onAnswer(Context &ctx, const DirectoryAnswer &event) {
  if (LeaveCall == event.Call) {
    onFinalAnswer(ctx, event);
    return;
  }
  if (VerifyCall == event.Call) {
    VerifyCall.reset();
    onVerified(ctx, event);
    return;
  }
  if (AnnounceCall == event.Call) {
    AnnounceCall.reset();
    onAnnounceAnswer(ctx, event);
    return;
  }
  if (ListCall != event.Call)
    return;
  ListCall.reset();
  const auto *listing = std::get_if<DirectoryListing>(&event.Result);
  if (!listing) {
    PartialListing.clear();
    ListAt = ctx.Now + RetryPause;
    RefreshAfter = ctx.Now + RefreshPause;
    return;
  }
  if (PartialListing.empty())
    FirstPageRevision = listing->Revision;
  PartialListing.insert(PartialListing.end(), listing->Objects.begin(), listing->Objects.end());
  if (listing->More && !lastName(listing->Objects).empty()) {
    list(ctx);
    return;
  }
  onListed(ctx);
}

const ProxyEntry *FleetMap::entry(const NodeId &node) const {
  const auto it = Proxies.find(node);
  return it == Proxies.end() ? nullptr : &it->second;
}

void FleetMap::onListed(Context &ctx) {
  const bool first = !std::exchange(HasListedOnce, true);
  std::map<NodeId, ProxyEntry> before;
  before.swap(Proxies);
  Proxies[ctx.Self.Node] = before[ctx.Self.Node];
  EndedKnownSince = 0;
  const auto endedBefore = std::exchange(Ended, {});
  bool listsSelf = false;
  for (const auto &object : std::exchange(PartialListing, {})) {
    const auto *entry = std::get_if<ProxyEntry>(&object.Value);
    if (!entry) {
      ctx.emit(Count{"directory_unreadable_total"});
      continue;
    }
    listsSelf = listsSelf || entry->Node == ctx.Self.Node;
    if (entry->Final) {
      addReported(*entry->Final);
      EndedKnownSince = std::max(EndedKnownSince, entry->Final->KnownSince);
      const auto it = endedBefore.find(entry->Node);
      const bool seen = it != endedBefore.end() && it->second.Revision == entry->Revision;
      Ended[entry->Node] = {entry->Revision, seen ? it->second.SeenAt : ctx.Now};
      continue;
    }
    if (const auto it = before.find(entry->Node); it != before.end())
      Proxies[entry->Node] = it->second;
    if (entry->Node != ctx.Self.Node)
      addProxy(ctx, *entry);
  }
  keepUnlisted(ctx, before);
  onProxiesChanged();
  // A stale list may lack proxies, whichever revision it names.
  ListedRevision = ListMayBeStale ? 0 : FirstPageRevision;
  ListedAt = FirstPageAt;
  if (listsSelf && !ListMayBeStale)
    ConfirmedAt = FirstPageAt;
  ListAt = ctx.Now + (first ? SecondList : forFleet(ListInterval));
  deleteEnded(ctx);
  if (!listsSelf && OwnRevision > 0 && FirstPageRevision >= OwnRevision)
    onEntryLost(ctx);
}

void FleetMap::keepUnlisted(Context &ctx, const std::map<NodeId, ProxyEntry> &before) {
  const auto unlistedBefore = std::exchange(Unlisted, {});
  for (const auto &[node, entry] : before) {
    if (Proxies.contains(node) || Ended.contains(node))
      continue;
    const auto it = unlistedBefore.find(node);
    const auto since = it == unlistedBefore.end() ? ctx.Now : it->second;
    if (ctx.Now - since >= forFleet(ListInterval) * UnlistedIntervals) {
      ForgottenAt = FirstPageRevision;
      continue;
    }
    Unlisted.emplace(node, since);
    Proxies.emplace(node, entry);
  }
}

void FleetMap::deleteEnded(Context &ctx) {
  for (const auto &[node, it] : Ended)
    if (ctx.Now - it.SeenAt >= forFleet(ListInterval) * EndedIntervals &&
        rank(ctx.Self.Node, node.str()) == 0)
      ctx.emit(DirectoryCall{ctx.call(Module::Positions), CallTimeout, DeleteProxy{node, it.Revision}});
}

void FleetMap::onTimer(Context &ctx) {
  if (AnnounceAt && ctx.Now >= *AnnounceAt)
    announce(ctx, 0);
  if (!ListAt || ctx.Now < *ListAt)
    return;
  // Old entries are good enough to know whom to ask.
  ListMayBeStale = true;
  list(ctx);
}

std::optional<TimePoint> FleetMap::nextTimer() const {
  if (LeftBy)
    return LeftBy;
  if (AnnounceAt && ListAt)
    return std::min(*AnnounceAt, *ListAt);
  return AnnounceAt ? AnnounceAt : ListAt;
}

Duration FleetMap::forFleet(Duration time) const {
  return time * static_cast<std::int64_t>(std::max<std::size_t>(1, Proxies.size() / ProxiesPerListInterval));
}

void FleetMap::onProxiesChanged() {
  Orders.clear();
  std::set<AvailabilityZone> zones;
  for (const auto &[node, entry] : Proxies)
    zones.insert(entry.AvailabilityZone);
  ZoneCount = zones.size();
}

const std::vector<NodeId> &FleetMap::order(const AvailabilityZone &zone, std::string_view key) const {
  if (Orders.size() >= MaxOrders)
    Orders.clear();
  const auto [it, added] = Orders.try_emplace({zone, std::string(key)});
  if (!added)
    return it->second;
  std::vector<NodeId> nodes;
  for (const auto &[node, entry] : Proxies)
    if (entry.AvailabilityZone == zone)
      nodes.push_back(node);
  it->second = rendezvousOrder(key, nodes);
  return it->second;
}

std::vector<NodeId> FleetMap::fleetOrder(std::string_view key) const {
  std::vector<NodeId> nodes;
  nodes.reserve(Proxies.size());
  for (const auto &[node, entry] : Proxies)
    nodes.push_back(node);
  return rendezvousOrder(key, nodes);
}

std::size_t FleetMap::rank(const NodeId &self, std::string_view key) const {
  const auto order = fleetOrder(key);
  return static_cast<std::size_t>(std::find(order.begin(), order.end(), self) - order.begin());
}

std::vector<NodeId> FleetMap::others(const NodeId &self) const {
  std::vector<NodeId> out;
  out.reserve(Proxies.size());
  for (const auto &[node, entry] : Proxies)
    if (node != self)
      out.push_back(node);
  return out;
}

std::vector<NodeId> FleetMap::others(const NodeId &self, const AvailabilityZone &zone, std::string_view key,
                                     std::size_t nearbyCount) const {
  auto out = fleetOrder(key);
  std::erase(out, self);
  std::stable_partition(out.begin(), out.end(), [&, found = std::size_t{0}](const NodeId &it) mutable {
    return Proxies.at(it).AvailabilityZone == zone && found++ < nearbyCount;
  });
  return out;
}

} // namespace rosemaryhinge
