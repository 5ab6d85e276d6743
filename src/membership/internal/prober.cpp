// Probing, suspicion and refutation.

#include "membership/internal/prober.h"

#include <algorithm>
#include <bit>

namespace rosemaryhinge::detail {

namespace {

/// Twelve times the longest round trip between regions (24 ms).
constexpr Duration DirectTimeout = 300ms;
constexpr Duration ProbeTimeout = 900ms;
constexpr std::size_t IndirectHelpers = 3;
constexpr std::size_t MaxUpdates = 8;
/// Members that are told at once of a refutation, and asked at once after a pause.
constexpr std::size_t RandomProbes = 3;
/// Transmissions per update are this factor times the binary logarithm of the fleet's size: 36 at 3,500
/// members. With 4 times the decimal logarithm, joins and refutations missed members in fleets of 6 and 20.
constexpr std::uint32_t TransmissionFactor = 3;
constexpr Duration SeedInterval = 1s;
/// Seeds that are not live are called again at this interval, which joins fleets that were separated.
constexpr Duration SeedRecontactInterval = 10s;
constexpr Duration ReconnectInterval = 5s;
/// Time between two comparisons of whole member lists, per member: gossip may miss a member for good. At
/// about 120 bytes a member, the cost is 240 B/s at any size above 60 members.
constexpr Duration SyncPerMember = 500ms;
constexpr Duration MinSyncInterval = 30s;
constexpr std::size_t MaxRecheck = 4096;
constexpr std::size_t RechecksPerTick = 10;
constexpr Duration MaxTimerLateness = 500ms;
constexpr Duration SuspicionPause = 1s;

std::uint32_t transmissions(const MembershipState &state) {
  return TransmissionFactor * static_cast<std::uint32_t>(std::bit_width(state.Table.liveCount() + 1));
}

/// Probes random members outside the regular order, to spread an update at once.
void probeRandomMembers(MembershipState &state, Context &ctx) {
  std::vector<NodeId> others;
  for (const auto &[node, entry] : state.Table.all())
    if (!entry.dead())
      others.push_back(node);
  for (std::size_t i = 0; i < RandomProbes && !others.empty(); ++i) {
    auto at = ctx.Random() % others.size();
    sendProbe(state, ctx, others[at], 0);
    others.erase(others.begin() + static_cast<std::ptrdiff_t>(at));
  }
}

void refute(MembershipState &state, Context &ctx, const MemberUpdate &claim) {
  if (claim.Incarnation > state.Self.Incarnation) {
    ctx.emit(Log{LogLevel::Warn,
                 "a peer knows a higher incarnation of this node; the node name may be in use twice",
                 {{"incarnation", std::to_string(claim.Incarnation)}}});
    state.Self.Incarnation = claim.Incarnation;
  }
  state.Self.Refutation = claim.Refutation + 1;
  state.Gossip.add(state.Self);
  ctx.emit(Count{"membership_refutations_total"});
  probeRandomMembers(state, ctx);
}

void declareState(MembershipState &state, Context &ctx, MemberEntry &entry, MemberUpdate::Kind kind,
                  std::string why) {
  auto update = entry.Update;
  update.State = kind;
  bool dead = kind == MemberUpdate::Kind::Dead;
  ctx.record({dead ? "member_dead" : "member_suspect", {}, update.Node.str(), std::move(why), 0, 0});
  if (dead)
    ctx.emit(Count{"members_dead_total"});
  else
    ctx.emit(Count{"members_suspected_total"});
  state.Table.apply(update, ctx.Now);
  state.Gossip.add(update);
  state.CacheValid = false;
}

void requestIndirectProbes(MembershipState &state, Context &ctx, std::uint64_t sequence,
                           const NodeId &subject) {
  std::vector<NodeId> helpers;
  for (const auto &[node, entry] : state.Table.all())
    if (entry.Update.State == MemberUpdate::Kind::Alive && node != subject)
      helpers.push_back(node);
  for (std::size_t i = 0; i < IndirectHelpers && !helpers.empty(); ++i) {
    auto at = ctx.Random() % helpers.size();
    ctx.emit(SendToPeer{helpers[at], IndirectProbe{sequence, subject}});
    helpers.erase(helpers.begin() + static_cast<std::ptrdiff_t>(at));
  }
}

void refillOrder(MembershipState &state, Context &ctx) {
  for (const auto &[node, entry] : state.Table.all())
    if (!entry.dead())
      state.Order.push_back(node);
  std::shuffle(state.Order.begin(), state.Order.end(), ctx.Random);
}

void reconnect(MembershipState &state, Context &ctx, std::uint64_t revision) {
  if (ctx.Now < state.NextReconnect)
    return;
  state.NextReconnect = ctx.Now + ReconnectInterval;
  std::vector<NodeId> dead;
  for (const auto &[node, entry] : state.Table.all())
    if (entry.dead())
      dead.push_back(node);
  if (!dead.empty())
    sendProbe(state, ctx, dead[ctx.Random() % dead.size()], revision);
}

/// Asks a random member for its whole list.
void requestMemberList(MembershipState &state, Context &ctx) {
  if (ctx.Now < state.NextSync)
    return;
  auto live = state.Table.liveCount();
  auto interval = std::max(MinSyncInterval, SyncPerMember * static_cast<Duration::rep>(live));
  // Spread over half to one and a half intervals, so that proxies that start together do not compare
  // together.
  state.NextSync = ctx.Now + interval / 2 + ctx.jitter(interval);
  if (live == 0)
    return;
  auto at = ctx.Random() % live;
  for (const auto &[node, entry] : state.Table.all())
    if (!entry.dead() && at-- == 0) {
      ctx.emit(SendToPeer{node, MembersRequest{}});
      return;
    }
}

} // namespace

void applyUpdate(MembershipState &state, Context &ctx, const MemberUpdate &update, bool forward) {
  if (update.Node == state.Self.Node) {
    bool reportedFailed =
        update.State == MemberUpdate::Kind::Suspect || update.State == MemberUpdate::Kind::Dead;
    bool current = std::pair(update.Incarnation, update.Refutation) >=
                   std::pair(state.Self.Incarnation, state.Self.Refutation);
    if (current && (reportedFailed || update.Incarnation > state.Self.Incarnation))
      refute(state, ctx, update);
    return;
  }
  const auto *known = state.Table.find(update.Node);
  auto address = known == nullptr ? std::string() : known->Update.Address;
  auto change = state.Table.apply(update, ctx.Now);
  if (change == MemberTable::Change::Refused)
    ctx.emit(Count{"membership_table_full_total"});
  if (change == MemberTable::Change::None && known != nullptr && known->dead() &&
      update.State == MemberUpdate::Kind::Alive && state.RecheckQueue.size() < MaxRecheck)
    state.RecheckQueue.push_back(update.Node);
  if (change == MemberTable::Change::None || change == MemberTable::Change::Refused)
    return;
  state.CacheValid = false;
  if (forward)
    state.Gossip.add(update);
  if (update.State != MemberUpdate::Kind::Dead && update.Address != address && !update.Address.empty())
    ctx.emit(PeerAddress{update.Node, update.Address});
  if (change == MemberTable::Change::Added && update.State != MemberUpdate::Kind::Dead)
    state.Order.insert(state.Order.begin() +
                           static_cast<std::ptrdiff_t>(ctx.Random() % (state.Order.size() + 1)),
                       update.Node);
  // Its side of a healed partition may hold others for alive that are dead here.
  if (change == MemberTable::Change::Revived)
    ctx.emit(SendToPeer{update.Node, MembersRequest{}});
}

std::vector<MemberUpdate> updatesFor(MembershipState &state, const NodeId &to) {
  std::vector<MemberUpdate> out;
  const auto *entry = state.Table.find(to);
  if (entry != nullptr && (entry->suspect() || entry->dead()))
    out.push_back(entry->Update);
  if (entry == nullptr || entry->dead())
    out.push_back(state.Self);
  auto more = state.Gossip.take(MaxUpdates - out.size(), transmissions(state));
  out.insert(out.end(), std::make_move_iterator(more.begin()), std::make_move_iterator(more.end()));
  return out;
}

void sendProbe(MembershipState &state, Context &ctx, const NodeId &to, std::uint64_t revision,
               std::optional<std::pair<NodeId, std::uint64_t>> forPeer) {
  auto sequence = ctx.nextNumber();
  state.Probes[sequence] = {to, ctx.Now + DirectTimeout, ctx.Now + ProbeTimeout, false, std::move(forPeer)};
  ctx.emit(SendToPeer{to, Probe{sequence, revision, updatesFor(state, to)}});
}

void checkProbes(MembershipState &state, Context &ctx) {
  std::vector<NodeId> timedOut;
  for (auto it = state.Probes.begin(); it != state.Probes.end();) {
    auto &[sequence, probe] = *it;
    auto *entry = state.Table.find(probe.Subject);
    bool affectsSubject = !probe.OnBehalfOf && entry != nullptr && !entry->dead();
    if (ctx.Now >= probe.TimeoutAt) {
      if (affectsSubject && !entry->suspect() && ctx.Now >= state.TimeoutsValidFrom)
        timedOut.push_back(probe.Subject);
      it = state.Probes.erase(it);
      continue;
    }
    if (affectsSubject && !probe.IndirectRequested && ctx.Now >= probe.IndirectAt) {
      probe.IndirectRequested = true;
      requestIndirectProbes(state, ctx, sequence, probe.Subject);
    }
    ++it;
  }
  for (const auto &node : timedOut) {
    declareState(state, ctx, *state.Table.find(node), MemberUpdate::Kind::Suspect,
                 "no answer to direct and indirect probes");
    // The probe tells the suspect, so that it refutes as soon as it runs again and not when gossip reaches
    // it.
    sendProbe(state, ctx, node, 0);
  }
}

void checkSuspects(MembershipState &state, Context &ctx) {
  if (ctx.Now < state.TimeoutsValidFrom)
    return;
  for (auto &[node, entry] : state.Table.all())
    if (entry.suspect() && entry.Deadline <= ctx.Now)
      declareState(state, ctx, entry, MemberUpdate::Kind::Dead, "suspicion was not refuted in time");
  state.Table.removeExpiredDead(ctx.Now);
}

void probeNext(MembershipState &state, Context &ctx, std::uint64_t revision) {
  bool refilled = false;
  while (true) {
    if (state.Order.empty()) {
      if (refilled)
        break;
      refilled = true;
      refillOrder(state, ctx);
      if (state.Order.empty())
        break;
    }
    auto node = std::move(state.Order.back());
    state.Order.pop_back();
    const auto *entry = state.Table.find(node);
    if (entry == nullptr || entry->dead())
      continue;
    sendProbe(state, ctx, node, revision);
    break;
  }
  for (std::size_t i = 0; i < RechecksPerTick && !state.RecheckQueue.empty(); ++i) {
    auto node = std::move(state.RecheckQueue.front());
    state.RecheckQueue.pop_front();
    if (const auto *entry = state.Table.find(node); entry != nullptr && entry->dead())
      sendProbe(state, ctx, node, revision);
  }
  reconnect(state, ctx, revision);
  requestMemberList(state, ctx);
}

void contactSeeds(MembershipState &state, Context &ctx, std::uint64_t revision) {
  if (ctx.Now < state.NextSeedContact)
    return;
  state.NextSeedContact = ctx.Now + (state.Joined ? SeedRecontactInterval : SeedInterval);
  for (const auto &seed : ctx.Self.Seeds) {
    const auto *entry = state.Table.find(seed.Node);
    if (seed.Node == state.Self.Node || (state.Joined && entry != nullptr && !entry->dead()))
      continue;
    ctx.emit(PeerAddress{seed.Node, seed.Address});
    // The probe introduces this proxy, so that the seed knows where to send the members.
    sendProbe(state, ctx, seed.Node, revision);
    ctx.emit(SendToPeer{seed.Node, MembersRequest{}});
  }
}

std::optional<TimePoint> nextDueTime(const MembershipState &state) {
  auto out = state.NextTick;
  for (const auto &[sequence, probe] : state.Probes) {
    auto due = probe.IndirectRequested || probe.OnBehalfOf ? probe.TimeoutAt : probe.IndirectAt;
    if (!out || due < *out)
      out = due;
  }
  return out;
}

void detectLateTimer(MembershipState &state, Context &ctx) {
  auto due = nextDueTime(state);
  if (!due || ctx.Now <= *due + MaxTimerLateness)
    return;
  auto late = ctx.Now - *due;
  state.TimeoutsValidFrom = ctx.Now + SuspicionPause;
  state.Probes.clear();
  state.NextTick = ctx.Now;
  for (auto &[node, entry] : state.Table.all())
    if (entry.suspect())
      entry.Deadline += late;
  ctx.emit(Count{"membership_late_timer_total"});
  probeRandomMembers(state, ctx); // The answers tell whether the others suspect this proxy.
  ctx.emit(Log{LogLevel::Warn,
               "own timer was late; no member is suspected for one second",
               {{"late_ms", std::to_string(late.count() / 1000)}}});
}

} // namespace rosemaryhinge::detail
