// A service: servers, log and changes of primary.

#include "platformsoak/dbservice.h"

#include "platformsoak/serverconnection.h"
#include "platformsoak/sockets.h"

#include <algorithm>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace rosemaryhinge::platformsoak {

namespace {

/// A draining server stays a little longer than it has to.
constexpr Millis AfterDrainMs = 1'500;
constexpr std::uint64_t FirstTerm = 3;
constexpr Millis RestartMs = 700;
constexpr int ListenTries = 100;
constexpr Millis ListenRetryMs = 10;
/// Of a commit to a replica.
constexpr Millis LeastLagMs = 2, MostLagMs = 40;

} // namespace

DbService::DbService(ServiceOptions options, ObjectStore &store, Observations &seen)
    : Options(std::move(options)), Objects(store), Seen(seen), Random(Options.Seed) {
  for (const auto &it : Options.Zones) {
    auto &server = add(it, FirstTerm);
    server.Leads = Servers.size() == 1;
    start(server);
  }
  std::thread([this] { replicate(); }).detach();
}

DbServer &DbService::add(const std::string &zone, std::uint64_t term) {
  auto server = std::make_unique<DbServer>();
  server->Zone = zone;
  server->Term = term;
  server->Port = reservePort();
  const std::lock_guard hold(Lock);
  server->LagMs = std::uniform_int_distribution<Millis>(LeastLagMs, MostLagMs)(Random);
  Servers.push_back(std::move(server));
  return *Servers.back();
}

void DbService::start(DbServer &server, bool keepId) {
  listen(server, keepId);
  startBeats(server);
}

void DbService::listen(DbServer &server, bool keepId) {
  releasePort(server.Port);
  int fd = listenOn(server.Port);
  // A proxy that is being started may hold the address for a moment more.
  for (int n = 0; fd < 0 && n < ListenTries; ++n) {
    sleepMs(ListenRetryMs);
    fd = listenOn(server.Port);
  }
  int incarnation = 0;
  {
    const std::lock_guard hold(Lock);
    if (!keepId)
      server.Id = "i-" + Options.Name + "-" + std::to_string(++Ids);
    server.ListenFd = fd;
    server.Up = true;
    server.Leaving = false;
    server.Listed = keepId;
    server.Draining = false;
    server.Busy = 0;
    server.HeldTerm = 0;
    server.Born = unixMs();
    server.Sequence = 0;
    incarnation = ++server.Incarnation;
  }
  std::thread([this, &server, fd, incarnation] { accept(server, fd, incarnation); }).detach();
}

void DbService::startBeats(DbServer &server) {
  int incarnation = 0;
  {
    const std::lock_guard hold(Lock);
    incarnation = server.Incarnation;
  }
  std::thread([this, &server, incarnation] { beatUntilEnd(server, incarnation); }).detach();
}

void DbService::beatUntilEnd(DbServer &server, int incarnation) {
  for (;; sleepMs(Options.HeartbeatMs)) {
    {
      const std::lock_guard hold(Lock);
      if (!present(server, incarnation))
        return;
    }
    beat(server);
  }
}

bool DbService::present(const DbServer &server, int incarnation) const {
  return server.Up && server.Incarnation == incarnation;
}

void DbService::beat(DbServer &server) {
  Json spec;
  std::string id;
  {
    const std::lock_guard hold(Lock);
    id = server.Id;
    server.Listed = true;
    spec = {{"service", Options.Name},
            {"address", "127.0.0.1:" + std::to_string(server.Port)},
            {"zone", server.Zone},
            {"version", "v1"},
            {"capacity", Options.Slots},
            {"state", server.Draining ? "draining" : "ready"},
            {"warmupLeftMs", 0},
            {"dbRole", server.Leads ? "primary" : "replica"},
            {"sequence", ++server.Sequence},
            {"born", server.Born}};
  }
  Objects.write("servers", id, spec);
}

void DbService::accept(DbServer &server, int listenFd, int incarnation) {
  for (;;) {
    const int fd = acceptFrom(listenFd);
    const std::lock_guard hold(Lock);
    if (fd < 0 || !present(server, incarnation)) {
      ::close(fd);
      return;
    }
    server.Fds[fd] = true;
    ++server.Conns;
    std::thread([this, &server, fd, incarnation, seed = Random()] {
      ServerConnection(*this, server, fd, incarnation, seed).serve();
    }).detach();
  }
}

void DbService::drain(std::size_t n) {
  auto *chosen = choose(n);
  if (!chosen)
    return;
  std::thread([this, &server = *chosen] {
    drainAndEnd(server);
    sleepMs(RestartMs);
    start(server);
    Seen.line("server " + server.Id + " of " + Options.Name + " starts" +
              (server.Leads ? ", as primary" : ""));
  }).detach();
}

