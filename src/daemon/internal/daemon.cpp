// Wires the daemon up.

#include "daemon/daemon.h"

#include "admin/admin.h"
#include "callers/callers.h"
#include "daemon/internal/ending.h"
#include "daemon/internal/processsignals.h"
#include "daemon/internal/reloadsignal.h"
#include "daemon/internal/shutdownsignals.h"
#include "daemon/internal/wiring.h"
#include "daemon/loop.h"
#include "http/httpserver.h"
#include "objects/platform.h"
#include "peers/peers.h"
#include "targets/targets.h"

#include <chrono>

namespace rosemaryhinge {

namespace {

/// Longest time that an operator's command may take: `settings set --wait` waits for the fleet.
constexpr std::chrono::milliseconds AdminTimeout{120'000};
constexpr std::size_t AdminConnections = 256;
/// Time for which open connections are served after the shutdown is complete. A request that is on its way
/// then is refused as not run, and the refusal ends its connection.
constexpr std::chrono::milliseconds LateRequestTime{500};
/// Further time for answers to late requests to be written.
constexpr std::chrono::milliseconds LateAnswerTime{2'000};
constexpr std::chrono::milliseconds LateRequestCheck{10};

/// Answers requests that arrive on open connections after the loop has ended.
void answerLateRequests(asio::io_context &io, const ICallers &callers,
                        const detail::ShutdownSignals &signals) {
  const auto end = std::chrono::steady_clock::now() + LateRequestTime;
  io.restart();
  while (callers.connections() > 0 && !signals.interrupted()) {
    const auto now = std::chrono::steady_clock::now();
    if (now >= end && (callers.pending() == 0 || now >= end + LateAnswerTime))
      return;
    io.run_for(LateRequestCheck);
  }
}

} // namespace

int runDaemon(const LocalSettings &settings, const std::string &file, IReducer &reducer, ILogger &logger,
              const std::function<void(const DaemonPorts &)> &onListening) {
  detail::ignoreStraySignals();
  asio::io_context io(1);
  Metrics metrics;
  Loop loop(io, reducer, metrics, logger);
  // Before the listeners: from the first connection on a signal must not end the process at once.
  const detail::ShutdownSignals signals(io, loop, logger);
  const detail::ReloadSignal reloads(io, settings, file, logger);
  const auto sink = [&loop](Event event) { loop.post(std::move(event)); };

  const auto callers =
      makeCallers(makeHttpServer(io, metrics, detail::httpOptions(settings.Callers, "callers")), sink,
                  metrics, detail::randomSeed());
  PeerOptions peerOptions;
  peerOptions.Self = settings.Self.Node;
  peerOptions.Listen = settings.Peers;
  peerOptions.Advertised = settings.Self.PeerAddress;
  const auto peers = makePeers(io, peerOptions, sink, metrics);
  TargetOptions targetOptions;
  targetOptions.Self = settings.Self.Node;
  const auto targets = makeTargets(io, targetOptions, sink, metrics);
  PlatformOptions platformOptions;
  platformOptions.Url = settings.PlatformUrl;
  const auto platform = makePlatform(io, platformOptions, metrics);
  auto adminOptions = detail::httpOptions(settings.Admin, "admin");
  adminOptions.HandleTimeout = AdminTimeout;
  adminOptions.MaxConnections = AdminConnections;
  const auto admin = makeAdmin(makeHttpServer(io, metrics, adminOptions), sink, metrics,
                               [&] { return reducer.ready() && callers->hasKeys(); });
  const Adapters adapters{callers.get(), peers.get(), targets.get(), platform.get(), admin.get()};
  loop.setAdapters(adapters);
  detail::Ending ending(signals, adapters, logger);
  callers->start();
  admin->start();
  const DaemonPorts ports{callers->port(), peers->port(), admin->port()};
  logger.logProcess({LogLevel::Info,
                     "listening",
                     {{"release", settings.Self.Release},
                      {"callers", std::to_string(ports.Callers)},
                      {"peers", std::to_string(ports.Peers)},
                      {"admin", std::to_string(ports.Admin)}}});
  if (onListening)
    onListening(ports);
  // The incarnation has to grow from one start of a node to the next.
  const auto incarnation =
      std::chrono::floor<std::chrono::milliseconds>(std::chrono::system_clock::now()).time_since_epoch();
  ending.run([&] { loop.run({detail::randomSeed(), static_cast<std::uint64_t>(incarnation.count())}); });
  if (ending.drained())
    ending.run([&] { answerLateRequests(io, *callers, signals); });
  return ending.finish();
}

} // namespace rosemaryhinge
