// Dispatches each event to the modules that own the affected state.

#include "reducer/reducer.h"

#include "base/overloaded.h"
#include "protocol/eventinterface.h"
#include "reducer/internal/adminviews.h"
#include "reducer/internal/sessionevents.h"

#include <algorithm>
#include <array>

namespace rosemaryhinge {

namespace {

class Dispatcher {
public:
  Dispatcher(State &state, Context &ctx) : S(state), Ctx(ctx) {}

  void operator()(const Started &event);
  void operator()(const TimerFired &);
  void operator()(const ShutdownRequested &);
  void operator()(const RequestArrived &event);
  void operator()(const CallerDisconnected &event);
  void operator()(const PeerReceived &event);
  void operator()(const PeerLost &event);
  void operator()(const ConnectionOpened &event);
  void operator()(const ConnectionClosed &event);
  void operator()(const ExecutionFinished &event);
  void operator()(const ControlAnswer &event);
  void operator()(const PlatformAnswer &event);
  void operator()(const AdminRequest &event);
  void operator()(const WallClockRead &event) { S.Wall = event.Reading; }
  // Events that occur only with callers that keep sessions.
  void operator()(const CallerConnected &event) { detail::onSessionEvent(S, Ctx, event); }
  void operator()(const AcceptingStopped &event) { detail::onSessionEvent(S, Ctx, event); }
  void operator()(const SessionOpened &event) { detail::onSessionEvent(S, Ctx, event); }
  void operator()(const StatementArrived &event) { detail::onSessionEvent(S, Ctx, event); }
  void operator()(const SessionClosed &event) { detail::onSessionEvent(S, Ctx, event); }
  void operator()(const LinkOpened &event) { detail::onSessionEvent(S, Ctx, event); }
  void operator()(const LinkClosed &event) { detail::onSessionEvent(S, Ctx, event); }
  void operator()(const LinkReplied &event) { detail::onSessionEvent(S, Ctx, event); }
  void operator()(const DirectoryAnswer &event) { detail::onSessionEvent(S, Ctx, event); }
  void operator()(const PromotionAnswer &event) { detail::onSessionEvent(S, Ctx, event); }

private:
  [[nodiscard]] Services services() {
    return {S.Settings,       S.Membership, S.Slots, S.Groups, S.Settings.ready() && S.Membership.joined(),
            S.Drain.leaving()};
  }
  [[nodiscard]] FailoverServices failoverServices() {
    return {S.Settings, S.Membership, S.Slots, S.Groups, S.Candidates};
  }
  void passToMembership(const NodeId &from, const PeerMessage &message);
  void resumeWaitingRequests();
  void checkDrain();