void DbService::replace(std::size_t n, Millis listedAfterMs) {
  auto *chosen = choose(n);
  if (!chosen)
    return;
  auto &old = *chosen;
  auto &server = add(old.Zone, 0);
  std::thread([this, &old, &server, listedAfterMs] {
    listen(server);
    Seen.line("server " + server.Id + " of " + Options.Name + " joins");
    sleepMs(listedAfterMs);
    awaitLog(server);
    startBeats(server);
    old.EndsForGood = true;
    drainAndEnd(old);
  }).detach();
}

void DbService::awaitLog(const DbServer &server) {
  std::unique_lock hold(Lock);
  Received.wait(hold, [&] { return server.Term > 0; });
}

DbServer *DbService::choose(std::size_t n) {
  const std::lock_guard hold(Lock);
  auto &server = *Servers.at(n);
  if (!server.Up || server.Leaving)
    return nullptr;
  server.Leaving = true;
  return &server;
}

void DbService::drainAndEnd(DbServer &server) {
  Seen.line("server " + server.Id + " of " + Options.Name + " drains, as " +
            (server.Leads ? "primary" : "replica"));
  {
    const std::lock_guard hold(Lock);
    server.Draining = true;
  }
  beat(server);
  sleepMs(Options.DrainMs + AfterDrainMs);
  end(server);
}

void DbService::crash(std::size_t n, Millis downMs) {
  auto *chosen = choose(n);
  if (!chosen)
    return;
  std::thread([this, &server = *chosen, downMs] {
    Seen.line("server " + server.Id + " of " + Options.Name + " crashes, as " +
              (server.Leads ? "primary" : "replica"));
    takeDown(server);
    sleepMs(downMs);
    start(server, true);
    Seen.line("server " + server.Id + " of " + Options.Name + " is back" +
              (server.Leads ? ", as primary" : ""));
  }).detach();
}

void DbService::lose(std::size_t n, std::set<std::size_t> proxies, Millis ms) {
  const std::lock_guard hold(Lock);
  auto &server = *Servers.at(n);
  server.LostBy = std::move(proxies);
  server.LostUntil = nowMs() + ms;
}

void DbService::cutOffReplicas(bool all, Millis ms) {
  const std::lock_guard hold(Lock);
  for (const auto &it : Servers) {
    if (!it->Up || it->Leads)
      continue;
    it->CutOffUntil = nowMs() + ms;
    if (!all)
      return;
  }
}

void DbService::takeDown(DbServer &server) {
  {
    const std::lock_guard hold(Lock);
    server.Up = false;
    ::shutdown(server.ListenFd, SHUT_RDWR);
    ::close(server.ListenFd);
    for (const auto &[fd, open] : server.Fds)
      ::shutdown(fd, SHUT_RDWR);
  }
  SlotFree.notify_all();
  Received.notify_all();
}

void DbService::end(DbServer &server) {
  takeDown(server);
  std::string id;
  {
    const std::lock_guard hold(Lock);
    id = server.Id;
    server.Leads = server.Leads && !server.EndsForGood;
    // The log of a replica is gone with it; that of a primary goes to the next server at its address.
    if (!server.Leads) {
      server.Log.clear();
      server.Term = 0;
      server.TermStart = 0;
    }
  }
  Seen.line("server " + id + " of " + Options.Name + " ended");
  while (!Objects.remove("servers", id))
    if (sleepMs(100); !Objects.all("servers").contains(id))
      return;
}

std::size_t DbService::primary() {
  const std::lock_guard hold(Lock);
  for (std::size_t n = 0; n < Servers.size(); ++n)
    if (Servers[n]->Leads)
      return n;
  return 0;
}

std::size_t DbService::replica(std::size_t which) {
  const auto leader = primary();
  const std::lock_guard hold(Lock);
  std::vector<std::size_t> out;
  for (std::size_t n = 0; n < Servers.size(); ++n)
    if (n != leader && Servers[n]->Up && !Servers[n]->Leaving)
      out.push_back(n);
  return out.empty() ? leader : out[which % out.size()];
}

std::string DbService::serverId(std::size_t n) {
  const std::lock_guard hold(Lock);
  return Servers.at(n)->Id;
}

std::vector<std::string> DbService::liveIds() {
  const std::lock_guard hold(Lock);
  std::vector<std::string> out;
  for (const auto &it : Servers)
    if (it->Up)
      out.push_back(it->Id);
  return out;
}

bool DbService::work(DbServer &server, int incarnation, Millis ms) {
  {
    std::unique_lock hold(Lock);
    SlotFree.wait(hold, [&] { return server.Busy < Options.Slots || !present(server, incarnation); });
    if (!present(server, incarnation))
      return false;
    ++server.Busy;
  }
  sleepMs(ms);
  const std::lock_guard hold(Lock);
  if (!present(server, incarnation))
    return false;
  --server.Busy;
  SlotFree.notify_all();
  return true;
}

} // namespace rosemaryhinge::platformsoak
