// The event loop of the daemon.

#include "daemon/loop.h"

#include "base/overloaded.h"
#include "callers/sessiontoken.h"
#include "net/bootclock.h"

#include <asio/post.hpp>

#include <algorithm>
#include <sys/timex.h>
#include <utility>

namespace rosemaryhinge {

namespace {

/// Events handled before sockets get their turn.
constexpr std::size_t EventsPerTurn = 256;
/// Least time between two timer events, should the decision logic ask for times that have passed.
constexpr Duration MinTimerPause = 500us;
constexpr std::chrono::seconds WallInterval{60};
/// Assumed while the system's clock is not synchronised.
constexpr Duration UnsynchronisedError = 1s;
constexpr const char *KeysObject = "keys/session";
constexpr Duration KeysTimeout = 2s;
constexpr std::chrono::seconds KeysInterval{60};
constexpr std::chrono::seconds KeysRetry{1};
/// Time for the last answers to be written after the decision logic has finished.
constexpr std::chrono::seconds FlushTime{2};
constexpr std::chrono::milliseconds FlushCheck{10};
constexpr Duration OverloadedRetryAfter = 1s;

/// Bound that the system gives for the error of its wall clock.
Duration wallClockError() {
  timex state{};
  const bool synchronised = adjtimex(&state) >= 0 && (state.status & STA_UNSYNC) == 0;
  return synchronised ? Duration(state.maxerror) : UnsynchronisedError;
}

} // namespace

std::size_t outstanding(const Adapters &adapters) {
  std::size_t n = 0;
  if (adapters.Callers)
    n += adapters.Callers->pending();
  if (adapters.Peers)
    n += adapters.Peers->pending();
  if (adapters.Admin)
    n += adapters.Admin->pending();
  if (adapters.Sessions)
    n += adapters.Sessions->pending();
  return n;
}

Loop::Loop(asio::io_context &io, IReducer &reducer, Metrics &metrics, ILogger &logger)
    : Io(io), Reducer(reducer), Counters(metrics), Logger(logger), Timer(io), WallTimer(io), KeysTimer(io),
      ShutdownTimer(io) {}

void Loop::post(Event event) {
  if (Queue.size() >= MaxQueued) {
    if (const auto *request = std::get_if<RequestArrived>(&event)) {
      Counters.countRefusal(RefusalReason::Overloaded);
      Out.Callers->respond(request->Request.Id, Refusal{RefusalReason::Overloaded, Ran::NotRun,
                                                        OverloadedRetryAfter, "the event queue is full"});
      return;
    }
  }
  Queue.push_back(std::move(event));
  scheduleDrain();
}

void Loop::scheduleDrain() {
  if (!std::exchange(Scheduled, true))
    asio::post(Io, [this] { drain(); });
}

void Loop::run(const Started &started) {
  post(started);
  readWallClock();
  if (Out.Callers && Out.Platform)
    readKeys();
  Io.run();
}

void Loop::stop() { Io.stop(); }

void Loop::drain() {
  Scheduled = false;
  for (std::size_t n = 0; n < EventsPerTurn && !Queue.empty(); ++n) {
    const auto event = std::move(Queue.front());
    Queue.pop_front();
    step(event);
    if (EventsBeforeTimer && *EventsBeforeTimer > 0)
      --*EventsBeforeTimer;
  }
  if (EventsBeforeTimer == std::size_t{0}) {
    EventsBeforeTimer.reset();
    step(TimerFired{});
  }
  if (!Queue.empty())
    scheduleDrain();
  armTimer();
}

void Loop::step(const Event &event) {
  Last = std::max(Last, bootNow());
  Trail.add(event, Last);
  for (const auto &it : Reducer.apply(event, Last))
    apply(it);
}

void Loop::apply(const Effect &effect) {
  const auto to = [&](auto *adapter, auto action) {
    if (adapter)
      action(*adapter);
    else
      withoutAdapter(effect);
  };
  std::visit(
      Overloaded{
          [&](const Respond &it) { to(Out.Callers, [&](auto &out) { out.respond(it.Id, it.Answer); }); },
          [&](const SendToPeer &it) { to(Out.Peers, [&](auto &out) { out.send(it); }); },
          [&](const PeerAddress &it) { to(Out.Peers, [&](auto &out) { out.setAddress(it); }); },
          [&](const TargetAddress &it) { to(Out.Targets, [&](auto &out) { out.setAddress(it); }); },
          [&](const OpenConnection &it) { to(Out.Targets, [&](auto &out) { out.open(it); }); },
          [&](const CloseConnection &it) { to(Out.Targets, [&](auto &out) { out.close(it); }); },
          [&](const Execute &it) { to(Out.Targets, [&](auto &out) { out.execute(it); }); },
          [&](const ControlCall &it) { to(Out.Targets, [&](auto &out) { out.control(it); }); },
          [&](const PlatformCall &it) {
            to(Out.Platform,
               [&](auto &out) { out.call(it, [this](PlatformAnswer answer) { post(std::move(answer)); }); });
          },
          [&](const AdminReply &it) { to(Out.Admin, [&](auto &out) { out.reply(it); }); },
          [&](const Log &it) { Logger.log(it); },
          [&](const CountRefusal &it) { Counters.countRefusal(it.Reason); },
          [&](const CountRetry &it) { Counters.countRetry(it.Reason); },
          [&](const Count &it) { Counters.count(it.Name, it.Value); },
          [&](const Observe &it) { Counters.observe(it.Name, it.Value); },
          [&](const InvariantBroken &it) { invariantBroken(it); },
          [&](const ShutdownComplete &) { finishShutdown(); },
          [&](const AcceptSession &it) { to(Out.Sessions, [&](auto &out) { out.greet(it); }); },
          [&](const RefuseSession &it) { to(Out.Sessions, [&](auto &out) { out.refuse(it); }); },
          [&](const AnswerStatement &it) { to(Out.Sessions, [&](auto &out) { out.answer(it); }); },
          [&](const CloseSession &it) { to(Out.Sessions, [&](auto &out) { out.close(it); }); },
          [&](const StopAccepting &) { to(Out.Sessions, [&](auto &out) { out.stopAccepting(); }); },
          [&](const OpenLink &it) { to(Out.Links, [&](auto &out) { out.open(it); }); },
          [&](const SendOnLink &it) { to(Out.Links, [&](auto &out) { out.send(it); }); },
          [&](const CloseLink &it) { to(Out.Links, [&](auto &out) { out.close(it); }); },
          [&](const DirectoryCall &it) {
            to(Out.Directory,
               [&](auto &out) { out.call(it, [this](DirectoryAnswer answer) { post(std::move(answer)); }); });
          },
          [&](const PromotionCall &it) {
            to(Out.Directory, [&](auto &out) {
              out.promote(it, [this](PromotionAnswer answer) { post(std::move(answer)); });
            });
          },
      },
      effect);
}

void Loop::withoutAdapter(const Effect &effect) {
  Counters.count("effects_without_adapter_total");
  // One line for each kind: the same decision may come with each event.
  if (!std::exchange(ReportedWithoutAdapter.at(effect.index()), true))
    Logger.log({LogLevel::Error, "effect without an adapter", {{"effect", std::to_string(effect.index())}}});
}

void Loop::invariantBroken(const InvariantBroken &effect) {
  Counters.count("invariant_broken_total{invariant=\"" + effect.Invariant + "\"}");
  Log entry{
      LogLevel::Error, "invariant broken", {{"invariant", effect.Invariant}, {"detail", effect.Detail}}};
  const auto lines = Trail.lines();
  for (std::size_t n = 0; n < lines.size(); ++n)
    entry.Fields.push_back({"event_" + std::to_string(n), lines[n]});
  Logger.log(entry);
}

void Loop::armTimer() {
  auto next = Reducer.nextTimer();
  if (next)
    next = std::max(*next, TimerFiredAt + MinTimerPause);
  if (next == ArmedFor)
    return;
  ArmedFor = next;
  if (!next) {
    Timer.cancel();
    return;
  }
  Timer.set(*next, [this] {
    ArmedFor.reset();
    TimerFiredAt = bootNow();
    EventsBeforeTimer = Queue.size();
    scheduleDrain();
  });
}

void Loop::readWallClock() {
  const auto wall = std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch());
  post(WallClockRead{{bootNow(), wall.count(), wallClockError()}});
  WallTimer.expires_after(WallInterval);
  WallTimer.async_wait([this](std::error_code ec) {
    if (!ec)
      readWallClock();
  });
}

