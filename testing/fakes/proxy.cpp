// The adapter side of a simulated proxy.

#include "fakes/proxy.h"

#include "base/overloaded.h"
#include "fakes/fleet.h"
#include "reducer/reducer.h"

#include <algorithm>

namespace rosemaryhinge::fakes {

namespace {

constexpr std::int64_t Million = 1'000'000;
/// Timers are never fired more often than this, whatever nextTimer says.
constexpr Duration TimerStep = 100us;
constexpr Duration NoticeLow = 100ms;
constexpr Duration NoticeHigh = 1500ms;
/// A server notices a connection that was cut by its keep-alive, much later than the proxy.
constexpr Duration ServerNoticeHigh = 15s;

} // namespace

TimePoint LocalClock::local(TimePoint global) const {
  auto since = global.time_since_epoch().count();
  return TimePoint(Offset + Duration(since + since * DriftPpm / Million));
}

TimePoint LocalClock::global(TimePoint local) const {
  auto since = (local.time_since_epoch() - Offset).count();
  return TimePoint(Duration(since - since * DriftPpm / (Million + DriftPpm) + 1));
}

FakeProxy::FakeProxy(Fleet &fleet, std::size_t index, NodeConfig config, Endpoint place, LocalClock clock)
    : World(fleet), Index(index), Config(std::move(config)), Where(place), Clock(clock) {}

TimePoint FakeProxy::localNow() const { return Clock.local(World.Queue.now()); }

bool FakeProxy::paused() const { return World.Queue.now() < PausedUntil; }

bool FakeProxy::ready() const { return running() && !paused() && isReady(*State); }

std::uint64_t FakeProxy::revision() const { return State ? State->Settings.revision() : 0; }

void FakeProxy::start() {
  if (running())
    return;
  State = std::make_unique<rosemaryhinge::State>();
  State->Self = Config;
  State->Rules = World.Options.Rules;
  State->Requests = RequestModule(World.Options.Requests);
  ++Incarnation;
  StartedAt = World.Queue.now();
  ShuttingDown = false;
  Ended = false;
  World.Store->setVm(Config.Node, false);
  for (auto *it : World.Observers)
    it->onProxyStarted(*this);
  // The incarnation grows with each start of the node, as a start time in microseconds does.
  apply(
      Started{World.Random.next(),
              static_cast<std::uint64_t>(World.Queue.now().time_since_epoch().count()) * 1000 + Incarnation});
}

void FakeProxy::closeConnections(Ending how) {
  for (const auto &[connection, target] : Connections) {
    auto *server = World.server(target);
    ConnectionKey key{Index, Incarnation, connection};
    auto closed = [server, key] { server->closedByProxy(key); };
    auto late = [this, closed] { World.Queue.after(World.Random.between(1s, ServerNoticeHigh), closed); };
    if (how == Ending::Vm)
      late();
    else
      World.Network.send(Where, server->place(), closed, true, late);
  }
  Connections.clear();
}

void FakeProxy::end(Ending how) {
  if (!running())
    return;
  World.trace(Config.Node.str() + (how == Ending::Graceful ? " ended"
                                   : how == Ending::Vm     ? " fails with its VM"
                                                           : " killed"));
  for (auto *it : World.Observers)
    it->onProxyEnded(*this, how == Ending::Graceful);
  closeConnections(how);
  auto calls = std::move(Calls);
  auto admin = std::move(AdminCalls);
  Calls.clear();
  AdminCalls.clear();
  Waiting.clear();
  Held.clear();
  TimerHeld = false;
  TimerAt.reset();
  ++TimerToken;
  State.reset();
  PausedUntil = std::min(PausedUntil, World.Queue.now());
  for (auto &[id, call] : calls)
    call.Gone();
  for (auto &[id, call] : admin)
    call.second();
  if (how == Ending::Vm)
    return;
  for (const auto &it : World.Proxies)
    if (it.get() != this && it->running())
      World.Network.send(Where, it->place(), [peer = it.get(), node = Config.Node] {
        if (peer->running())
          peer->receive(PeerLost{node});
      });
}

void FakeProxy::kill(bool withVm) { end(withVm ? Ending::Vm : Ending::Process); }

void FakeProxy::pause(Duration time) {
  if (!running())
    return;
  World.trace(Config.Node.str() + " pauses for " + std::to_string(time.count() / 1000) + " ms");
  PausedUntil = std::max(PausedUntil, World.Queue.now() + time);
  World.Queue.at(PausedUntil, [this, incarnation = Incarnation, until = PausedUntil] {
    if (running() && Incarnation == incarnation && PausedUntil == until)
      resume();
  });
}

void FakeProxy::wake() {
  if (!running() || !paused())
    return;
  PausedUntil = World.Queue.now();
  resume();
}

void FakeProxy::resume() {
  auto held = std::move(Held);
  Held.clear();
  bool timerFirst = World.Random.chance(0.5);
  bool timer = TimerHeld;
  TimerHeld = false;
  auto incarnation = Incarnation;
  if (timer && timerFirst)
    apply(TimerFired{});
  for (auto &it : held)
    if (running() && Incarnation == incarnation)
      apply(it);
  if (timer && !timerFirst && running() && Incarnation == incarnation)
    apply(TimerFired{});
}

void FakeProxy::shutdown() {
  if (!running() || ShuttingDown)
    return;
  ShuttingDown = true;
  World.trace(Config.Node.str() + " is asked to shut down");
  receive(ShutdownRequested{});
}

void FakeProxy::receiveFor(std::uint64_t incarnation, Event event) {
  if (running() && Incarnation == incarnation)
    receive(std::move(event));
}

void FakeProxy::receive(Event event) {
  if (!running())
    return;
  if (paused())
    Held.push_back(std::move(event));
  else
    apply(event);
}

void FakeProxy::apply(const Event &event) {
  ++Events;
  for (auto *it : World.Observers)
    it->onBeforeEvent(*this, event);
  if (const auto *it = std::get_if<ConnectionClosed>(&event))
    Connections.erase(it->Connection.Value);
  auto effects = reduce(*State, event, localNow());
  for (auto &it : effects) {
    for (auto *observer : World.Observers)
      observer->onEffect(*this, it);
    carryOut(it);
  }
  for (auto *it : World.Observers)
    it->onAfterEvent(*this);
  if (Ended)
    end(Ending::Graceful);
  else
    armTimer();
}

void FakeProxy::armTimer() {
  auto next = nextTimer(*State);
  if (!next)
    return;
  auto at = std::max({Clock.global(*next), World.Queue.now(), LastTimer + TimerStep});
  if (TimerAt && *TimerAt <= at)
    return; // An earlier timer looks again when it fires.
  TimerAt = at;
  auto token = ++TimerToken;
  World.Queue.at(at, [this, token] {
    if (!running() || token != TimerToken)
      return;
    TimerAt.reset();
    LastTimer = World.Queue.now();
    if (paused())
      TimerHeld = true;
    else
      apply(TimerFired{});
  });
}

void FakeProxy::request(const Submission &submission, CallerRequest request, AnswerBack reply, Lost lost) {
  if (!running()) {
    lost();
    return;
  }
  // Numbers begin again with each process: an answer to an earlier process may carry a number in use.
  request.Id = RequestId{++NextRequest};
  request.Deadline = localNow() + submission.What->Deadline;
  Calls[request.Id.Value] = {submission, std::move(reply), std::move(lost), request.Id.Value};
  for (auto *it : World.Observers)
    it->onRequestArrived(*this, request.Id, submission);
  receive(RequestArrived{std::move(request)});
}

void FakeProxy::admin(const std::string &command, const std::string &body,
                      std::function<void(const AdminReply &)> reply, Lost lost) {
  if (!running()) {
    lost();
    return;
  }
  auto id = ++NextAdmin;
  AdminCalls[id] = {std::move(reply), std::move(lost)};
  receive(AdminRequest{id, command, body});
}

void FakeProxy::carryOut(Effect &effect) {
  std::visit(
      Overloaded{[&](const Respond &it) { respond(it); }, [&](SendToPeer &it) { sendToPeer(std::move(it)); },
                 [&](const OpenConnection &it) { open(it); }, [&](const CloseConnection &it) { close(it); },
                 [&](Execute &it) { execute(std::move(it)); },
                 [&](ControlCall &it) { control(std::move(it)); },
                 [&](PlatformCall &it) { platform(std::move(it)); },
                 [&](const AdminReply &it) {
                   auto call = AdminCalls.find(it.Id);
                   if (call == AdminCalls.end())
                     return;
                   auto reply = std::move(call->second.first);
                   AdminCalls.erase(call);
                   reply(it);
                 },
                 [&](const Log &it) {
                   if (!World.Trace)
                     return;
                   std::string text = Config.Node.str() + " log: " + it.Message;
                   for (const auto &field : it.Fields)
                     text += " " + field.Key + "=" + field.Value;
                   World.trace(text);
                 },
                 [&](const CountRefusal &it) { Counts["refusal." + std::string(toString(it.Reason))] += 1; },
                 [&](const CountRetry &it) { Counts["retry." + std::string(toString(it.Reason))] += 1; },
                 [&](const Count &it) { Counts[it.Name] += it.Value; },
                 [&](const InvariantBroken &it) {
                   World.trace(Config.Node.str() + " invariant broken: " + it.Invariant + " " + it.Detail);
                 },
                 [&](const ShutdownComplete &) { Ended = true; }, [](const auto &) {}},
      effect);
}

void FakeProxy::respond(const Respond &effect) {
  auto it = Calls.find(effect.Id.Value);
  if (it == Calls.end())
    return;
  auto reply = std::move(it->second.Reply);
  Calls.erase(it);
  reply(effect.Answer);
}

void FakeProxy::sendToPeer(SendToPeer effect) {
  auto *peer = World.proxy(effect.To);
  if (peer == nullptr)
    return;
  ++PeerMessages;
  auto notice = [this, incarnation = Incarnation, to = effect.To](Duration low, Duration high) {
    World.Queue.after(World.Random.between(low, high),
                      [this, incarnation, to] { receiveFor(incarnation, PeerLost{to}); });
  };
  auto deliver = [peer, from = Config.Node, message = std::move(effect.Message), notice] {
    if (peer->running())
      peer->receive(PeerReceived{from, message});
    else
      notice(1ms, 30ms); // Connection refused.
  };
  if (World.Links.DuplicatePeer > 0 && World.Random.chance(World.Links.DuplicatePeer)) {
    ++World.DuplicatedMessages;
    World.Queue.after(World.Random.between(0us, 300ms), [this, peer, deliver] {
      if (World.Network.reaches(Where, peer->place()))
        deliver();
    });
  }
  World.Network.send(Where, peer->place(), deliver, !World.Links.Unordered,
                     [notice] { notice(NoticeLow, NoticeHigh); });
}

void FakeProxy::breakConnections(const TargetId &target) {
  auto *server = World.server(target);
  for (const auto &[connection, name] : Connections) {
    if (name != target)
      continue;
    ConnectionKey key{Index, Incarnation, connection};
    auto delay = World.Random.between(NoticeLow, NoticeHigh);
    World.Queue.after(delay, [this, key] {
      if (Connections.count(key.Connection) != 0)
        receiveFor(key.Incarnation, ConnectionClosed{ConnectionId{key.Connection}, "connection timed out"});
    });
    World.Queue.after(delay + World.Random.between(0us, ServerNoticeHigh),
                      [server, key] { server->closedByProxy(key); });
  }
}

void FakeProxy::open(const OpenConnection &effect) {
  auto *server = World.server(effect.Target);
  if (server == nullptr) {
    receive(ConnectionClosed{effect.Connection, "unknown server"});
    return;
  }
  Connections[effect.Connection.Value] = effect.Target;
  ConnectionKey key{Index, Incarnation, effect.Connection.Value};
  World.Network.send(
      Where, server->place(), [server, key, effect] { server->open(key, effect); }, true,
      [this, target = effect.Target] { breakConnections(target); });
}

void FakeProxy::close(const CloseConnection &effect) {
  auto it = Connections.find(effect.Connection.Value);
  if (it == Connections.end())
    return;
  auto *server = World.server(it->second);
  Connections.erase(it);
  ConnectionKey key{Index, Incarnation, effect.Connection.Value};
  // As the target adapter does, the end of the connection is reported for a close of this side too.
  World.Queue.after(0us, [this, key] {
    receiveFor(key.Incarnation, ConnectionClosed{ConnectionId{key.Connection}, "closed by this proxy"});
  });
  auto closed = [server, key] { server->closedByProxy(key); };
  World.Network.send(Where, server->place(), closed, true, [this, closed] {
    World.Queue.after(World.Random.between(1s, ServerNoticeHigh), closed);
  });
}

void FakeProxy::execute(Execute effect) {
  auto it = Connections.find(effect.Connection.Value);
  if (it == Connections.end())
    return; // Its end is being reported.
  auto target = it->second;
  auto *server = World.server(target);
  ConnectionKey key{Index, Incarnation, effect.Connection.Value};
  World.Network.send(
      Where, server->place(), [server, key, effect = std::move(effect)] { server->execute(key, effect); },
      true,
      [this, target, incarnation = Incarnation] {
        if (Incarnation == incarnation)
          breakConnections(target);
      });
}

void FakeProxy::control(ControlCall effect) {
  auto *server = World.server(effect.Target);
  auto incarnation = Incarnation;
  auto call = effect.Call;
  auto target = effect.Target;
  Waiting[call] = true;
  World.Queue.after(effect.Timeout, [this, incarnation, call, target] {
    if (Incarnation == incarnation && Waiting.erase(call) != 0)
      receiveFor(incarnation, ControlAnswer{call, target, ControlFailure{ControlError::Timeout, "timeout"}});
  });
  if (server == nullptr)
    return;
  auto back = [this, server, incarnation, call, target](FakeServer::ControlResult result) {
    auto deliver = [this, incarnation, call, target, result = std::move(result)] {
      if (Incarnation != incarnation)
        return;
      bool waiting = Waiting.erase(call) != 0;
      if (waiting || World.Links.DuplicateAnswers > 0)
        receiveFor(incarnation, ControlAnswer{call, target, result});
    };
    World.Network.send(server->place(), Where, deliver, !World.Links.Unordered);
    if (World.Links.DuplicateAnswers > 0 && World.Random.chance(World.Links.DuplicateAnswers)) {
      ++World.DuplicatedAnswers;
      World.Queue.after(World.Random.between(20ms, 300ms), deliver);
    }
  };
  World.Network.send(
      Where, server->place(), [server, effect = std::move(effect), back] { server->control(effect, back); },
      !World.Links.Unordered);
}

void FakeProxy::platform(PlatformCall effect) {
  auto incarnation = Incarnation;
  auto call = effect.Call;
  Waiting[call] = true;
  World.Queue.after(effect.Timeout, [this, incarnation, call] {
    if (Incarnation == incarnation && Waiting.erase(call) != 0)
      receiveFor(incarnation, PlatformAnswer{call, PlatformFailure{"timeout"}});
  });
  auto *store = World.Store.get();
  auto back = [this, store, incarnation, call](PlatformResult result) {
    World.Network.send(store->Where, Where, [this, incarnation, call, result = std::move(result)] {
      if (Incarnation == incarnation && Waiting.erase(call) != 0)
        receiveFor(incarnation, PlatformAnswer{call, result});
    });
  };
  World.Network.send(Where, store->Where,
                     [store, effect = std::move(effect), back] { store->handle(effect, back); });
}

} // namespace rosemaryhinge::fakes
