#include "world.h"

#include <algorithm>
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <signal.h>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

const auto Start = Clock::now();
const char *const Zones[] = {"central-a", "north-a", "south-a"};
const char *const Regions[] = {"central", "north", "south"};

std::vector<std::string> words(const std::string &text) {
  std::istringstream in(text);
  std::vector<std::string> out;
  for (std::string it; in >> it;)
    out.push_back(it);
  return out;
}

std::string takeWord(std::string &rest) {
  const auto end = rest.find(' ');
  const auto out = rest.substr(0, end);
  rest = end == std::string::npos ? "" : rest.substr(end + 1);
  return out;
}

std::int64_t unixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

} // namespace

std::int64_t nowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - Start).count();
}

void sleepMs(std::int64_t ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

void Record::line(const std::string &text) {
  const std::lock_guard hold(Lock);
  Out << nowMs() << " ms  " << text << std::endl;
}

int listenOn(int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_port = htons(static_cast<std::uint16_t>(port));
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (::bind(fd, reinterpret_cast<sockaddr *>(&at), sizeof at) != 0 || ::listen(fd, 256) != 0) {
    ::close(fd);
    return -1;
  }
  return fd;
}

int portOf(int fd) {
  sockaddr_in at{};
  socklen_t size = sizeof at;
  ::getsockname(fd, reinterpret_cast<sockaddr *>(&at), &size);
  return ntohs(at.sin_port);
}

namespace {

/// Listeners that keep the ports given out from other programs until they are used.
std::map<int, int> &heldPorts() {
  static std::map<int, int> held;
  return held;
}

} // namespace

int freePort() {
  // Below the ports that the system gives to outgoing connections.
  static std::mt19937 random(std::random_device{}());
  for (;;) {
    const int port = std::uniform_int_distribution<int>(12'000, 30'000)(random);
    if (heldPorts().contains(port))
      continue;
    if (const int fd = listenOn(port); fd >= 0) {
      heldPorts()[port] = fd;
      return port;
    }
  }
}

void releasePort(int port) {
  if (const auto it = heldPorts().find(port); it != heldPorts().end() && it->second >= 0)
    ::close(std::exchange(it->second, -1));
}

void releasePorts() {
  for (auto &[port, fd] : heldPorts())
    releasePort(port);
}

int connectTo(int port, int timeoutMs) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  timeval limit{timeoutMs / 1'000, (timeoutMs % 1'000) * 1'000};
  ::setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_port = htons(static_cast<std::uint16_t>(port));
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (::connect(fd, reinterpret_cast<sockaddr *>(&at), sizeof at) != 0) {
    ::close(fd);
    return -1;
  }
  return fd;
}

