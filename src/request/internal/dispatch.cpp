// Routing, admission queues, and reaction to group changes.

#include "request/internal/engine.h"
#include "session/coverage.h"

#include <algorithm>

namespace rosemaryhinge::detail {

namespace {

constexpr Duration NoTargetRetryAfter = 500ms;
constexpr Duration NoPrimaryRetryAfter = 1s;
/// Time allowed for the answer to a status query to arrive, beyond the time that the server holds it.
constexpr Duration StatusAnswerMargin = 10ms;

} // namespace

ReadRequirement Engine::readRequirementOf(const Flight &flight) const {
  const auto &policy = classOf(flight);
  ReadRequirement out{flight.Request.Session, flight.Request.MaxStaleness,
                      flight.WaitedForReplica ? 0ms : policy.ReadWait};
  if (!out.MaxAge)
    out.MaxAge = policy.MaxStaleness;
  if (*out.MaxAge <= Duration{})
    out.MaxAge.reset();
  return out;
}

void Engine::dispatch(Flight &flight) {
  const auto &view = viewOf(flight);
  const auto &token = flight.Request.Session;
  if (token && !isRetained(*token, view.Group.History)) {
    refuse(flight, RefusalReason::SessionWriteLost,
           "a write of this session was lost with the primary of term " + std::to_string(token->Term));
    return;
  }
  const RouteQuery query{view,
                         flight.Request.ReadOnly,
                         flight.PrimaryOnly || flight.interactive(),
                         readRequirementOf(flight),
                         flight.Hops,
                         flight.Excluded,
                         State.Options.Reads};
  const auto route = chooseTarget(Ctx, routesFor(flight), State.Lags, query);
  std::visit(Overloaded{[&](const RunLocally &it) { enqueue(flight, it.Target); },
                        [&](const WaitForReplica &it) { awaitReplica(flight, it); },
                        [&](const Forward &it) { forward(flight, it.Node); },
                        [&](const AwaitPrimary &) { awaitPrimary(flight); },
                        [&](const PrimaryUnresponsive &) {
                          refuse(flight, RefusalReason::NoPrimary, "the primary does not answer",
                                 NoTargetRetryAfter);
                        },
                        [&](const NoKnownHolder &) {
                          refuse(flight, RefusalReason::NoTarget, "no proxy is known that may serve this",
                                 NoTargetRetryAfter);
                        }},
             route);
}

AdmissionRequest Engine::workOf(const Flight &flight) {
  const auto &request = flight.Request;
  return {flight.Id,        request.Caller, request.Database, request.Class, Lane::Short,
          request.Deadline, Ctx.Now,        Duration{},       Duration{}};
}

RouteServices Engine::routesFor(const Flight &flight) {
  const auto lane = State.Queue.laneFor(policyOf(flight), classOf(flight), workOf(flight));
  return {Svc.Groups, Svc.Members, Svc.Slots,
          [this, lane](const TargetId &it) { return State.Queue.queued(it, lane); }};
}

void Engine::enqueue(Flight &flight, const TargetId &target) {
  const auto &view = viewOf(flight);
  if (target == view.Group.Primary && view.Group.Term < flight.MinTerm) {
    awaitPrimary(flight);
    return;
  }
  flight.Phase = Phase::Queued;
  flight.Target = target;
  wakeAt(flight, flight.Request.Deadline);
  auto work = workOf(flight);
  if (flight.hasEffects())
    if (auto it = State.MeanCoverageTime.find(flight.Request.Database); it != State.MeanCoverageTime.end())
      work.TimeToAnswer = it->second;
  State.Queue.classify(policyOf(flight), classOf(flight), work);
  const auto capacity = Svc.Slots.capacity(target);
  if (auto after = State.Queue.enqueue(Ctx.Now, policyOf(flight), target, capacity, std::move(work))) {
    refuse(flight, RefusalReason::Overloaded, "the queue of " + target.str() + " is too long", after);
    return;
  }
  startQueued(target);
}

void Engine::awaitPrimary(Flight &flight) {
  auto &waiting = State.DatabasesInUse[flight.Request.Database].AwaitingPrimary;
  if (waiting >= policyOf(flight).QueueLimit && State.Options.Queue != QueuePolicy::UnboundedRetry) {
    refuse(flight, RefusalReason::NoPrimary, "too many requests wait for a primary", NoPrimaryRetryAfter);
    return;
  }
  ++waiting;
  flight.Phase = Phase::AwaitingPrimary;
  wakeAt(flight, flight.Request.Deadline);
}

void Engine::awaitReplica(Flight &flight, const WaitForReplica &route) {
  flight.Phase = Phase::AwaitingReplica;
  flight.WaitedForReplica = true;
  flight.Target = route.Target;
  const auto wait = std::clamp<Duration>(flight.Request.Deadline - Ctx.Now, 1ms,
                                         std::max<Duration>(1ms, classOf(flight).ReadWait));
  Ctx.emit(
      ControlCall{call(Module::Routing, flight, route.Target), route.Target, wait, QueryStatus{route.Token}});
  wakeAt(flight, Ctx.Now + wait + StatusAnswerMargin);
}

void Engine::endReplicaWait(Flight &flight) {
  if (flight.Phase == Phase::AwaitingReplica)
    dispatch(flight);
}

void Engine::startQueued(const TargetId &target) {
  const auto *view = Svc.Groups.findByTarget(target);
  if (view == nullptr)
    return;
  if (!Svc.Slots.holds(target) || !acceptsNewWork(*view, target, Ctx.Rules)) {
    for (const auto &work : State.Queue.removeAll(target))
      if (auto *flight = find(work.Id))
        dispatch(*flight);
    return;
  }
  const auto &policy = Svc.Policies.databasePolicy(view->Group.Database);
  const auto capacity = Svc.Slots.capacity(target);
  while (State.Queue.canStart(Ctx.Now, policy, target, capacity)) {
    const auto connection = Svc.Slots.acquire(Ctx, target);
    if (!connection)
      return;
    std::vector<AdmissionRequest> late;
    const auto work = State.Queue.startNext(Ctx.Now, policy, target, capacity, late);
    for (const auto &it : late)
      if (auto *flight = find(it.Id))
        refuse(*flight, RefusalReason::Overloaded, "the wait left too little time before the deadline",
               Duration{});
    auto *flight = work ? find(work->Id) : nullptr;
    if (flight == nullptr) {
      Svc.Slots.release(Ctx, *connection, false);
      return;
    }
    Ctx.emit(Observe{"queue_wait", Ctx.Now - work->QueuedAt});
    execute(*flight, *connection);
  }
}

void Engine::startAllQueued() {
  for (const auto &target : State.Queue.waitingTargets())
    startQueued(target);
}

GroupSnapshot Engine::snapshotOf(const GroupView &view) const {
  const auto &group = view.Group;
  return {group.Term, group.State, group.Primary, acceptsNewWork(view, group.Primary, Ctx.Rules)};
}

void Engine::checkGroups() {
  std::vector<DatabaseId> changed;
  for (const auto &[database, used] : State.DatabasesInUse)
    if (const auto *view = Svc.Groups.find(database); view != nullptr && used.Snapshot != snapshotOf(*view))
      changed.push_back(database);
  for (const auto &database : changed) {
    const auto &view = *Svc.Groups.find(database);
    auto it = State.DatabasesInUse.find(database);
    if (it == State.DatabasesInUse.end())
      continue;
    const auto old = std::exchange(it->second.Snapshot, snapshotOf(view));
    handleGroupChange(view, old);
  }
}

void Engine::handleGroupChange(const GroupView &view, const GroupSnapshot &old) {
  const auto &group = view.Group;
  const bool replaced =
      group.State == Group::Phase::Done && group.Term != old.Term && group.Primary != old.Primary;
  std::vector<std::uint64_t> queued;
  for (const auto &server : group.Servers)
    for (const auto &work : State.Queue.removeAll(server.Target))
      queued.push_back(work.Id);
  if (replaced) {
    std::vector<TransactionId> lost;
    for (const auto &[id, transaction] : State.Transactions)
      if (transaction.Target == old.Primary)
        lost.push_back(id);
    for (const auto &id : lost)
      handleTransactionLost(id, "the primary was replaced");
  }
  for (const auto id : flightsOf(group.Database)) {
    auto *flight = find(id);
    if (flight == nullptr)
      continue;
    if (flight->Phase == Phase::Running && replaced && flight->Target == old.Primary) {
      releaseConnection(*flight, true, false);
      handleLostAnswer(*flight, RetryReason::TermChanged);
    } else if (flight->Phase == Phase::Confirming) {
      checkConfirmation(*flight);
    } else if (flight->Phase == Phase::Resolving) {
      queryMarker(*flight);
    }
  }
  for (const auto id : queued)
    if (auto *flight = find(id))
      dispatch(*flight);
  if (group.State == Group::Phase::Done && acceptsNewWork(view, group.Primary, Ctx.Rules))
    releaseWaiting(view);
}

void Engine::releaseWaiting(const GroupView &view) {
  const auto &group = view.Group;
  auto ids = flightsOf(group.Database);
  std::erase_if(ids, [&](std::uint64_t id) {
    const auto &flight = State.Flights.at(id);
    return flight.Phase != Phase::AwaitingPrimary || flight.MinTerm > group.Term;
  });
  if (ids.empty())
    return;
  const auto *server = group.find(group.Primary);
  const auto slots = server == nullptr ? 1 : server->Slots;
  const auto &policy = Svc.Policies.databasePolicy(group.Database);
  const auto senders = Svc.Slots.otherHolders(group.Database, group.Primary).size() + 1;
  auto &pacer = State.Queue.pacer(group.Database);
  pacer.startRelease(Ctx.Now,
                     releaseInterval(State.Queue.meanServiceTime(group.Primary, Lane::Short),
                                     slots * policy.SlotConnections, senders),
                     ids.size());
  for (const auto id : ids) {
    auto *flight = find(id);
    if (flight == nullptr)
      continue;
    flight->Phase = Phase::Delayed;
    --State.DatabasesInUse[group.Database].AwaitingPrimary;
    const auto at = pacer.nextSendTime(Ctx.Now, State.Options.Release, Ctx.Random);
    if (at <= Ctx.Now)
      dispatch(*flight);
    else
      wakeAt(*flight, at);
  }
}

} // namespace rosemaryhinge::detail
