// Feeds events to the decision logic, one at a time, and hands its effects to the adapters.

#pragma once

#include "admin/iadmin.h"
#include "callers/icallers.h"
#include "daemon/idirectory.h"
#include "daemon/ilogger.h"
#include "daemon/internal/trail.h"
#include "daemon/ireducer.h"
#include "metrics/metrics.h"
#include "net/boottimer.h"
#include "objects/iplatform.h"
#include "peers/ipeers.h"
#include "targets/itargets.h"
#include "wire/ilinkconnector.h"
#include "wire/isessionlistener.h"

#include <array>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstddef>
#include <deque>
#include <variant>

namespace rosemaryhinge {

/// A proxy has the adapters of its caller interface; the others are null. Effects for them are dropped and
/// counted.
struct Adapters {
  ICallers *Callers = nullptr;
  IPeers *Peers = nullptr;
  ITargets *Targets = nullptr;
  IPlatform *Platform = nullptr;
  IAdmin *Admin = nullptr;
  ISessionListener *Sessions = nullptr;
  ILinkConnector *Links = nullptr;
  IDirectory *Directory = nullptr;
};

/// Answers that are not given or not written yet, over all adapters.
[[nodiscard]] std::size_t outstanding(const Adapters &adapters);

class Loop {
public:
  /// All must outlive the loop.
  Loop(asio::io_context &io, IReducer &reducer, Metrics &metrics, ILogger &logger);

  /// Adapters take post() as their sink, so they are set after the loop was made and before run().
  void setAdapters(Adapters adapters) { Out = adapters; }

  /// Queues an event. Requests of callers are refused while the queue is over its bound; other events are
  /// bounded by the adapters that give them.
  void post(Event event);

  /// Starts with Started and runs until ShutdownComplete has been carried out or stop() is called.
  void run(const Started &started);
  void stop();

  static constexpr std::size_t MaxQueued = 100'000;

private:
  void scheduleDrain();
  void drain();
  void step(const Event &event);
  void apply(const Effect &effect);
  void withoutAdapter(const Effect &effect);
  void invariantBroken(const InvariantBroken &effect);
  void armTimer();
  void readWallClock();
  void readKeys();
  void takeKeys(const PlatformAnswer &answer);
  void finishShutdown();

  asio::io_context &Io;
  IReducer &Reducer;
  Metrics &Counters;
  ILogger &Logger;
  Adapters Out;
  std::deque<Event> Queue;
  bool Scheduled = false; ///< A drain() is posted.
  TimePoint Last;         ///< Time of the last event; the decision logic's time never goes back.
  BootTimer Timer;
  std::optional<TimePoint> ArmedFor;
  TimePoint TimerFiredAt;
  /// The timer has fired, and the decision logic is told after this number of events: those that were
  /// received before.
  std::optional<std::size_t> EventsBeforeTimer;
  asio::steady_timer WallTimer;
  asio::steady_timer KeysTimer;
  asio::steady_timer ShutdownTimer;
  bool ShuttingDown = false;
  std::chrono::steady_clock::time_point ShutdownDeadline;
  std::array<bool, std::variant_size_v<Effect>> ReportedWithoutAdapter{}; ///< By kind of effect.
  detail::Trail Trail;
};

} // namespace rosemaryhinge
