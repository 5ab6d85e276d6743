// Monitors groups and starts promotions.

#include "failover/failovermodule.h"

#include "failover/internal/coordinator.h"
#include "failover/internal/failoverstate.h"
#include "failover/internal/suspicion.h"
#include "slots/candidates.h"

#include <algorithm>

namespace rosemaryhinge {

using detail::DatabaseState;
using detail::FailoverState;

namespace {

constexpr Duration TickInterval = 20ms;
constexpr Duration ReadTimeout = 1s;
constexpr Duration GroupReadInterval = 2s;
/// Lower bound for reads of a group that are triggered by a suspected or failed primary.
constexpr Duration MinReadInterval = 200ms;
constexpr Duration VmListInterval = 1s;
/// Limits for the whole fleet: each proxy reads less often as the fleet or the number of databases grows.
constexpr std::int64_t MaxFleetVmListReadsPerSecond = 500;
constexpr std::int64_t MaxFleetGroupReadsPerSecond = 200;
/// Limit for the status queries of one proxy. With more servers, each is polled less often.
constexpr std::int64_t MaxPollsPerSecond = 200;
constexpr Duration PollTimeout = 250ms;
constexpr Duration VoteInterval = 200ms;
/// The proxy with rank n for a database waits n times this before it orders a new term, so that proxies
/// rarely compete.
constexpr Duration OrderStagger = 150ms;
/// A timer gap above this means that the process was paused. Missing answers during a pause do not show that
/// a server has failed.
constexpr Duration PauseThreshold = 300ms;

void sendRead(Context &ctx, FailoverState &state, DatabaseState &db, const DatabaseId &database) {
  auto call = ctx.call(Module::Failover);
  db.ReadCall = call;
  db.LastReadAt = ctx.Now;
  state.Calls[call] = database;
  ctx.emit(PlatformCall{call, ReadTimeout, GetObject{detail::groupKey(database)}});
}

void readGroup(Context &ctx, FailoverState &state, DatabaseState &db, const DatabaseId &database,
               std::size_t databases) {
  if (db.ReadCall || ctx.Now < db.NextReadAt ||
      (db.LastReadAt > TimePoint::min() && ctx.Now < db.LastReadAt + MinReadInterval))
    return;
  auto fleetReads = static_cast<std::int64_t>(databases * CandidatesPerDatabase);
  db.NextReadAt =
      ctx.Now +
      std::max<Duration>(GroupReadInterval, std::chrono::seconds(fleetReads / MaxFleetGroupReadsPerSecond));
  sendRead(ctx, state, db, database);
}

void readVmList(Context &ctx, FailoverState &state, std::size_t members) {
  if (state.VmListCall || ctx.Now < state.NextVmListAt)
    return;
  auto interval = std::max<Duration>(VmListInterval, std::chrono::seconds(static_cast<std::int64_t>(members) /
                                                                          MaxFleetVmListReadsPerSecond));
  state.NextVmListAt = ctx.Now + interval;
  state.VmListCall = ctx.call(Module::Failover);
  ctx.emit(PlatformCall{*state.VmListCall, ReadTimeout, ListVms{}});
}

void pollServers(Context &ctx, FailoverState &state, DatabaseState &db, const GroupView &view,
                 Duration interval) {
  for (const auto &server : view.Group.Servers) {
    auto &poll = db.Polls[server.Target];
    if (poll.Call || ctx.Now < poll.NextAt)
      continue;
    auto call = ctx.call(Module::Failover);
    poll.Call = call;
    poll.SentAt = ctx.Now;
    poll.NextAt = ctx.Now + interval;
    state.Calls[call] = view.Group.Database;
    ctx.emit(ControlCall{call, server.Target, PollTimeout, QueryStatus{}});
  }
}

void requestContactVotes(Context &ctx, const FailoverServices &services, DatabaseState &db,
                         const GroupView &view) {
  const auto &policy = services.Policies.databasePolicy(view.Group.Database);
  if (detail::unresponsiveTime(db, view.Group.Primary, ctx.Now) < policy.SuspectAfter / 2 ||
      ctx.Now < db.NextVoteRequestAt)
    return;
  db.NextVoteRequestAt = ctx.Now + VoteInterval;
  for (const auto &it : detail::otherSlotHolders(services, view.Group))
    ctx.emit(SendToPeer{it, PrimaryContactRequest{view.Group.Database, view.Group.Term}});
}

void startPromotionIfNeeded(Context &ctx, FailoverServices &services, FailoverState &state, DatabaseState &db,
                            const GroupView &view, std::size_t rank) {
  auto why = detail::promotionReason(ctx, services, view, db);
  if (!why) {
    db.EligibleSince.reset();
    return;
  }
  if (!db.EligibleSince)
    db.EligibleSince = ctx.Now;
  // The conditional update needs the store's version. A group learned from a peer or a server has none.
  if (ctx.Now < *db.EligibleSince + OrderStagger * rank || view.Group.Version == 0)
    return;
  db.EligibleSince = ctx.Now;
  detail::startPromotion(ctx, state, db, view, *why);
}

/// Discards contact votes and restarts the silence of unresponsive servers after a pause of this process.
void resetFailureDetection(Context &ctx, FailoverState &state) {
  for (auto &[database, db] : state.Databases) {
    db.Votes.clear();
    db.EligibleSince.reset();
    for (auto &[target, poll] : db.Polls)
      if (poll.SilentSince)
        poll.SilentSince = ctx.Now;
  }
}

/// A server that reports itself primary of a newer term, or of an ordered one, has been promoted under it:
/// takes it over as the primary without waiting for the record in the store.
void adoptReportedPrimary(Context &ctx, FailoverServices &services, const GroupView &view,
                          const TargetId &target, const TargetStatus &status) {
  bool newer = status.RaisedTerm > view.Group.Term ||
               (status.RaisedTerm == view.Group.Term && view.Group.State == Group::Phase::Ordered);
  if (status.Role != TargetRole::Primary || !newer || status.Log.Term != status.RaisedTerm)
    return;
  auto group = view.Group;
  group.Term = status.RaisedTerm;
  group.State = Group::Phase::Done;
  group.Primary = target;
  group.History = status.History;
  services.Groups.update(ctx, std::move(group));
}

void onPollAnswer(Context &ctx, FailoverServices &services, DatabaseState &db, const GroupView &view,
                  const ControlAnswer &event) {
  auto it = db.Polls.find(event.Target);
  if (it == db.Polls.end() || it->second.Call != event.Call)
    return;
  auto &poll = it->second;
  poll.Call.reset();
  const auto *status = std::get_if<TargetStatus>(&event.Result);
  if (status == nullptr) {
    if (!poll.SilentSince)
      poll.SilentSince = poll.SentAt;
    return;
  }
  poll.SilentSince.reset();
  services.Groups.recordStatus(event.Target, *status, poll.SentAt, ctx.Now, true);
  if (status->RaisedTerm > view.Group.Term)
    db.NextReadAt = std::min(db.NextReadAt, ctx.Now);
  adoptReportedPrimary(ctx, services, view, event.Target, *status);
}

void onGroupAnswer(Context &ctx, FailoverServices &services, FailoverState &state, DatabaseState &db,
                   const DatabaseId &database, const PlatformAnswer &event) {
  db.ReadCall.reset();
  const auto *value = std::get_if<ObjectValue>(&event.Result);
  if (value == nullptr || value->Version == 0) {
    if (db.Promotion)
      db.NextReadAt = ctx.Now + MinReadInterval;
    return;
  }
  auto group = parseGroup(value->Value);
  if (!group || group->Database != database) {
    ctx.emit(Log{LogLevel::Error, "platform object does not parse", {{"key", value->Key}}});
    ctx.emit(Count{"platform_objects_invalid_total"});
    return;
  }
  group->Version = value->Version;
  services.Groups.update(ctx, *group);
  detail::onGroupRead(ctx, services, state, db, *group);
}

void onVmList(FailoverServices &services, const VmList &list) {
  for (const auto &it : list.Vms)
    services.Groups.setListedLeaving(TargetId(it.Vm.str()), it.Leaving);
}

/// Records the start and end of a store outage, as seen by the reads of the VM list about once a second.
void recordStoreAvailability(Context &ctx, FailoverState &state, bool answers) {
  if (answers == !state.StoreUnavailableSince)
    return;
  if (answers) {
    const auto length =
        std::chrono::duration_cast<std::chrono::milliseconds>(ctx.Now - *state.StoreUnavailableSince);
    ctx.record(
        {"store", DatabaseId(), "answers again", "after " + std::to_string(length.count()) + " ms", 0, 0});
    state.StoreUnavailableSince.reset();
  } else {
    state.StoreUnavailableSince = ctx.Now;
    ctx.emit(Count{"store_outages_total"});
    ctx.emit(Log{LogLevel::Warn, "the platform's store does not answer", {}});
    ctx.record({"store", DatabaseId(), "does not answer", "a reading of the VM list failed", 0, 0});
  }
}

void onContactRequest(Context &ctx, const FailoverServices &services, const FailoverState &state,
                      const NodeId &from, const PrimaryContactRequest &message) {
  PrimaryContactReply reply{message.Database, message.Term, false, Duration::zero()};
  const auto *view = services.Groups.find(message.Database);
  auto db = state.Databases.find(message.Database);
  if (view != nullptr && db != state.Databases.end() && view->Group.Term == message.Term) {
    reply.HoldsSlot = std::any_of(view->Group.Servers.begin(), view->Group.Servers.end(),
                                  [&](const auto &it) { return services.Slots.holds(it.Target); });
    reply.SinceContact = detail::unresponsiveTime(db->second, view->Group.Primary, ctx.Now);
  }
  ctx.emit(SendToPeer{from, reply});
}

void onObjectChanged(Context &ctx, FailoverServices &services, const ObjectChanged &message) {
  if (!message.Key.starts_with("groups/"))
    return;
  if (auto group = parseGroup(message.Value)) {
    group->Version = message.Version;
    services.Groups.update(ctx, std::move(*group));
  }
}

/// Removes an open call and returns its database; none if the call is not known.
std::optional<DatabaseId> takeCall(FailoverState &state, const CallId &call) {
  auto it = state.Calls.find(call);
  if (it == state.Calls.end())
    return std::nullopt;
  auto database = it->second;
  state.Calls.erase(it);
  return database;
}

} // namespace

FailoverModule::FailoverModule() : State(std::make_unique<FailoverState>()) {}
FailoverModule::~FailoverModule() = default;
FailoverModule::FailoverModule(FailoverModule &&) noexcept = default;
FailoverModule &FailoverModule::operator=(FailoverModule &&) noexcept = default;

void FailoverModule::onTimer(Context &ctx, FailoverServices &services) {
  if (State->NextTimer && ctx.Now < *State->NextTimer)
    return;
  if (State->LastTimer > TimePoint::min() && ctx.Now > State->LastTimer + PauseThreshold)
    resetFailureDetection(ctx, *State);
  State->LastTimer = ctx.Now;
  State->NextTimer = ctx.Now + TickInterval;
  const auto databases = services.Policies.databases().size();
  readVmList(ctx, *State, services.Members.live().size());
  std::size_t polled = 0;
  for (const auto &[database, db] : State->Databases)
    polled += db.Polls.size();
  auto budget = std::chrono::microseconds(1s) * static_cast<std::int64_t>(polled) / MaxPollsPerSecond;
  auto watched = services.Candidates.ownDatabases();
  for (const auto &[database, db] : State->Databases)
    if (db.Promotion)
      watched.insert(database);
  for (const auto &database : watched) {
    auto &db = State->Databases[database];
    const auto *view = services.Groups.find(database);
    readGroup(ctx, *State, db, database, databases);
    if (view == nullptr)
      continue;
    const auto &policy = services.Policies.databasePolicy(database);
    for (const auto &server : view->Group.Servers)
      services.Groups.setUnresponsive(server.Target, detail::unresponsiveTime(db, server.Target, ctx.Now) >=
                                                         policy.SuspectAfter);
    pollServers(ctx, *State, db, *view, std::max<Duration>(policy.StatusInterval, budget));
    if (db.Promotion) {
      detail::advancePromotion(ctx, services, *State, db);
      continue;
    }
    requestContactVotes(ctx, services, db, *view);
    startPromotionIfNeeded(ctx, services, *State, db, *view, services.Candidates.ownRank(database));
  }
}

void FailoverModule::onPlatformAnswer(Context &ctx, FailoverServices &services, const PlatformAnswer &event) {
  if (State->VmListCall == event.Call) {
    State->VmListCall.reset();
    const auto *list = std::get_if<VmList>(&event.Result);
    recordStoreAvailability(ctx, *State, list != nullptr);
    if (list != nullptr)
      onVmList(services, *list);
    return;
  }
  auto database = takeCall(*State, event.Call);
  if (!database)
    return;
  auto &db = State->Databases[*database];
  if (db.ReadCall == event.Call)
    onGroupAnswer(ctx, services, *State, db, *database, event);
  else
    detail::onPromotionPut(ctx, services, *State, db, event);
}

void FailoverModule::onControlAnswer(Context &ctx, FailoverServices &services, const ControlAnswer &event) {
  auto database = takeCall(*State, event.Call);
  if (!database)
    return;
  auto &db = State->Databases[*database];
  if (detail::onPromotionControl(ctx, services, *State, db, event))
    return;
  if (const auto *view = services.Groups.find(*database))
    onPollAnswer(ctx, services, db, *view, event);
}

void FailoverModule::onPeer(Context &ctx, FailoverServices &services, const NodeId &from,
                            const PeerMessage &message) {
  if (const auto *request = std::get_if<PrimaryContactRequest>(&message)) {
    onContactRequest(ctx, services, *State, from, *request);
  } else if (const auto *reply = std::get_if<PrimaryContactReply>(&message)) {
    const auto *view = services.Groups.find(reply->Database);
    if (view != nullptr && view->Group.Term == reply->Term)
      State->Databases[reply->Database].Votes[from] = {reply->SinceContact, ctx.Now};
  } else if (const auto *changed = std::get_if<ObjectChanged>(&message)) {
    onObjectChanged(ctx, services, *changed);
  } else if (const auto *reports = std::get_if<TargetReports>(&message)) {
    for (const auto &it : reports->Reports)
      services.Groups.recordStatus(it.Target, it.Status, ctx.Now - it.Age, ctx.Now, false);
  }
}

std::optional<TimePoint> FailoverModule::nextTimer() const { return State->NextTimer; }

} // namespace rosemaryhinge