  State &S;
  Context &Ctx;
};

void Dispatcher::operator()(const Started &event) {
  S.Incarnation = event.Incarnation;
  Ctx.Incarnation = event.Incarnation;
  S.Random.seed(event.Seed);
  if (S.Self.Interface == CallerInterface::Sessions) {
    detail::onSessionEvent(S, Ctx, event);
    return;
  }
  S.Membership.onStarted(Ctx);
  S.Settings.onStarted(Ctx);
  S.Journal.onStarted(Ctx);
  (*this)(TimerFired{});
}

template <typename T> bool isDue(const T &module, TimePoint now) {
  auto next = module.nextTimer();
  return !next || *next <= now;
}

void Dispatcher::operator()(const TimerFired &) {
  if (S.Self.Interface == CallerInterface::Sessions) {
    detail::onSessionEvent(S, Ctx, TimerFired{});
    return;
  }
  if (isDue(S.Membership, Ctx.Now))
    S.Membership.onTimer(Ctx, S.Settings.revision());
  if (isDue(S.Settings, Ctx.Now))
    S.Settings.onTimer(Ctx, S.Membership);
  S.Candidates.update(S.Self.Node, S.Settings.databases(), S.Settings.revision(), S.Membership);
  if (isDue(S.Failover, Ctx.Now)) {
    auto services = failoverServices();
    S.Failover.onTimer(Ctx, services);
  }
  if (isDue(S.Slots, Ctx.Now))
    S.Slots.onTimer(Ctx, S.Settings, S.Groups, S.Membership, S.Candidates);
  if (isDue(S.Requests, Ctx.Now)) {
    auto services = this->services();
    S.Requests.onTimer(Ctx, services);
  }
  if (isDue(S.Journal, Ctx.Now))
    S.Journal.onTimer(Ctx, S.Membership);
  resumeWaitingRequests();
  checkDrain();
}

void Dispatcher::operator()(const ShutdownRequested &) {
  if (S.Drain.leaving())
    return;
  S.Drain.start(Ctx);
  if (S.Self.Interface == CallerInterface::Sessions) {
    detail::onSessionEvent(S, Ctx, ShutdownRequested{});
    return;
  }
  S.Membership.announceLeaving(Ctx);
  S.Slots.startLeaving(Ctx);
  auto services = this->services();
  S.Requests.onShutdown(Ctx, services);
  Ctx.record({"drain", DatabaseId(), "graceful shutdown started", "requested", 0, 0});
  (*this)(TimerFired{});
}

void Dispatcher::operator()(const RequestArrived &event) {
  auto services = this->services();
  S.Requests.onRequest(Ctx, services, event.Request);
}

void Dispatcher::operator()(const CallerDisconnected &event) {
  auto services = this->services();
  S.Requests.onCallerGone(Ctx, services, event.Id);
  resumeWaitingRequests();
}

void Dispatcher::passToMembership(const NodeId &from, const PeerMessage &message) {
  S.Membership.onPeer(Ctx, from, message, S.Settings.revision());
}

void Dispatcher::operator()(const PeerReceived &event) {
  if (S.Self.Interface == CallerInterface::Sessions) {
    detail::onSessionEvent(S, Ctx, event);
    return;
  }
  const auto &message = event.Message;
  std::visit(Overloaded{
                 [&](const ForwardRequest &it) {
                   auto services = this->services();
                   S.Requests.onForwardRequest(Ctx, services, event.From, it);
                 },
                 [&](const ForwardAnswer &it) {
                   auto services = this->services();
                   S.Requests.onForwardAnswer(Ctx, services, event.From, it);
                 },
                 [&](const Probe &it) {
                   passToMembership(event.From, message);
                   S.Settings.onPeerRevision(Ctx, S.Membership, event.From, it.SettingsRevision);
                 },
                 [&](const ProbeAck &it) {
                   passToMembership(event.From, message);
                   S.Settings.onPeerRevision(Ctx, S.Membership, event.From, it.SettingsRevision);
                 },
                 [&](const IndirectProbe &) { passToMembership(event.From, message); },
                 [&](const MembersRequest &) { passToMembership(event.From, message); },
                 [&](const MembersReply &) { passToMembership(event.From, message); },
                 [&](const ObjectChanged &it) {
                   auto services = failoverServices();
                   S.Failover.onPeer(Ctx, services, event.From, message);
                   S.Slots.onObjectChanged(Ctx, it);
                   resumeWaitingRequests();
                 },
                 [&](const JournalRecords &) { S.Journal.onPeer(Ctx, S.Membership, event.From, message); },
                 [&](const JournalAck &) { S.Journal.onPeer(Ctx, S.Membership, event.From, message); },
                 [&](const JournalWritten &) { S.Journal.onPeer(Ctx, S.Membership, event.From, message); },
                 [&](const auto &) {
                   auto services = failoverServices();
                   S.Failover.onPeer(Ctx, services, event.From, message);
                   S.Settings.onPeer(Ctx, S.Membership, event.From, message);
                 },
             },
             message);
}

void Dispatcher::operator()(const PeerLost &event) {
  if (S.Self.Interface == CallerInterface::Sessions) {
    detail::onSessionEvent(S, Ctx, event);
    return;
  }
  auto services = this->services();
  S.Requests.onPeerLost(Ctx, services, event.Node);
}

void Dispatcher::operator()(const ConnectionOpened &event) {
  S.Slots.onConnectionOpened(Ctx, event);
  resumeWaitingRequests();
}

void Dispatcher::operator()(const ConnectionClosed &event) {
  S.Slots.onConnectionClosed(Ctx, event);
  auto services = this->services();
  S.Requests.onConnectionClosed(Ctx, services, event);
  resumeWaitingRequests();
}

void Dispatcher::operator()(const ExecutionFinished &event) {
  auto services = this->services();
  S.Requests.onExecutionFinished(Ctx, services, event);
  resumeWaitingRequests();
}

void Dispatcher::operator()(const ControlAnswer &event) {
  if (event.Call.Owner == Module::Slots) {
    S.Slots.onControlAnswer(Ctx, S.Settings, event);
  } else if (event.Call.Owner == Module::Failover) {
    auto services = failoverServices();
    S.Failover.onControlAnswer(Ctx, services, event);
  } else {
    auto services = this->services();
    S.Requests.onControlAnswer(Ctx, services, event);
  }
  resumeWaitingRequests();
}

void Dispatcher::operator()(const PlatformAnswer &event) {
  if (const auto *list = std::get_if<VmList>(&event.Result)) {
    if (list->Unreadable > 0)
      Ctx.emit(Count{"platform_vms_unreadable_total", static_cast<double>(list->Unreadable)});
    S.Membership.onPlatformList(Ctx, *list);
  }
  switch (event.Call.Owner) {
  case Module::Settings:
    S.Settings.onPlatformAnswer(Ctx, S.Membership, event);
    break;
  case Module::Slots:
    S.Slots.onPlatformAnswer(Ctx, S.Settings, event);
    break;
  case Module::Failover: {
    auto services = failoverServices();
    S.Failover.onPlatformAnswer(Ctx, services, event);
    break;
  }
  case Module::Journal:
    S.Journal.onPlatformAnswer(Ctx, S.Membership, event);
    break;
  default:
    break;
  }
  resumeWaitingRequests();
}

void Dispatcher::operator()(const AdminRequest &event) {
  const bool settings = event.Command.starts_with("settings."), report = event.Command.starts_with("report");
  if ((settings || report) && S.Self.Interface == CallerInterface::Sessions)
    Ctx.emit(detail::commandNotServed(event));
  else if (settings)
    S.Settings.onAdmin(Ctx, S.Membership, event);
  else if (report)
    S.Journal.onAdmin(Ctx, S.Membership, event);
  else
    Ctx.emit(detail::adminView(S, event, Ctx.Now));
}

void Dispatcher::resumeWaitingRequests() {
  auto services = this->services();
  S.Requests.onCapacity(Ctx, services);
}

void Dispatcher::checkDrain() {
  S.Drain.completeIfDone(Ctx, S.Requests.inFlight(), S.Slots.releasedAllSlots(), S.Journal.flushed());
}

} // namespace

Effects reduce(State &state, const Event &event, TimePoint now) {
  Effects effects;
  std::vector<JournalEntry> journal;
  Context ctx{now,     state.Self, state.Incarnation, state.Rules, state.Random,
              effects, journal,    state.NextNumber,  state.Wall};
  std::visit(
      [&]<typename T>(const T &it) {
        if (const auto of = interfaceOf<T>(); !of || *of == state.Self.Interface)
          Dispatcher(state, ctx)(it);
        else
          ctx.emit(InvariantBroken{"caller interface", "an event of the other interface was ignored"});
      },
      event);
  if (!journal.empty())
    state.Journal.append(ctx, journal);
  return effects;
}

std::optional<TimePoint> nextTimer(const State &state) {
  if (state.Self.Interface == CallerInterface::Sessions)
    return detail::nextSessionTimer(state);
  std::array<std::optional<TimePoint>, 7> times = {state.Settings.nextTimer(), state.Membership.nextTimer(),
                                                   state.Slots.nextTimer(),    state.Failover.nextTimer(),
                                                   state.Requests.nextTimer(), state.Drain.nextTimer(),
                                                   state.Journal.nextTimer()};
  std::optional<TimePoint> out;
  for (const auto &it : times)
    if (it && (!out || *it < *out))
      out = it;
  return out;
}

bool isReady(const State &state) {
  if (state.Self.Interface == CallerInterface::Sessions)
    return state.Catalog.configured() && state.Catalog.serversLoaded() && !state.Directory.isolated() &&
           !state.Drain.leaving();
  return state.Settings.ready() && state.Membership.joined() && !state.Drain.leaving();
}

} // namespace rosemaryhinge
