// Registration and listing of proxies in the store.

#include "positions/fleetmap.h"

#include "membership/rendezvous.h"

#include <algorithm>
#include <set>

namespace rosemaryhinge {

namespace {

constexpr Duration CallTimeout = 1500ms;
constexpr Duration LeaveTimeout = 250ms;
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
/// An entry that was there this recently is not read again.
constexpr Duration VerifyInterval = 5s;
/// After a restoration of the store, the proxies announce themselves again within this time.
constexpr Duration MaxAnnounceDelay = 500ms;
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

void FleetMap::announce(Context &ctx, std::uint64_t revision) {
  AnnounceAt.reset();
  AnnounceCall = ctx.call(Module::Positions);
  AnswersUnwritten = false;
  ProxyEntry entry{ctx.Self.Node, ctx.Self.AvailabilityZone, ctx.Self.PeerAddress, ctx.Incarnation};
  entry.KnownSince = KnownSince.value_or(0);
  entry.FenceAnswers = FenceAnswers;
  ctx.emit(DirectoryCall{*AnnounceCall, CallTimeout, PutProxy{entry, revision}});
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

void FleetMap::verifyEntry(Context &ctx) {
  const bool confirmed = ctx.Now - ConfirmedAt < VerifyInterval;
  if (!Enabled || Leaving || VerifyCall || AnnounceCall || OwnRevision == 0 || confirmed)
    return;
  VerifyCall = ctx.call(Module::Positions);
  ctx.emit(DirectoryCall{*VerifyCall, CallTimeout, ReadProxy{ctx.Self.Node}});
}

void FleetMap::onVerified(Context &ctx, const DirectoryAnswer &event) {
  if (std::holds_alternative<ProxyMissing>(event.Result))
    onEntryLost(ctx);
  else if (std::holds_alternative<ProxyStored>(event.Result))
    ConfirmedAt = ctx.Now;
}

void FleetMap::onEntryLost(Context &ctx) {
  if (Leaving || AnnounceCall)
    return;
  ctx.emit(Count{"proxy_entries_removed_total"});
  ctx.emit(Log{LogLevel::Warn, "the entry of this proxy is gone; registering again", {}});
  OwnRevision = 0;
  announce(ctx, 0);
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

void FleetMap::onAnnounceAnswer(Context &ctx, const DirectoryAnswer &event) {
  if (const auto *stored = std::get_if<ProxyStored>(&event.Result)) {
    onAnnounced(ctx, stored->Revision);
    return;
  }
  if (std::holds_alternative<ProxyMissing>(event.Result)) {
    onEntryLost(ctx);
    return;
  }
  const auto *conflict = std::get_if<ProxyConflict>(&event.Result);
  if (!conflict) {
    if (!Leaving)
      AnnounceAt = ctx.Now + RetryPause;
    return;
  }
  const auto &current = conflict->Current;
  if (current && current->Incarnation == ctx.Incarnation && !current->Final) {
    // An earlier call without an answer was carried out, with the answers to fences of then.
    AnswersUnwritten = !FenceAnswers.empty();
    onAnnounced(ctx, conflict->Revision);
    return;
  }
  adoptRecord(current);
  announce(ctx, conflict->Revision);
}

void FleetMap::onAnnounced(Context &ctx, std::uint64_t revision) {
  if (std::exchange(OwnRevision, revision) == 0)
    ++Registrations;
  ConfirmedAt = ctx.Now;
  if (!KnownSince)
    KnownSince =
        EarlierKnownSince ? EarlierKnownSince->value_or(revision) : recordWithoutEntry(ctx, revision);
  if (AnswersUnwritten && !Leaving)
    announce(ctx, revision);
}

std::uint64_t FleetMap::recordWithoutEntry(const Context &ctx, std::uint64_t revision) {
  return ctx.Self.FirstStart ? 0 : revision;
}

void FleetMap::answerFence(Context &ctx, const DatabaseId &service, const StoredFenceAnswer &answer) {
  FenceAnswers[service] = answer;
  AnswersUnwritten = true;
  if (OwnRevision > 0 && !AnnounceCall && !Leaving)
    announce(ctx, OwnRevision);
}

const ProxyEntry *FleetMap::entry(const NodeId &node) const {
  const auto it = Proxies.find(node);
  return it == Proxies.end() ? nullptr : &it->second;
}

void FleetMap::adoptRecord(const std::optional<ProxyEntry> &entry) {
  EarlierKnownSince.emplace();
  if (!entry || !entry->Final)
    return;
  *EarlierKnownSince = entry->Final->KnownSince;
  addReported(*entry->Final);
}

void FleetMap::addReported(const ReportedCommits &reported) {
  for (const auto &[service, position] : reported.UpTo) {
    auto &known = ReportedByEnded[service];
    known = std::max(known, position);
  }
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

void FleetMap::onStoreRestored(Context &ctx) {
  if (!Enabled || Leaving)
    return;
  const auto announced = forFleet(MaxAnnounceDelay);
  AnnounceAt = ctx.Now + ctx.jitter(announced);
  ListAt = ctx.Now + announced + SecondList;
  PartialListing.clear();
  ListCall.reset();
}

Duration FleetMap::forFleet(Duration time) const {
  return time * static_cast<std::int64_t>(std::max<std::size_t>(1, Proxies.size() / ProxiesPerListInterval));
}

void FleetMap::startLeaving(Context &ctx, std::map<DatabaseId, Position> reported) {
  if (std::exchange(Leaving, true) || !Enabled)
    return;
  AnnounceAt.reset();
  ListAt.reset();
  LeftBy = ctx.Now + LeaveTimeout;
  if (!KnownSince) {
    // There is no entry of this process, or it cannot be told from that of another one.
    LeftBy = ctx.Now;
    return;
  }
  Final = {*KnownSince, std::move(reported)};
  writeFinal(ctx, OwnRevision);
}

void FleetMap::writeFinal(Context &ctx, std::uint64_t revision) {
  ProxyEntry entry{ctx.Self.Node, ctx.Self.AvailabilityZone, ctx.Self.PeerAddress, ctx.Incarnation};
  entry.Final = Final;
  LeaveCall = ctx.call(Module::Positions);
  ctx.emit(DirectoryCall{*LeaveCall, LeaveTimeout, PutProxy{std::move(entry), revision}});
}

void FleetMap::onFinalAnswer(Context &ctx, const DirectoryAnswer &event) {
  const auto *conflict = std::get_if<ProxyConflict>(&event.Result);
  // An earlier call without an answer was carried out.
  const bool own = conflict && conflict->Current && conflict->Current->Incarnation == ctx.Incarnation &&
                   !conflict->Current->Final;
  if (own)
    writeFinal(ctx, conflict->Revision);
  else if (std::holds_alternative<ProxyMissing>(event.Result))
    writeFinal(ctx, 0);
  else
    LeftBy = ctx.Now;
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
