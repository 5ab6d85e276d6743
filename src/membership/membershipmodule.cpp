// Entry points of the membership module.

#include "membership/membershipmodule.h"

#include "base/overloaded.h"
#include "membership/internal/prober.h"

#include <algorithm>
#include <set>

namespace rosemaryhinge {

using detail::MembershipState;

namespace {

constexpr Duration TickInterval = 1s;
/// A proxy that no seed has answered for this long starts alone.
constexpr Duration JoinTimeout = 3s;
/// Members that are told at once that this proxy is leaving; gossip reaches the rest.
constexpr std::size_t MaxLeaveNotices = 64;

void onProbe(MembershipState &state, Context &ctx, const NodeId &from, const Probe &message,
             std::uint64_t revision) {
  for (const auto &it : message.Updates)
    detail::applyUpdate(state, ctx, it);
  ctx.emit(SendToPeer{from, ProbeAck{message.Sequence, revision, detail::updatesFor(state, from)}});
  if (state.Table.find(from) == nullptr && from != state.Self.Node)
    ctx.emit(SendToPeer{from, MembersRequest{}});
}

void onProbeAck(MembershipState &state, Context &ctx, const ProbeAck &message, std::uint64_t revision) {
  for (const auto &it : message.Updates)
    detail::applyUpdate(state, ctx, it);
  auto it = state.Probes.find(message.Sequence);
  if (it == state.Probes.end())
    return;
  if (it->second.OnBehalfOf) {
    const auto &[requester, sequence] = *it->second.OnBehalfOf;
    ctx.emit(SendToPeer{requester, ProbeAck{sequence, revision, detail::updatesFor(state, requester)}});
  }
  state.Probes.erase(it);
}

MembersReply membersReply(const MembershipState &state) {
  MembersReply out;
  out.Members.push_back(state.Self);
  for (const auto &[node, entry] : state.Table.all())
    out.Members.push_back(entry.Update);
  return out;
}

void rebuildCache(const MembershipState &state) {
  std::vector<Member> live;
  live.reserve(state.LiveCache.size());
  auto add = [&](const MemberUpdate &it, bool leaving) {
    live.push_back({it.Node, it.Incarnation, it.AvailabilityZone, it.Region, leaving});
  };
  bool selfAdded = state.Self.Node.empty();
  auto addSelf = [&] {
    add(state.Self, state.Self.State == MemberUpdate::Kind::Leaving);
    selfAdded = true;
  };
  for (const auto &[node, entry] : state.Table.all()) {
    if (!selfAdded && state.Self.Node < node)
      addSelf();
    if (!entry.dead())
      add(entry.Update, entry.leaving());
  }
  if (!selfAdded)
    addSelf();
  state.CacheValid = true;
  if (live == state.LiveCache)
    return;
  state.LiveCache = std::move(live);
  ++state.CacheVersion;
}

} // namespace

MembershipModule::MembershipModule() : State(std::make_unique<MembershipState>()) {}
MembershipModule::~MembershipModule() = default;
MembershipModule::MembershipModule(MembershipModule &&) noexcept = default;
MembershipModule &MembershipModule::operator=(MembershipModule &&) noexcept = default;

void MembershipModule::onStarted(Context &ctx) {
  auto &state = *State;
  state.Self = {ctx.Self.Node,
                ctx.Incarnation,
                0,
                MemberUpdate::Kind::Alive,
                ctx.Self.PeerAddress,
                ctx.Self.AvailabilityZone,
                ctx.Self.Region,
                ctx.Self.Release};
  state.CacheValid = false;
  state.Gossip.add(state.Self);
  state.JoinDeadline = ctx.Now + JoinTimeout;
  state.NextReconnect = ctx.Now;
  state.NextSync = ctx.Now + JoinTimeout;
  state.Joined = std::all_of(ctx.Self.Seeds.begin(), ctx.Self.Seeds.end(),
                             [&](const auto &it) { return it.Node == ctx.Self.Node; });
  state.NextSeedContact = ctx.Now;
  detail::contactSeeds(state, ctx, 0);
  // Spreads the ticks of proxies that start together.
  state.NextTick = ctx.Now + ctx.jitter(TickInterval);
}

void MembershipModule::onPeer(Context &ctx, const NodeId &from, const PeerMessage &message,
                              std::uint64_t ownRevision) {
  auto &state = *State;
  detail::detectLateTimer(state, ctx);
  std::visit(Overloaded{[&](const Probe &it) { onProbe(state, ctx, from, it, ownRevision); },
                        [&](const ProbeAck &it) { onProbeAck(state, ctx, it, ownRevision); },
                        [&](const IndirectProbe &it) {
                          if (it.Subject == state.Self.Node)
                            return;
                          detail::sendProbe(state, ctx, it.Subject, ownRevision, {{from, it.Sequence}});
                        },
                        [&](const MembersRequest &) {
                          ctx.emit(SendToPeer{from, membersReply(state)});
                        },
                        [&](const MembersReply &it) {
                          // A whole list is no news to the fleet: passing it on cost 2.5 KB/s per node for
                          // minutes after 300 proxies had started together.
                          bool notice = it.Members.size() == 1;
                          for (const auto &update : it.Members)
                            detail::applyUpdate(state, ctx, update, notice);
                          // A leaving notice is not the member list of a peer.
                          if (it.Members.size() != 1 ||
                              it.Members.front().State != MemberUpdate::Kind::Leaving)
                            state.Joined = true;
                        },
                        [](const auto &) {}},
             message);
}

void MembershipModule::onPlatformList(Context &ctx, const VmList &list) {
  auto &state = *State;
  std::map<NodeId, bool> listed;
  for (const auto &it : list.Vms)
    listed[it.Vm] = it.Leaving;
  // A list that lacks this proxy itself is too old or not about this fleet; absence from it proves nothing.
  bool authoritative = listed.contains(state.Self.Node) && ctx.Now >= state.TimeoutsValidFrom;
  for (auto &[node, entry] : state.Table.all()) {
    auto it = listed.find(node);
    bool leaving = it != listed.end() && it->second;
    if (!leaving)
      entry.ListedLeaving.reset();
    else if (!entry.ListedLeaving && !entry.dead())
      entry.ListedLeaving = entry.Update.Incarnation;
    if (it == listed.end() && authoritative && entry.suspect())
      entry.Deadline =
          std::min(entry.Deadline, ctx.Now); // Suspected by peers and gone from the list: no wait.
  }
  state.CacheValid = false;
  detail::checkSuspects(state, ctx);
}

void MembershipModule::onTimer(Context &ctx, std::uint64_t ownRevision) {
  auto &state = *State;
  detail::detectLateTimer(state, ctx);
  if (!state.Joined && ctx.Now >= state.JoinDeadline) {
    state.Joined = true;
    ctx.emit(Log{LogLevel::Warn, "no seed answered; starting alone and calling the seeds again", {}});
  }
  detail::checkProbes(state, ctx);
  if (!state.NextTick || ctx.Now < *state.NextTick)
    return;
  state.NextTick = std::max(*state.NextTick + TickInterval, ctx.Now + TickInterval / 2);
  detail::contactSeeds(state, ctx, ownRevision);
  detail::checkSuspects(state, ctx);
  detail::probeNext(state, ctx, ownRevision);
}

void MembershipModule::announceLeaving(Context &ctx) {
  auto &state = *State;
  if (state.Self.State == MemberUpdate::Kind::Leaving)
    return;
  state.Self.State = MemberUpdate::Kind::Leaving;
  state.CacheValid = false;
  state.Gossip.add(state.Self);
  std::vector<NodeId> others;
  for (const auto &[node, entry] : state.Table.all())
    if (!entry.dead())
      others.push_back(node);
  std::shuffle(others.begin(), others.end(), ctx.Random);
  others.resize(std::min(others.size(), MaxLeaveNotices));
  for (const auto &it : others)
    ctx.emit(SendToPeer{it, MembersReply{{state.Self}}});
}

const std::vector<Member> &MembershipModule::live() const {
  if (!State->CacheValid)
    rebuildCache(*State);
  return State->LiveCache;
}

std::uint64_t MembershipModule::version() const {
  (void)live();
  return State->CacheVersion;
}

bool MembershipModule::isLive(const NodeId &node) const {
  if (node == State->Self.Node)
    return true;
  const auto *entry = State->Table.find(node);
  return entry != nullptr && !entry->dead();
}

bool MembershipModule::isDead(const NodeId &node) const {
  if (node == State->Self.Node)
    return false;
  const auto *entry = State->Table.find(node);
  return entry == nullptr ? State->Joined : entry->dead();
}

bool MembershipModule::isLeaving(const NodeId &node) const {
  if (node == State->Self.Node)
    return State->Self.State == MemberUpdate::Kind::Leaving;
  const auto *entry = State->Table.find(node);
  return entry != nullptr && !entry->dead() && entry->leaving();
}

bool MembershipModule::joined() const { return State->Joined; }

std::optional<TimePoint> MembershipModule::nextTimer() const { return detail::nextDueTime(*State); }

} // namespace rosemaryhinge
