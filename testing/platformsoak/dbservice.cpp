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

/// To the nearest replica and back.
constexpr Millis ReplicationMs = 3;
/// A draining server stays a little longer than it has to.
constexpr Millis AfterDrainMs = 1'500;
constexpr Millis RestartMs = 700;
constexpr int Fenced = 409;
constexpr int ListenTries = 100;
constexpr Millis ListenRetryMs = 10;

} // namespace

DbService::DbService(ServiceOptions options, ObjectStore &store, Observations &seen)
    : Options(std::move(options)), Objects(store), Seen(seen) {
  for (const auto &it : Options.Zones) {
    auto server = std::make_unique<DbServer>();
    server->Zone = it;
    server->Port = reservePort();
    server->Leads = Servers.empty();
    Servers.push_back(std::move(server));
  }
  for (auto &it : Servers)
    start(*it);
}

void DbService::start(DbServer &server) {
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
    server.Id = "i-" + Options.Name + "-" + std::to_string(++Ids);
    server.ListenFd = fd;
    server.Up = true;
    server.Draining = false;
    server.Busy = 0;
    server.HeldTerm = 0;
    server.Born = unixMs();
    server.Sequence = 0;
    incarnation = ++server.Incarnation;
  }
  std::thread([this, &server, fd, incarnation] { accept(server, fd, incarnation); }).detach();
  std::thread([this, &server, incarnation] {
    for (;; sleepMs(Options.HeartbeatMs)) {
      {
        const std::lock_guard hold(Lock);
        if (!present(server, incarnation))
          return;
      }
      beat(server);
    }
  }).detach();
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
    std::thread([this, &server, fd, incarnation] {
      ServerConnection(*this, server, fd, incarnation).serve();
    }).detach();
  }
}

void DbService::drain(std::size_t n) {
  auto &server = *Servers.at(n);
  {
    const std::lock_guard hold(Lock);
    if (!server.Up || server.Draining)
      return;
    server.Draining = true;
  }
  Seen.line("server " + server.Id + " of " + Options.Name + " drains, as " +
            (server.Leads ? "primary" : "replica"));
  std::thread([this, &server] {
    beat(server);
    sleepMs(Options.DrainMs + AfterDrainMs);
    end(server);
    sleepMs(RestartMs);
    start(server);
    Seen.line("server " + server.Id + " of " + Options.Name + " starts" +
              (server.Leads ? ", as primary" : ""));
  }).detach();
}

void DbService::end(DbServer &server) {
  std::string id;
  {
    const std::lock_guard hold(Lock);
    id = server.Id;
    server.Up = false;
    ::shutdown(server.ListenFd, SHUT_RDWR);
    ::close(server.ListenFd);
    for (const auto &[fd, open] : server.Fds)
      ::shutdown(fd, SHUT_RDWR);
  }
  SlotFree.notify_all();
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

int DbService::promote(const std::string &id, std::uint64_t token) {
  const std::lock_guard hold(Lock);
  if (token < LastToken)
    return Fenced;
  LastToken = token;
  for (const auto &it : Servers) {
    if (it->Id != id || !it->Up)
      continue;
    if (!it->Leads)
      std::thread([this, server = it.get()] { leadAfterPromotion(*server); }).detach();
    return 200;
  }
  return Fenced;
}

void DbService::leadAfterPromotion(DbServer &server) {
  sleepMs(Options.PromoteMs);
  {
    const std::lock_guard hold(Lock);
    if (!server.Up || server.Leads)
      return;
    std::uint64_t term = 0;
    for (const auto &it : Servers)
      term = std::max(term, it->Term);
    // All commits of this log that were acknowledged are at each replica that receives.
    Position = std::max(server.Received, Position);
    TermStart = Position;
    for (const auto &it : Servers) {
      it->HeldTerm = 0;
      it->Term = term + 1;
      it->Leads = it.get() == &server;
      it->Received = Position;
    }
  }
  Seen.line("server " + server.Id + " of " + Options.Name + " leads");
  for (const auto &it : Servers)
    if (it->Up)
      beat(*it);
}

std::uint64_t DbService::applied(const DbServer &server) const {
  if (server.Leads)
    return server.Received;
  auto out = server.Received;
  for (auto it = Commits.rbegin(); it != Commits.rend() && it->At + Options.ReplicaLagMs > nowMs(); ++it)
    out = std::min(out, it->Position - 1);
  return std::max(out, TermStart);
}

std::string DbService::valueAt(const std::string &item, std::uint64_t position) const {
  const auto it = Versions.find(item);
  if (it == Versions.end())
    return "none";
  std::string out = "none";
  for (const auto &[at, value] : it->second)
    if (at <= position)
      out = value;
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

std::optional<std::uint64_t> DbService::commit(DbServer &server, std::uint64_t term,
                                               const std::string &statement,
                                               std::vector<LoggedWrite> writes) {
  std::uint64_t position = 0;
  {
    const std::lock_guard hold(Lock);
    if (!server.Leads || server.Term != term)
      return std::nullopt;
    position = ++Position;
    server.Received = position;
    Commits.push_back({position, nowMs(), std::nullopt});
    Seen.addCommit(statement, position);
    for (auto &it : writes) {
      if (it.Statement != statement)
        Seen.addCommit(it.Statement, position);
      Versions[it.Item].emplace_back(position, std::move(it.Value));
    }
  }
  sleepMs(ReplicationMs);
  const std::lock_guard hold(Lock);
  bool received = false;
  for (const auto &it : Servers)
    if (it.get() != &server && it->Up && it->HeldTerm == 0) {
      it->Received = std::max(it->Received, position);
      received = true;
    }
  if (!received || !server.Leads)
    return std::nullopt;
  for (auto it = Commits.rbegin(); it != Commits.rend(); ++it)
    if (it->Position == position) {
      it->AcknowledgedAt = nowMs();
      break;
    }
  return position;
}

std::uint64_t DbService::acknowledgedBefore(Millis at) {
  const std::lock_guard hold(Lock);
  for (auto it = Commits.rbegin(); it != Commits.rend(); ++it)
    if (it->AcknowledgedAt && *it->AcknowledgedAt < at)
      return it->Position;
  return 0;
}

} // namespace rosemaryhinge::platformsoak
