// Wires up a proxy whose callers keep sessions.

#include "daemon/sessiondaemon.h"

#include "admin/admin.h"
#include "daemon/internal/ending.h"
#include "daemon/internal/processsignals.h"
#include "daemon/internal/reloadsignal.h"
#include "daemon/internal/shutdownsignals.h"
#include "daemon/internal/wiring.h"
#include "daemon/loop.h"
#include "http/httpserver.h"
#include "peers/peers.h"
#include "wire/wire.h"

#include <chrono>

namespace rosemaryhinge {

namespace {

constexpr std::size_t AdminConnections = 64;

HttpOptions adminOptions(const SocketAddress &address, const char *name) {
  auto out = detail::httpOptions(address, name);
  out.MaxConnections = AdminConnections;
  return out;
}

} // namespace

int runSessionDaemon(const LocalSettings &settings, const std::string &file, IReducer &reducer,
                     ILogger &logger, const ICodecs &codecs, const DirectoryFactory &makeDirectory) {
  detail::ignoreStraySignals();
  asio::io_context io(1);
  Metrics metrics;
  Loop loop(io, reducer, metrics, logger);
  // Before the listeners: from the first connection on a signal must not end the process at once.
  const detail::ShutdownSignals signals(io, loop, logger);
  const detail::ReloadSignal reloads(io, settings, file, logger);
  const auto sink = [&loop](Event event) { loop.post(std::move(event)); };
  const auto ready = [&reducer] { return reducer.ready(); };
  const auto sessions =
      makeSessionListener(io, {settings.Callers, callerLimits(settings.MemoryMb, settings.MaxDescriptors)},
                          codecs, sink, metrics);
  const auto links = makeLinkConnector(io, codecs, sink, metrics);
  const auto directory = makeDirectory(io, metrics);
  const auto admin =
      makeAdmin(makeHttpServer(io, metrics, adminOptions(settings.Admin, "admin")), sink, metrics, ready);
  std::unique_ptr<IPeers> peers;
  if (settings.Peers.Port != 0) {
    PeerOptions options;
    options.Self = settings.Self.Node;
    options.Listen = settings.Peers;
    options.Advertised = settings.Self.PeerAddress;
    peers = makePeers(io, options, sink, metrics);
  }
  Adapters adapters;
  adapters.Peers = peers.get();
  adapters.Admin = admin.get();
  adapters.Sessions = sessions.get();
  adapters.Links = links.get();
  adapters.Directory = directory.get();
  loop.setAdapters(adapters);
  admin->start();
  std::unique_ptr<IAdmin> more;
  if (settings.MetricsOnly) {
    more = makeAdmin(makeHttpServer(io, metrics, adminOptions(*settings.MetricsOnly, "metrics")), sink,
                     metrics, ready);
    more->start();
  }
  logger.logProcess({LogLevel::Info,
                     "started",
                     {{"release", settings.Self.Release},
                      {"availability_zone", settings.Self.AvailabilityZone.str()},
                      {"callers", std::to_string(sessions->port())},
                      {"admin", std::to_string(admin->port())}}});
  // The incarnation has to differ from one start of a node to the next.
  detail::Ending ending(signals, adapters, logger);
  ending.run([&] { loop.run({detail::randomSeed(), detail::randomSeed()}); });
  links->stop();
  directory->stop();
  return ending.finish();
}

} // namespace rosemaryhinge