void Loop::readKeys() {
  Out.Platform->call({{}, KeysTimeout, GetObject{KeysObject}},
                     [this](const PlatformAnswer &answer) { takeKeys(answer); });
}

void Loop::takeKeys(const PlatformAnswer &answer) {
  std::string problem;
  if (const auto *object = std::get_if<ObjectValue>(&answer.Result); object && object->Version > 0) {
    auto keys = parseSessionKeys(object->Value);
    if (auto *it = std::get_if<SessionKeys>(&keys))
      Out.Callers->setKeys(std::move(*it));
    else
      problem = std::get<std::string>(keys);
  } else if (const auto *failure = std::get_if<PlatformFailure>(&answer.Result)) {
    problem = failure->Message;
  } else {
    problem = "keys/session does not exist";
  }
  // Keys that were read before stay in use.
  if (!problem.empty()) {
    Counters.count("session_keys_failures_total");
    Logger.log({LogLevel::Warn, "session keys not read", {{"why", problem}}});
  }
  KeysTimer.expires_after(problem.empty() && Out.Callers->hasKeys() ? KeysInterval : KeysRetry);
  KeysTimer.async_wait([this](std::error_code ec) {
    if (!ec)
      readKeys();
  });
}

void Loop::finishShutdown() {
  if (!ShuttingDown) {
    ShuttingDown = true;
    ShutdownDeadline = std::chrono::steady_clock::now() + FlushTime;
    if (Out.Callers)
      Out.Callers->stop();
  }
  if ((outstanding(Out) == 0 && Queue.empty()) || std::chrono::steady_clock::now() >= ShutdownDeadline) {
    Io.stop();
    return;
  }
  ShutdownTimer.expires_after(FlushCheck);
  ShutdownTimer.async_wait([this](std::error_code ec) {
    if (!ec)
      finishShutdown();
  });
}

} // namespace rosemaryhinge