bool sendAll(int fd, const std::string &bytes) {
  std::size_t done = 0;
  while (done < bytes.size()) {
    const auto n = ::send(fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
    if (n <= 0)
      return false;
    done += static_cast<std::size_t>(n);
  }
  return true;
}

void resetAndClose(int fd) {
  const linger hard{1, 0};
  ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
  ::close(fd);
}

bool LineSocket::read(std::string &line, int timeoutMs) {
  TimedOut = false;
  const auto until = nowMs() + timeoutMs;
  for (;;) {
    if (const auto end = Buf.find("\r\n"); end != std::string::npos) {
      line = Buf.substr(0, end);
      Buf.erase(0, end + 2);
      return true;
    }
    pollfd wait{Fd, POLLIN, 0};
    const auto left = timeoutMs < 0 ? -1 : static_cast<int>(std::max<std::int64_t>(0, until - nowMs()));
    if (::poll(&wait, 1, left) == 0) {
      TimedOut = true;
      return false;
    }
    char chunk[4'096];
    const auto n = ::recv(Fd, chunk, sizeof chunk, 0);
    if (n <= 0)
      return false;
    Buf.append(chunk, static_cast<std::size_t>(n));
  }
}

// HTTP.

HttpServer::HttpServer(Handler handler) : Handle(std::move(handler)), Fd(listenOn(0)), Port(portOf(Fd)) {
  std::thread([this] {
    for (;;) {
      const int fd = ::accept4(Fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0)
        return;
      std::thread([this, fd] { serve(fd); }).detach();
    }
  }).detach();
}

void HttpServer::serve(int fd) {
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  std::string buf;
  char chunk[16'384];
  for (;;) {
    std::size_t end = 0;
    while ((end = buf.find("\r\n\r\n")) == std::string::npos) {
      const auto n = ::recv(fd, chunk, sizeof chunk, 0);
      if (n <= 0) {
        ::close(fd);
        return;
      }
      buf.append(chunk, static_cast<std::size_t>(n));
    }
    HttpRequest request;
    std::istringstream head(buf.substr(0, end));
    buf.erase(0, end + 4);
    std::string line;
    std::getline(head, line);
    const auto first = words(line);
    request.Method = first.at(0);
    std::string target = first.at(1);
    if (const auto mark = target.find('?'); mark != std::string::npos) {
      std::istringstream query(target.substr(mark + 1));
      target.resize(mark);
      for (std::string it; std::getline(query, it, '&');)
        request.Query[it.substr(0, it.find('='))] = it.substr(it.find('=') + 1);
    }
    request.Path = target;
    while (std::getline(head, line)) {
      if (!line.empty() && line.back() == '\r')
        line.pop_back();
      const auto colon = line.find(':');
      if (colon == std::string::npos)
        continue;
      std::string key = line.substr(0, colon);
      for (auto &it : key)
        it = static_cast<char>(std::tolower(it));
      request.Headers[key] = line.substr(line.find_first_not_of(' ', colon + 1));
    }
    const auto size = request.Headers.contains("content-length")
                          ? std::stoul(request.Headers["content-length"])
                          : std::size_t{0};
    while (buf.size() < size) {
      const auto n = ::recv(fd, chunk, sizeof chunk, 0);
      if (n <= 0) {
        ::close(fd);
        return;
      }
      buf.append(chunk, static_cast<std::size_t>(n));
    }
    request.Body = buf.substr(0, size);
    buf.erase(0, size);
    const auto reply = Handle(request);
    if (!sendAll(fd, "HTTP/1.1 " + std::to_string(reply.Status) +
                         " Status\r\nContent-Type: application/json\r\nContent-Length: " +
                         std::to_string(reply.Body.size()) + "\r\n\r\n" + reply.Body)) {
      ::close(fd);
      return;
    }
  }
}

// The store.

Store::Store(int proxies) {
  for (int n = 0; n < proxies; ++n)
    Fronts.push_back(std::make_unique<HttpServer>([this, n](const HttpRequest &it) { return handle(it, n); }));
}

void Store::setAddresses(const std::vector<std::string> &addresses) {
  const std::lock_guard hold(Lock);
  Addresses[addresses.front()] = addresses;
}

Json Store::seen(Json object, int proxy) const {
  if (!object["spec"].is_object() || !object["spec"].contains("address"))
    return object;
  if (const auto it = Addresses.find(object["spec"]["address"].get<std::string>()); it != Addresses.end())
    object["spec"]["address"] = it->second.at(static_cast<std::size_t>(proxy));
  return object;
}

void Store::changed(const std::string &kind, const Json &object, bool deleted) {
  History.push_back({Revision, kind, object, deleted});
  Changed.notify_all();
}

std::uint64_t Store::write(const std::string &kind, const std::string &name, const Json &spec) {
  const std::lock_guard hold(Lock);
  writeLocked(kind, name, spec);
  return Revision;
}

const Json &Store::writeLocked(const std::string &kind, const std::string &name, const Json &spec) {
  auto &object = Objects[kind][name];
  if (!object.is_null() && object["spec"] == spec)
    return object;
  ++Revision;
  const auto created = object.is_null() ? Revision : object["meta"]["created"].get<std::uint64_t>();
  object = {{"meta",
             {{"name", name},
              {"revision", Revision},
              {"created", created},
              {"finalizers", Json::array()},
              {"deletionPending", false}}},
            {"spec", spec},
            {"status", nullptr}};
  changed(kind, object, false);
  return object;
}

void Store::remove(const std::string &kind, const std::string &name) {
  const std::lock_guard hold(Lock);
  const auto it = Objects[kind].find(name);
  if (it == Objects[kind].end())
    return;
  ++Revision;
  const auto object = it->second;
  Objects[kind].erase(it);
  changed(kind, object, true);
}

HttpReply Store::handle(const HttpRequest &request, int proxy) {
  constexpr std::string_view Root = "/-/objects/";
  if (!request.Path.starts_with(Root))
    return {404, "{}"};
  std::string kind = request.Path.substr(Root.size());
  std::string name;
  if (const auto slash = kind.find('/'); slash != std::string::npos) {
    name = kind.substr(slash + 1);
    kind.resize(slash);
  }
  sleepMs(4);
  if (request.Method == "GET" && name.empty())
    return request.Query.contains("watch") ? watch(kind, request, proxy) : list(kind, request, proxy);
  if (request.Method == "GET") {
    const std::lock_guard hold(Lock);
    const auto it = Objects[kind].find(name);
    return it == Objects[kind].end() ? HttpReply{404, "{}"} : HttpReply{200, seen(it->second, proxy).dump()};
  }
  if (request.Method == "DELETE") {
    remove(kind, name);
    return {200, "{}"};
  }
  return put(kind, name, request);
}

HttpReply Store::list(const std::string &kind, const HttpRequest &request, int proxy) {
  constexpr std::size_t Page = 500;
  const std::lock_guard hold(Lock);
  const auto after = request.Query.contains("after") ? request.Query.at("after") : std::string();
  Json items = Json::array();
  bool more = false;
  for (const auto &[name, object] : Objects[kind]) {
    if (name <= after && !after.empty())
      continue;
    if (items.size() == Page) {
      more = true;
      break;
    }
    items.push_back(seen(object, proxy));
  }
  return {200, Json{{"items", items}, {"hasMore", more}, {"storeRevision", Revision}}.dump()};
}

HttpReply Store::watch(const std::string &kind, const HttpRequest &request, int proxy) {
  const auto from = std::stoull(request.Query.at("watch"));
  const auto wait = request.Query.contains("waitMs") ? std::stoll(request.Query.at("waitMs")) : 0;
  const auto until = Clock::now() + std::chrono::milliseconds(wait);
  std::unique_lock hold(Lock);
  for (;;) {
    Json events = Json::array();
    for (const auto &it : History)
      if (it.Kind == kind && it.Revision > from)
        events.push_back({{"object", seen(it.Object, proxy)}, {"deleted", it.Deleted}});
    if (!events.empty() || Changed.wait_until(hold, until) == std::cv_status::timeout)
      return {200, Json{{"events", events}, {"storeRevision", Revision}}.dump()};
  }
}

HttpReply Store::put(const std::string &kind, std::string name, const HttpRequest &request) {
  const auto body = Json::parse(request.Body);
  const auto &meta = body.at("meta");
  const bool create = request.Method == "POST";
  if (create)
    name = meta.at("name").get<std::string>();
  const std::lock_guard hold(Lock);
  const auto it = Objects[kind].find(name);
  if (!create && it == Objects[kind].end())
    return {404, "{}"};
  if (it != Objects[kind].end() &&
      (create || (meta.contains("revision") && meta["revision"] != it->second["meta"]["revision"])))
    return {409, it->second.dump()};
  return {200, writeLocked(kind, name, body.at("spec")).dump()};
}

// Database servers.

struct Service::Session {
  char State = 'I';
  bool ReadOnly = false;
  std::uint64_t Term = 0; ///< Of the lead under which the transaction began.
  std::vector<std::string> Writes;
  std::map<std::string, std::string> Prepared; ///< READ or WRITE.
};

Service::Service(ServiceOptions options, Store &store, Record &record)
    : Options(std::move(options)), Objects(store), Out(record) {
  std::mt19937_64 random(std::random_device{}());
  for (int n = 0; n < 3; ++n) {
    auto it = std::make_unique<Server>();
    it->Number = n;
    char id[32];
    std::snprintf(id, sizeof id, "i-%08x", static_cast<unsigned>(random()));
    it->Id = id;
    it->Zone = Zones[(n + Options.Index) % 3];
    it->Leads = n == 0;
    std::vector<std::string> addresses;
    for (int proxy = 0; proxy < Options.Proxies; ++proxy) {
      it->Ports.push_back(freePort());
      addresses.push_back("127.0.0.1:" + std::to_string(it->Ports.back()));
    }
    Objects.setAddresses(addresses);
    Servers.push_back(std::move(it));
  }
  for (auto &it : Servers)
    start(*it);
}

Service::~Service() {
  Stopping = true;
  for (int n = 0; n < 3; ++n)
    crash(n);
  sleepMs(200);
}

void Service::start(Server &server) {
  server.ListenFds.clear();
  for (const auto &port : server.Ports) {
    releasePort(port);
    server.ListenFds.push_back(listenOn(port));
  }
  server.Up = true;
  server.Born = unixMs();
  server.Sequence = 0;
  for (int n = 0; n < Options.Proxies; ++n)
    std::thread([this, &server, n, fd = server.ListenFds[static_cast<std::size_t>(n)]] {
      accept(server, fd, n);
    }).detach();
  std::thread([this, &server, born = server.Born] {
    while (server.Up && server.Born == born && !Stopping) {
      beat(server);
      sleepMs(Options.HeartbeatMs);
    }
  }).detach();
}

void Service::beat(Server &server) {
  Json spec;
  {
    const std::lock_guard hold(Lock);
    spec = {{"service", Options.Name},
            {"address", "127.0.0.1:" + std::to_string(server.Ports.front())},
            {"zone", server.Zone},
            {"version", "v1"},
            {"capacity", Options.Slots},
            {"state", "ready"},
            {"warmupLeftMs", 0},
            {"dbRole", server.Leads ? "primary" : "replica"},
            {"sequence", ++server.Sequence},
            {"born", server.Born}};
  }
  Objects.write("servers", server.Id, spec);
}

void Service::accept(Server &server, int listenFd, int proxy) {
  for (;;) {
    const int fd = ::accept4(listenFd, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0)
      return;
    const std::lock_guard hold(Lock);
    if (!server.Up || server.ListenFds[static_cast<std::size_t>(proxy)] != listenFd) {
      resetAndClose(fd);
      continue;
    }
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    server.Fds.insert(fd);
    ++server.Conns;
    std::thread([this, &server, fd, proxy] { serve(server, fd, proxy); }).detach();
  }
}

void Service::crash(int n) {
  auto &server = *Servers[static_cast<std::size_t>(n)];
  if (!server.Up.exchange(false))
    return;
  Out.line("server " + server.Id + " of " + Options.Name + " crashes, as " + (server.Leads ? "primary" : "replica"));
  {
    const std::lock_guard hold(Lock);
    for (const auto &fd : server.ListenFds) {
      ::shutdown(fd, SHUT_RDWR);
      ::close(fd);
    }
    const linger hard{1, 0};
    for (const auto &fd : server.Fds) {
      ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
      ::shutdown(fd, SHUT_RDWR);
    }
    server.Held = 0;
    server.Busy = 0;
  }
  SlotFree.notify_all();
  if (!Stopping)
    std::thread([this, &server, born = server.Born] {
      sleepMs(3 * Options.HeartbeatMs);
      if (!server.Up && server.Born == born && !Stopping)
        Objects.remove("servers", server.Id);
    }).detach();
}

void Service::restart(int n) {
  auto &server = *Servers[static_cast<std::size_t>(n)];
  {
    const std::lock_guard hold(Lock);
    const auto &leader = *Servers[static_cast<std::size_t>(Primary.load())];
    if (Primary != n) {
      server.Leads = false;
      server.Term = leader.Term;
      server.Lsn = leader.Lsn;
    }
  }
  Out.line("server " + server.Id + " of " + Options.Name + " starts again");
  start(server);
}

HttpReply Service::promote(const std::string &id) {
  for (auto &it : Servers) {
    if (it->Id != id)
      continue;
    if (!it->Up)
      return {409, "{}"};
    if (Primary == it->Number && it->Leads)
      return {200, "{}"};
    std::thread([this, server = it.get()] {
      sleepMs(600);
      {
        const std::lock_guard hold(Lock);
        std::uint64_t term = 0;
        for (const auto &one : Servers)
          term = std::max(term, one->Term);
        Primary = server->Number;
        for (const auto &one : Servers) {
          one->Held = 0;
          PausedReplicas = 0;
          if (!one->Up)
            continue;
          one->Term = term + 1;
          one->Leads = one.get() == server;
          one->Lsn = server->Lsn;
        }
      }
      Out.line("server " + server->Id + " of " + Options.Name + " leads");
      for (const auto &one : Servers)
        if (one->Up)
          beat(*one);
    }).detach();
    return {200, "{}"};
  }
  return {409, "{}"};
}

void Service::work(Server &server, int ms) {
  {
    std::unique_lock hold(Lock);
    SlotFree.wait(hold, [&] { return server.Busy < Options.Slots || !server.Up; });
    if (!server.Up)
      return;
    ++server.Busy;
  }
  sleepMs(ms);
  {
    const std::lock_guard hold(Lock);
    if (server.Busy > 0)
      --server.Busy;
  }
  SlotFree.notify_all();
}

std::string Service::statusRow(const Server &server) {
  return std::string(server.Leads ? "primary " : "replica ") + std::to_string(server.Term) + " " +
         std::to_string(server.Term) + "." + std::to_string(server.Lsn) + " " + std::to_string(server.Held) +
         " 0 " + std::to_string(server.Busy) + " " + std::to_string(server.Conns);
}

std::string Service::ready(Server &server, const Session &session) {
  const std::lock_guard hold(Lock);
  return std::string("READY ") + session.State + " " + std::to_string(server.Term) + "." +
         std::to_string(server.Lsn) + "\r\n";
}

void Service::noteRun(const Server &server, const std::string &what, const std::string &id) {
  {
    const std::lock_guard hold(Lock);
    Ran.insert(id);
  }
  Out.line("run     " + server.Id + " " + what + " " + id);
}

bool Service::ran(const std::string &statement) {
  const std::lock_guard hold(Lock);
  return Ran.contains(statement);
}

bool Service::commit(Server &server, const std::string &id, const std::vector<std::string> &writes) {
  {
    const std::lock_guard hold(Lock);
    ++server.Lsn;
    ++CommitsOf[id];
    for (const auto &it : writes) {
      std::string rest = it;
      const auto item = takeWord(rest);
      Data[item] = rest;
    }
  }
  noteRun(server, "commit of", id);
  sleepMs(3); // To the nearest replica and back.
  const std::lock_guard hold(Lock);
  bool received = false;
  for (const auto &it : Servers)
    if (it.get() != &server && it->Up && it->Held == 0 && it->Term == server.Term) {
      it->Lsn = std::max(it->Lsn, server.Lsn);
      received = true;
    }
  return received && server.Leads;
}

std::string Service::run(Server &server, Session &session, const std::string &id, std::string text) {
  const auto refuse = [&](const std::string &code) {
    if (session.State == 'T')
      session.State = 'E';
    return "ERROR " + code + " " + server.Id + "\r\n";
  };
  const auto done = [&](const std::string &rows = "") {
    return rows + "COMPLETE " + std::to_string(server.Term) + ".s" + std::to_string(++Signature) + "\r\n";
  };
  std::optional<std::pair<std::uint64_t, std::uint64_t>> after;
  std::string word = takeWord(text);
  if (word == "AFTERLSN") {
    const auto at = takeWord(text);
    after = {std::stoull(at), std::stoull(at.substr(at.find('.') + 1))};
    word = takeWord(text);
  }
  const auto lacks = [&] {
    const std::lock_guard hold(Lock);
    return after && std::pair(server.Term, server.Lsn) < *after;
  };
  if (word == "SET" || word == "DEALLOCATE")
    return "COMPLETE -\r\n";
  if (word == "DISCARD") {
    session.Prepared.clear();
    return "COMPLETE -\r\n";
  }
  if (word == "PREPARE") {
    const auto name = takeWord(text);
    session.Prepared[name] = takeWord(text);
    return "COMPLETE -\r\n";
  }
  if (word == "STATUS") {
    const bool replica = !server.Leads;
    if (replica)
      ++StatusOutstanding;
    work(server, Options.StatusMs);
    if (replica)
      --StatusOutstanding;
    const std::lock_guard hold(Lock);
    return "ROW " + statusRow(server) + "\r\nCOMPLETE -\r\n";
  }
  if (word == "PAUSE" || word == "RESUME" || word == "STEPDOWN") {
    const std::lock_guard hold(Lock);
    const std::uint64_t term = text.empty() ? 0 : std::stoull(text);
    if (word == "PAUSE" && !server.Leads && term > server.Term)
      server.Held = term;
    if (word == "RESUME")
      server.Held = 0;
    PausedReplicas = static_cast<int>(
        std::count_if(Servers.begin(), Servers.end(), [](const auto &it) { return it->Held > 0; }));
    if (word == "STEPDOWN" && server.Leads && term > server.Term)
      server.Leads = false;
    Out.line("order   " + server.Id + " " + word + " " + text);
    return "ROW " + statusRow(server) + "\r\nCOMPLETE -\r\n";
  }
  if (word == "ROLLBACK") {
    session.State = 'I';
    session.Writes.clear();
    return "COMPLETE -\r\n";
  }
  if (word == "BEGIN") {
    session.ReadOnly = text == "READ";
    if (lacks())
      return "ERROR LAGGING " + server.Id + "\r\n";
    if (!session.ReadOnly && !server.Leads)
      return "ERROR READONLY " + server.Id + "\r\n";
    session.State = 'T';
    session.Term = server.Term;
    session.Writes.clear();
    return "COMPLETE -\r\n";
  }
  if (session.State == 'E')
    return "ERROR MALFORMED the transaction has failed\r\n";
  const bool plain = session.State == 'T' && !session.ReadOnly;
  if (plain && (!server.Leads || server.Term != session.Term))
    return refuse("READONLY");
  if (word == "EXECUTE") {
    const auto it = session.Prepared.find(takeWord(text));
    if (it == session.Prepared.end())
      return refuse("NOSTMT");
    word = it->second;
  }
  if (word == "READ") {
    if (lacks())
      return refuse("LAGGING");
    noteRun(server, "read", id);
    work(server, Options.WorkMs);
    const std::lock_guard hold(Lock);
    const auto it = Data.find(takeWord(text));
    return done("ROW " + (it == Data.end() ? std::string("none") : it->second) + "\r\n");
  }
  if (word == "WRITE") {
    if (!server.Leads)
      return refuse("READONLY");
    noteRun(server, "write", id);
    work(server, Options.WorkMs);
    if (session.State == 'T') {
      session.Writes.push_back(text);
      return done();
    }
    return commit(server, id, {text}) ? done() : "ERROR TIMEOUT " + server.Id + "\r\n";
  }
  if (word == "COMMIT" && session.State == 'T') {
    const auto writes = session.Writes;
    session.State = 'I';
    session.Writes.clear();
    work(server, Options.WorkMs);
    if (writes.empty())
      return done();
    return commit(server, id, writes) ? done() : "ERROR TIMEOUT " + server.Id + "\r\n";
  }
  return "ERROR MALFORMED " + word + "\r\n";
}

void Service::cut(int n, int proxy, bool on) {
  auto &server = *Servers[static_cast<std::size_t>(n)];
  Out.line("server " + server.Id + " of " + Options.Name + (on ? " is cut off from" : " reaches") + " proxy " +
           std::to_string(proxy + 1) + (on ? "" : " again"));
  const std::lock_guard hold(Lock);
  if (on)
    server.CutProxies.insert(proxy);
  else
    server.CutProxies.erase(proxy);
}

std::map<std::string, int> Service::commitCounts() {
  const std::lock_guard hold(Lock);
  return CommitsOf;
}

bool Service::passes(Server &server, int proxy) {
  for (;; sleepMs(5)) {
    const std::lock_guard hold(Lock);
    if (!server.Up)
      return false;
    if (!server.CutProxies.contains(proxy))
      return true;
  }
}

void Service::serve(Server &server, int fd, int proxy) {
  LineSocket socket(fd);
  Session session;
  std::string line;
  const auto starts = [&] {
    if (!socket.read(line) || !passes(server, proxy))
      return false;
    const auto it = words(line);
    std::string refusal;
    {
      const std::lock_guard hold(Lock);
      if (server.Conns > Options.MaxConns)
        refusal = "TOOMANY";
    }
    if (it.size() < 3 || it[0] != "STARTUP" || it[1] != Options.Name || (it.size() > 3 && it[3] != server.Id))
      refusal = "MISROUTED";
    if (!refusal.empty()) {
      sendAll(fd, "ERROR " + refusal + " " + server.Id + "\r\n");
      return false;
    }
    work(server, 12);
    return server.Up && sendAll(fd, ready(server, session));
  };
  if (starts())
    while (socket.read(line) && passes(server, proxy)) {
      std::string rest = line;
      if (takeWord(rest) != "QUERY")
        break;
      const auto id = takeWord(rest);
      auto reply = run(server, session, id, rest);
      reply += ready(server, session);
      if (!passes(server, proxy))
        break;
      if (!server.Up || !sendAll(fd, reply))
        break;
    }
  {
    const std::lock_guard hold(Lock);
    server.Fds.erase(fd);
    --server.Conns;
  }
  if (server.Up)
    ::close(fd);
  else
    resetAndClose(fd);
}

// Proxies.

Proxy::Proxy(int number, const std::string &folder, const std::string &settings, Record &record)
    : Callers(freePort()), Admin(freePort()), Number(number), Folder(folder), Settings(settings), Out(record) {}

Proxy::~Proxy() {
  if (Pid > 0) {
    ::kill(Pid, SIGKILL);
    ::waitpid(Pid, nullptr, 0);
  }
}

void Proxy::start() {
  const auto name = Folder + "/proxy-" + std::to_string(Number);
  std::string text = Settings;
  const auto fill = [&](const std::string &what, const std::string &value) {
    for (auto at = text.find(what); at != std::string::npos; at = text.find(what))
      text.replace(at, what.size(), value);
  };
  fill("@callers", std::to_string(Callers));
  fill("@admin", std::to_string(Admin));
  std::ofstream(name + ".yaml") << text;
  Stopping = false;
  Pid = ::fork();
  if (Pid == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = ::open((name + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(log, 1);
    ::dup2(log, 2);
    const auto file = name + ".yaml";
    ::execl("target/bin/rosemaryhinge-platformd", "rosemaryhinge-platformd", "--settings", file.c_str(), nullptr);
    ::_exit(127);
  }
  Out.line("proxy " + std::to_string(Number) + " starts, process " + std::to_string(Pid));
}

void Proxy::signal(int number) {
  if (Pid <= 0)
    return;
  Out.line("proxy " + std::to_string(Number) + " gets signal " + std::to_string(number));
  Stopping = Stopping || number == SIGTERM || number == SIGKILL;
  ::kill(Pid, number);
}

void Proxy::check() {
  int status = 0;
  if (Pid <= 0 || ::waitpid(Pid, &status, WNOHANG) != Pid)
    return;
  Pid = -1;
  std::string how = WIFSIGNALED(status) ? "by signal " + std::to_string(WTERMSIG(status))
                                        : "with status " + std::to_string(WEXITSTATUS(status));
  if (!Stopping)
    ++OwnEnds;
  Out.line("proxy " + std::to_string(Number) + " ended " + how + (Stopping ? "" : ", BY ITSELF"));
}

bool Proxy::isReady() const {
  const int fd = connectTo(Admin, 300);
  if (fd < 0)
    return false;
  sendAll(fd, "GET /readyz HTTP/1.1\r\nHost: proxy\r\n\r\n");
  LineSocket socket(fd);
  std::string line;
  const bool ok = socket.read(line, 500) && line.find(" 200") != std::string::npos;
  ::close(fd);
  return ok;
}

// The fleet.

Fleet::Fleet(const FleetOptions &options, const std::string &folder, Record &record)
    : Objects(options.Proxies), Options(options), Folder(folder), Out(record),
      Duties(std::make_unique<HttpServer>([this](const HttpRequest &it) { return duty(it); })) {
  Json routes = Json::array(), services = Json::array();
  for (int n = 0; n < options.Services; ++n) {
    ServiceOptions one;
    one.Name = "ledger" + std::to_string(n);
    one.Index = n;
    one.Proxies = options.Proxies;
    one.WorkMs = options.WorkMs;
    one.StatusMs = options.StatusMs;
    Services.push_back(std::make_unique<Service>(one, Objects, record));
    const auto route = [&](const std::string &host, const char *kind, int timeout, int priority, int staleness) {
      Json it = {{"name", "r-" + host},   {"host", host},          {"pathPrefix", "/"},
                 {"kind", kind},          {"timeoutMs", timeout},  {"targetLatencyMs", 1'000},
                 {"priority", priority},  {"service", one.Name},   {"maxAttempts", 2}};
      if (staleness > 0)
        it["maxStalenessMs"] = staleness;
      routes.push_back(it);
    };
    const auto number = std::to_string(n);
    route("p" + number, "primary", 1'000, 0, 0);
    route("b" + number, "bounded_staleness", 2'000, 1, 1'500);
    route("r" + number, "read_your_writes", 1'000, 2, 2'500);
    services.push_back({{"name", one.Name},
                        {"healthPath", "/healthz"},
                        {"maxConns", one.MaxConns},
                        {"protocol", "h1"},
                        {"tls", false},
                        {"syncReplicas", 1}});
  }
  Objects.write("config", "main",
                {{"version", 7}, {"routes", routes}, {"services", services}, {"limits", {{"txIdleMs", 3'000}}}});
  for (int n = 0; n < options.Proxies; ++n) {
    std::ostringstream it;
    it << "node: edge-" << Zones[n % 3] << "-" << n + 1 << "\nregion: " << Regions[n % 3]
       << "\navailability_zone: " << Zones[n % 3] << "\ninterface: sessions\naddresses:\n"
       << "  callers: 127.0.0.1:@callers\n  peers: 127.0.0.1:" << freePort()
       << "\n  admin: 127.0.0.1:@admin\n  metrics: 127.0.0.1:" << freePort()
       << "\nplatform: http://127.0.0.1:" << Objects.port(n) << "\nduties: http://127.0.0.1:" << Duties->port()
       << "\nshutdown_grace_s: " << options.GraceS << "\npromotion_fencing: " << (options.Fencing ? "true" : "false")
       << "\nfirst_start: true\npropagation_ms: 3000\nregions:\n  central-a: central\n  north-a: north\n"
       << "  south-a: south\nlog:\n  format: key_value\n  level: info\n";
    Proxies.push_back(std::make_unique<Proxy>(n + 1, folder, it.str(), record));
  }
}

HttpReply Fleet::duty(const HttpRequest &request) {
  const auto body = Json::parse(request.Body);
  const auto service = body.at("service").get<std::string>();
  const auto id = body.at("id").get<std::string>();
  HttpReply out{404, "{}"};
  for (auto &it : Services)
    if (it->name() == service)
      out = it->promote(id);
  Out.line("duty    promote " + service + " " + id + " holder " +
           request.Headers.at("rosemaryhinge-lease-holder") + " token " +
           request.Headers.at("rosemaryhinge-fencing-token") + " -> " + std::to_string(out.Status));
  return out;
}

bool Fleet::waitReady(int timeoutMs) {
  const auto until = nowMs() + timeoutMs;
  for (;;) {
    bool all = true;
    for (auto &it : Proxies)
      all = all && it->isReady();
    if (all || nowMs() > until)
      return all;
    sleepMs(100);
  }
}

bool Fleet::start(int timeoutMs) {
  releasePorts();
  for (auto &it : Proxies)
    it->start();
  return waitReady(timeoutMs);
}

// Clients.

bool Client::open(int port, const std::string &database, int timeoutMs) {
  close();
  const int fd = connectTo(port);
  if (fd < 0)
    return false;
  Socket = std::make_unique<LineSocket>(fd);
  std::string line;
  if (sendAll(fd, "STARTUP " + database + " " + Who + "\r\n") && Socket->read(line, timeoutMs) &&
      line.starts_with("READY"))
    return true;
  close();
  return false;
}

Client::Answer Client::query(const std::string &text, int timeoutMs) {
  static std::mt19937_64 random(std::random_device{}());
  static std::mutex lock;
  Answer out;
  {
    const std::lock_guard hold(lock);
    char id[24];
    std::snprintf(id, sizeof id, "%016llx", static_cast<unsigned long long>(random()));
    LastId = id;
  }
  Out.line("sent    " + Who + " " + LastId + " " + text);
  std::string line;
  const auto until = nowMs() + timeoutMs;
  bool ok = sendAll(Socket->Fd, "QUERY " + LastId + " " + text + "\r\n");
  while (ok && (ok = Socket->read(line, static_cast<int>(std::max<std::int64_t>(0, until - nowMs()))))) {
    std::string rest = line;
    const auto word = takeWord(rest);
    if (word == "ROW")
      out.Rows.push_back(rest);
    else if (word == "COMPLETE")
      out.Signature = rest;
    else if (word == "ERROR")
      out.Error = takeWord(rest);
    else if (word == "READY") {
      out.Complete = true;
      out.State = takeWord(rest);
      break;
    }
  }
  out.TimedOut = !out.Complete && Socket->TimedOut;
  Out.line((out.Complete ? "answer  " : out.TimedOut ? "silent  " : "CUT     ") + Who + " " + LastId + " " +
           (out.Complete ? (out.Error.empty() ? "success" : out.Error) : std::string("no complete answer")));
  if (!out.Complete)
    close();
  return out;
}

void Client::close() {
  if (Socket)
    ::close(Socket->Fd);
  Socket.reset();
}

} // namespace review
