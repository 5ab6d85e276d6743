// Small stand-ins for the second review: the platform's store, the duty API, database servers, clients and
// the proxies as processes of their own. Everything is on 127.0.0.1 and on the real clock.
//
// The stand-ins follow SYSTEM.md, PROTOCOL.md and DEPLOY.md of the users' pages.

#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review2 {

using Json = nlohmann::json;
using Ms = std::int64_t;

inline Ms nowMs() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - start)
      .count();
}
inline void sleepMs(double ms) {
  if (ms > 0)
    std::this_thread::sleep_for(std::chrono::microseconds(static_cast<std::int64_t>(ms * 1000)));
}
inline Ms unixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// The record of what was sent, answered and run.
class Record {
public:
  explicit Record(const std::string &file) : Out(file) {}
  void line(const std::string &text) {
    const std::lock_guard hold(Lock);
    Out << nowMs() << " " << text << "\n" << std::flush;
  }

private:
  std::mutex Lock;
  std::ofstream Out;
};

// ---- sockets

inline int listenOn(int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_port = htons(static_cast<std::uint16_t>(port));
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (::bind(fd, reinterpret_cast<sockaddr *>(&at), sizeof at) != 0 || ::listen(fd, 512) != 0) {
    ::close(fd);
    return -1;
  }
  return fd;
}
/// A port that nobody uses now, below the system's range for outgoing connections.
inline int freePort() {
  static std::mutex lock;
  static std::mt19937 random(std::random_device{}());
  static std::set<int> given;
  const std::lock_guard hold(lock);
  for (;;) {
    // Scripts that run beside each other draw from different ranges, as a rule.
    const int port = 15'000 + ::getpid() % 5 * 3'000 + static_cast<int>(random() % 3'000);
    if (given.contains(port))
      continue;
    const int fd = listenOn(port);
    if (fd < 0)
      continue;
    ::close(fd);
    given.insert(port);
    return port;
  }
}
inline void noDelay(int fd) {
  const int one = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
}
inline int connectTo(int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_port = htons(static_cast<std::uint16_t>(port));
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (::connect(fd, reinterpret_cast<sockaddr *>(&at), sizeof at) != 0) {
    ::close(fd);
    return -1;
  }
  noDelay(fd);
  return fd;
}
inline bool sendAll(int fd, std::string_view bytes) {
  while (!bytes.empty()) {
    const auto n = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (n <= 0)
      return false;
    bytes.remove_prefix(static_cast<std::size_t>(n));
  }
  return true;
}
/// Closes with a reset: nothing that was sent or received counts any more.
inline void resetClose(int fd) {
  const linger hard{1, 0};
  ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
  ::close(fd);
}

class LineSocket {
public:
  explicit LineSocket(int fd) : Fd(fd) {}
  /// Reads up to LF, without CR LF. False at the end of the connection or after the time.
  bool read(std::string &line, Ms timeout = -1) {
    const auto until = nowMs() + timeout;
    for (;;) {
      if (const auto end = Buf.find('\n'); end != std::string::npos) {
        line.assign(Buf, 0, end);
        Buf.erase(0, end + 1);
        if (!line.empty() && line.back() == '\r')
          line.pop_back();
        return true;
      }
      if (!more(timeout < 0 ? -1 : std::max<Ms>(0, until - nowMs())))
        return false;
    }
  }
  bool readBytes(std::size_t count, std::string &out) {
    while (Buf.size() < count)
      if (!more(-1))
        return false;
    out.assign(Buf, 0, count);
    Buf.erase(0, count);
    return true;
  }
  [[nodiscard]] int fd() const { return Fd; }

private:
  bool more(Ms timeout) {
    pollfd one{Fd, POLLIN, 0};
    if (timeout >= 0 && ::poll(&one, 1, static_cast<int>(timeout)) <= 0)
      return false;
    char buf[16'384];
    const auto n = ::recv(Fd, buf, sizeof buf, 0);
    if (n <= 0)
      return false;
    Buf.append(buf, static_cast<std::size_t>(n));
    return true;
  }
  int Fd;
  std::string Buf;
};

inline std::string takeWord(std::string &rest) {
  const auto end = rest.find(' ');
  auto out = rest.substr(0, end);
  rest = end == std::string::npos ? std::string() : rest.substr(end + 1);
  return out;
}

// ---- HTTP

struct HttpRequest {
  std::string Method, Path, Body;
  std::map<std::string, std::string> Query, Headers;
  bool FirstOnConnection = true;
};
struct HttpReply {
  int Status = 200; ///< 0: the connection is reset without an answer.
  std::string Body = "{}";
};

/// One thread a connection. The listener can be taken away and come back at the same port.
class HttpServer {
public:
  using Handler = std::function<HttpReply(const HttpRequest &)>;
  explicit HttpServer(Handler handler) : Handle(std::move(handler)), Port(freePort()) { up(); }
  [[nodiscard]] int port() const { return Port; }
  void up() {
    const std::lock_guard hold(Lock);
    if (Fd >= 0)
      return;
    for (int n = 0; n < 200 && (Fd = listenOn(Port)) < 0; ++n)
      sleepMs(10);
    std::thread([this, fd = Fd] { accept(fd); }).detach();
  }
  /// Refuses connections and resets the open ones.
  void down() {
    const std::lock_guard hold(Lock);
    if (Fd < 0)
      return;
    ::shutdown(Fd, SHUT_RDWR);
    ::close(std::exchange(Fd, -1));
    for (const int it : Open)
      ::shutdown(it, SHUT_RDWR);
  }

private:
  void accept(int listenFd) {
    for (;;) {
      const int fd = ::accept4(listenFd, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0)
        return;
      noDelay(fd);
      {
        const std::lock_guard hold(Lock);
        Open.insert(fd);
      }
      std::thread([this, fd] { serve(fd); }).detach();
    }
  }
  static std::string decode(const std::string &text) {
    std::string out;
    for (std::size_t n = 0; n < text.size(); ++n)
      if (text[n] == '%' && n + 2 < text.size()) {
        out += static_cast<char>(std::stoi(text.substr(n + 1, 2), nullptr, 16));
        n += 2;
      } else {
        out += text[n];
      }
    return out;
  }
  void serve(int fd) {
    LineSocket in(fd);
    std::string line;
    bool hard = false, first = true;
    while (in.read(line)) {
      HttpRequest request;
      request.FirstOnConnection = std::exchange(first, false);
      request.Method = takeWord(line);
      auto target = takeWord(line);
      if (const auto mark = target.find('?'); mark != std::string::npos) {
        std::istringstream query(target.substr(mark + 1));
        for (std::string one; std::getline(query, one, '&');)
          if (const auto eq = one.find('='); eq != std::string::npos)
            request.Query[one.substr(0, eq)] = decode(one.substr(eq + 1));
        target.resize(mark);
      }
      request.Path = decode(target);
      while (in.read(line) && !line.empty()) {
        const auto colon = line.find(':');
        auto name = line.substr(0, colon);
        for (auto &it : name)
          it = static_cast<char>(std::tolower(static_cast<unsigned char>(it)));
        auto value = colon == std::string::npos ? std::string() : line.substr(colon + 1);
        value.erase(0, value.find_first_not_of(' '));
        request.Headers[name] = value;
      }
      const auto length =
          request.Headers.contains("content-length") ? std::stoul(request.Headers["content-length"]) : 0;
      if (length > 0 && !in.readBytes(length, request.Body))
        break;
      const auto reply = Handle(request);
      if (reply.Status == 0) {
        hard = true;
        break;
      }
      if (!sendAll(fd, "HTTP/1.1 " + std::to_string(reply.Status) +
                           " X\r\nContent-Type: application/json\r\nContent-Length: " +
                           std::to_string(reply.Body.size()) + "\r\n\r\n" + reply.Body))
        break;
    }
    const std::lock_guard hold(Lock);
    Open.erase(fd);
    if (hard)
      resetClose(fd);
    else
      ::close(fd);
  }

  Handler Handle;
  int Port, Fd = -1;
  std::mutex Lock;
  std::set<int> Open;
};

// ---- the store

class Store {
public:
  Store() : Front([this](const HttpRequest &it) { return handle(it); }) {}
  [[nodiscard]] int port() const { return Front.port(); }
  void write(const std::string &kind, const std::string &name, const Json &spec) {
    const std::lock_guard hold(Lock);
    auto &object = Kinds[kind][name];
    if (object.contains("spec") && object["spec"] == spec)
      return;
    store(kind, name, object, spec);
  }
  void remove(const std::string &kind, const std::string &name) {
    const std::lock_guard hold(Lock);
    erase(kind, name);
  }
  /// The next deletion of this object gets no answer and is carried out this much later.
  void delayDeletion(const std::string &name, Ms ms, Record &record) {
    const std::lock_guard hold(Lock);
    DelayedName = name;
    DelayMs = ms;
    Log = &record;
  }
  bool has(const std::string &kind, const std::string &name) {
    const std::lock_guard hold(Lock);
    return Kinds[kind].contains(name);
  }

private:
  struct Event {
    std::uint64_t Revision;
    std::string Kind;
    Json Object;
    bool Deleted;
  };
  static constexpr double AnswerMs = 4;
  void store(const std::string &kind, const std::string &name, Json &object, const Json &spec) {
    ++Revision;
    if (!object.contains("meta"))
      object = {{"meta",
                 {{"name", name},
                  {"created", Revision},
                  {"finalizers", Json::array()},
                  {"deletionPending", false}}},
                {"status", Json::object()}};
    object["meta"]["revision"] = Revision;
    object["spec"] = spec;
    Events.push_back({Revision, kind, object, false});
    Changed.notify_all();
  }
  bool erase(const std::string &kind, const std::string &name) {
    auto &all = Kinds[kind];
    const auto it = all.find(name);
    if (it == all.end())
      return false;
    ++Revision;
    Events.push_back({Revision, kind, it->second, true});
    all.erase(it);
    Changed.notify_all();
    return true;
  }
  HttpReply handle(const HttpRequest &request) {
    sleepMs(AnswerMs);
    const std::string root = "/-/objects/";
    if (request.Path.rfind(root, 0) != 0)
      return {404, "{}"};
    auto kind = request.Path.substr(root.size());
    std::string name;
    if (const auto slash = kind.find('/'); slash != std::string::npos) {
      name = kind.substr(slash + 1);
      kind.resize(slash);
    }
    std::unique_lock hold(Lock);
    if (request.Method == "GET" && request.Query.contains("watch"))
      return watch(hold, kind, request);
    if (request.Method == "GET" && name.empty())
      return list(kind, request);
    auto &all = Kinds[kind];
    if (request.Method == "GET")
      return all.contains(name) ? HttpReply{200, all[name].dump()} : HttpReply{404, "{}"};
    if (request.Method == "DELETE" && !name.empty() && name == DelayedName) {
      DelayedName.clear();
      Log->line("DELETE of " + kind + "/" + name + ": no answer, carried out " + std::to_string(DelayMs) +
                " ms later");
      std::thread([this, kind, name] {
        sleepMs(static_cast<double>(DelayMs));
        const std::lock_guard late(Lock);
        Log->line("carried out late: DELETE of " + kind + "/" + name +
                  (erase(kind, name) ? "" : ": not there"));
      }).detach();
      hold.unlock();
      sleepMs(1'000);
      return {0, ""};
    }
    if (request.Method == "DELETE")
      return erase(kind, name) ? HttpReply{200, "{}"} : HttpReply{404, "{}"};
    const auto body = Json::parse(request.Body);
    if (request.Method == "POST") {
      name = body.at("meta").at("name").get<std::string>();
      if (all.contains(name))
        return {409, all[name].dump()};
      store(kind, name, all[name], body.at("spec"));
      return {201, all[name].dump()};
    }
    if (!all.contains(name))
      return {404, "{}"};
    if (body.at("meta").contains("revision") && body["meta"]["revision"] != all[name]["meta"]["revision"])
      return {409, all[name].dump()};
    if (all[name]["spec"] != body.at("spec"))
      store(kind, name, all[name], body["spec"]);
    return {200, all[name].dump()};
  }
  HttpReply list(const std::string &kind, const HttpRequest &request) {
    Json out = {{"items", Json::array()}, {"hasMore", false}, {"storeRevision", Revision}};
    const auto after = request.Query.contains("after") ? request.Query.at("after") : std::string();
    for (const auto &[name, object] : Kinds[kind])
      if (name > after)
        out["items"].push_back(object);
    return {200, out.dump()};
  }
  HttpReply watch(std::unique_lock<std::mutex> &hold, const std::string &kind, const HttpRequest &request) {
    const auto from = std::stoull(request.Query.at("watch"));
    const auto wait = request.Query.contains("waitMs") ? std::stoll(request.Query.at("waitMs")) : 0;
    const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(wait);
    for (;;) {
      Json events = Json::array();
      for (const auto &it : Events)
        if (it.Revision > from && it.Kind == kind)
          events.push_back({{"object", it.Object}, {"deleted", it.Deleted}});
      if (!events.empty() || std::chrono::steady_clock::now() >= until)
        return {200, Json{{"events", events}, {"storeRevision", Revision}}.dump()};
      Changed.wait_until(hold, until);
    }
  }

  std::mutex Lock;
  std::condition_variable Changed;
  std::map<std::string, std::map<std::string, Json>> Kinds;
  std::deque<Event> Events;
  std::uint64_t Revision = 100;
  std::string DelayedName;
  Ms DelayMs = 0;
  Record *Log = nullptr;
  HttpServer Front;
};

// ---- database servers

struct Commit {
  std::string Id; ///< Of the statement that commits.
  Ms At = 0;
};

struct Server {
  std::string Id, Zone;
  int Port = 0, ListenFd = -1;
  bool Up = false, Leads = false, Draining = false;
  std::uint64_t Term = 3;
  std::uint64_t Held = 0;   ///< Receives nothing while this is set.
  double ReceivesSince = 0; ///< When it was last found not to receive.
  double LinkMs = 1;        ///< From the primary to this one.
  std::size_t Received = 0;
  double WorkMs = 3;
  Ms Born = 0;
  std::uint64_t Sequence = 0;
  std::set<int> Fds;
  std::uint64_t Incarnation = 0;
};

/// What the world's clients expect of a statement, and who wants to know what ran.
struct Expectations {
  std::mutex Lock;
  std::map<std::string, std::map<std::string, std::string>> Values; ///< Session values by statement id.
  std::set<std::string> Succeeded;                                  ///< Commits that a client was told of.
  void expect(const std::string &id, const std::map<std::string, std::string> &values) {
    const std::lock_guard hold(Lock);
    Values[id] = values;
  }
};

class Service {
public:
  Service(std::string name, const std::vector<std::pair<std::string, double>> &zones, Store &store,
          Record &record, Expectations &expected, double clientLinkMs, Ms promoteMs)
      : Name(std::move(name)), Objects(store), Log(record), Expected(expected), ClientLinkMs(clientLinkMs),
        PromoteMs(promoteMs) {
    for (const auto &[zone, ms] : zones) {
      auto one = std::make_unique<Server>();
      one->Zone = zone;
      one->LinkMs = ms;
      one->Port = freePort();
      one->Leads = Servers.empty();
      Servers.push_back(std::move(one));
    }
    for (auto &it : Servers)
      start(*it, true);
    std::thread([this] { beats(); }).detach();
  }

  [[nodiscard]] const std::string &name() const { return Name; }
  std::size_t primary() {
    const std::lock_guard hold(Lock);
    for (std::size_t n = 0; n < Servers.size(); ++n)
      if (Servers[n]->Leads)
        return n;
    return Servers.size();
  }
  std::string idOf(std::size_t n) {
    const std::lock_guard hold(Lock);
    return Servers.at(n)->Id;
  }

  /// The server ends without notice and starts again with its log.
  void crash(std::size_t n, Ms downMs) {
    Log.line("server " + idOf(n) + " of " + Name + " crashes as " + (leads(n) ? "primary" : "replica"));
    takeDown(n);
    std::thread([this, n, downMs] {
      sleepMs(static_cast<double>(downMs));
      start(*Servers.at(n), false);
      Log.line("server " + idOf(n) + " of " + Name + " is back as " + (leads(n) ? "primary" : "replica"));
    }).detach();
  }
  /// The same; it starts again when a replica is told to resume, or after the longest time.
  void crashUntilResumed(std::size_t n, Ms longestMs) {
    Log.line("server " + idOf(n) + " of " + Name + " crashes as " + (leads(n) ? "primary" : "replica"));
    takeDown(n);
    const auto from = nowMs();
    ResumedAt = 0;
    std::thread([this, n, from, longestMs] {
      while (ResumedAt == 0 && nowMs() - from < longestMs)
        sleepMs(2);
      start(*Servers.at(n), false);
      Log.line("server " + idOf(n) + " of " + Name + " is back after " + std::to_string(nowMs() - from) +
               " ms as " + (leads(n) ? "primary" : "replica"));
    }).detach();
  }
  /// Planned: the server reports that it drains, and ends drainMs and a little later. Its log is transferred
  /// to a new server at its address.
  void release(std::size_t n, Ms drainMs) {
    {
      const std::lock_guard hold(Lock);
      Servers.at(n)->Draining = true;
    }
    Log.line("server " + idOf(n) + " of " + Name + " drains as " + (leads(n) ? "primary" : "replica"));
    beat(*Servers.at(n));
    std::thread([this, n, drainMs] {
      sleepMs(static_cast<double>(drainMs) + 1'000);
      takeDown(n);
      Objects.remove("servers", idOf(n));
      Log.line("server " + idOf(n) + " of " + Name + " ended");
      sleepMs(300);
      start(*Servers.at(n), true);
      Log.line("server " + idOf(n) + " of " + Name + " starts");
    }).detach();
  }
  /// The present primary and its replicas do not reach each other for this long. Proxies reach all of them.
  void cutFromReplicas(Ms ms) {
    const auto n = primary();
    Log.line("the primary " + idOf(n) + " of " + Name + " is partitioned from its replicas");
    {
      const std::lock_guard hold(Lock);
      sync();
      Cut = Servers.at(n).get();
    }
    std::thread([this, ms] {
      sleepMs(static_cast<double>(ms));
      const std::lock_guard hold(Lock);
      Cut = nullptr;
      Log.line("the partition in " + Name + " has healed");
    }).detach();
  }

  /// The platform carries a promotion out now: it takes effect promoteMs later.
  /// \return The HTTP status.
  int promote(const std::string &id, std::uint64_t token) {
    {
      const std::lock_guard hold(Lock);
      if (token < LastToken)
        return 409;
      const auto *it = find(id);
      if (!it || !it->Up)
        return 409;
      LastToken = token;
      if (it->Leads)
        return 200;
    }
    std::thread([this, id, token] {
      sleepMs(static_cast<double>(PromoteMs));
      lead(id, token);
    }).detach();
    return 200;
  }
  /// Statements that ran with other session values than their clients' ones.
  std::vector<std::string> pinned() {
    const std::lock_guard hold(Lock);
    return Pinned;
  }
  std::size_t promotions() {
    const std::lock_guard hold(Lock);
    return Promotions;
  }
  std::size_t runs() {
    const std::lock_guard hold(Lock);
    return Runs;
  }
  /// Commits that were rolled back by a promotion. A client may hear of their success a little later.
  std::vector<std::string> lostOf(const std::set<std::string> &succeeded) {
    const std::lock_guard hold(Lock);
    std::vector<std::string> out;
    for (const auto &it : RolledBack)
      if (succeeded.contains(it))
        out.push_back(it);
    return out;
  }

private:
  Server *find(const std::string &id) {
    for (auto &it : Servers)
      if (it->Id == id)
        return it.get();
    return nullptr;
  }
  bool leads(std::size_t n) {
    const std::lock_guard hold(Lock);
    return Servers.at(n)->Leads;
  }
  void lead(const std::string &id, std::uint64_t token) {
    const std::lock_guard hold(Lock);
    sync();
    auto *next = find(id);
    if (!next || !next->Up || next->Leads || token < LastToken)
      return;
    std::uint64_t term = 0;
    for (auto &it : Servers) {
      term = std::max(term, it->Term);
      it->Leads = false;
    }
    for (auto n = next->Received; n < Commits.size(); ++n)
      RolledBack.push_back(Commits[n].Id);
    Log.line("server " + id + " of " + Name + " leads term " + std::to_string(term + 1) + " by token " +
             std::to_string(token) + ", end of its log " + std::to_string(next->Received) + " of " +
             std::to_string(Commits.size()) + " commits");
    Commits.resize(next->Received);
    for (auto &it : Servers)
      it->Received = std::min(it->Received, Commits.size());
    // A promote ends the pauses.
    for (auto &it : Servers)
      it->Held = 0;
    next->Leads = true;
    next->Term = term + 1;
    TermNow = term + 1;
    ++Promotions;
    std::thread([this, next] { beat(*next); }).detach();
    for (auto &it : Servers)
      if (it.get() != next && it->Up)
        std::thread([this, one = it.get()] { beat(*one); }).detach();
  }
  /// Lets the replicas receive what has reached them by now. The lock is held.
  void sync() {
    const auto now = Clock();
    for (auto &it : Servers)
      if (it->Leads)
        Source = it.get();
    if (!Source)
      return;
    if (Source->Leads && Source->Up)
      Source->Received = Commits.size();
    // What was sent before the primary ended still arrives, but not at a replica that did not receive then.
    for (auto &it : Servers) {
      if (it.get() == Source)
        continue;
      if (!it->Up || it->Held > 0 || Cut == Source || Cut == it.get()) {
        it->ReceivesSince = now;
        continue;
      }
      it->Term = Source->Term;
      while (it->Received < Commits.size()) {
        const auto arrival = Times[Commits[it->Received].Id] + it->LinkMs;
        if (arrival > now || (!Source->Up && arrival < it->ReceivesSince))
          break;
        ++it->Received;
      }
    }
  }
  static double Clock() {
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now().time_since_epoch())
        .count();
  }

  void start(Server &server, bool newId) {
    int fd = -1;
    for (int n = 0; n < 500 && (fd = listenOn(server.Port)) < 0; ++n)
      sleepMs(10);
    std::uint64_t incarnation = 0;
    {
      const std::lock_guard hold(Lock);
      if (newId)
        server.Id = "i-" + Name + "-" + std::to_string(++Ids);
      server.ListenFd = fd;
      server.Up = true;
      server.Draining = false;
      server.Held = 0;
      server.Born = unixMs();
      server.Sequence = 0;
      incarnation = ++server.Incarnation;
      if (!server.Leads)
        server.Received = std::min(server.Received, Commits.size());
    }
    std::thread([this, &server, fd, incarnation] { accept(server, fd, incarnation); }).detach();
    beat(server);
  }
  void takeDown(std::size_t n) {
    const std::lock_guard hold(Lock);
    auto &server = *Servers.at(n);
    sync();
    server.Up = false;
    ::shutdown(server.ListenFd, SHUT_RDWR);
    ::close(server.ListenFd);
    for (const int fd : server.Fds)
      ::shutdown(fd, SHUT_RDWR);
  }
  void beat(Server &server) {
    Json spec;
    std::string id;
    {
      const std::lock_guard hold(Lock);
      if (!server.Up)
        return;
      id = server.Id;
      spec = {{"service", Name},
              {"address", "127.0.0.1:" + std::to_string(server.Port)},
              {"zone", server.Zone},
              {"version", "v1"},
              {"capacity", 3},
              {"state", server.Draining ? "draining" : "ready"},
              {"warmupLeftMs", 0},
              {"dbRole", server.Leads ? "primary" : "replica"},
              {"sequence", ++server.Sequence},
              {"born", server.Born}};
      LastBeat[id] = nowMs();
    }
    Objects.write("servers", id, spec);
  }
  /// Heartbeats, and the removal of entries after three intervals of silence.
  void beats() {
    constexpr Ms Interval = 1'200;
    for (;; sleepMs(100)) {
      std::vector<Server *> due;
      std::vector<std::string> silent;
      {
        const std::lock_guard hold(Lock);
        for (auto &it : Servers)
          if (it->Up && nowMs() - LastBeat[it->Id] >= Interval)
            due.push_back(it.get());
        for (auto &[id, at] : LastBeat)
          if (nowMs() - at >= 3 * Interval)
            silent.push_back(id);
      }
      for (auto *it : due)
        beat(*it);
      for (const auto &it : silent)
        Objects.remove("servers", it);
    }
  }
  void accept(Server &server, int listenFd, std::uint64_t incarnation) {
    for (;;) {
      const int fd = ::accept4(listenFd, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0)
        return;
      noDelay(fd);
      {
        const std::lock_guard hold(Lock);
        if (!server.Up || server.Incarnation != incarnation) {
          ::close(fd);
          return;
        }
        server.Fds.insert(fd);
      }
      std::thread([this, &server, fd, incarnation] {
        serve(server, fd, incarnation);
        const std::lock_guard hold(Lock);
        server.Fds.erase(fd);
        ::close(fd);
      }).detach();
    }
  }

  struct Link {
    char State = 'I';
    bool ReadOnly = false;
    std::uint64_t Term = 0; ///< Of the lead under which a plain transaction began.
    bool Wrote = false;
    std::map<std::string, std::string> Values, Prepared;
  };
  [[nodiscard]] bool present(const Server &server, std::uint64_t incarnation) {
    const std::lock_guard hold(Lock);
    return server.Up && server.Incarnation == incarnation;
  }
  std::string ready(const Server &server, char state) {
    const std::lock_guard hold(Lock);
    sync();
    return std::string("READY ") + state + " " + std::to_string(server.Term) + "." +
           std::to_string(1000 + server.Received) + "\r\n";
  }
  void serve(Server &server, int fd, std::uint64_t incarnation) {
    LineSocket in(fd);
    std::string line;
    if (!in.read(line))
      return;
    auto rest = line;
    takeWord(rest);
    const auto service = takeWord(rest);
    takeWord(rest);
    const auto id = takeWord(rest);
    std::string ours;
    {
      const std::lock_guard hold(Lock);
      ours = server.Id;
    }
    if (service != Name || (!id.empty() && id != ours)) {
      sendAll(fd, "ERROR MISROUTED " + ours + "\r\n");
      return;
    }
    sleepMs(12);
    Link link;
    if (!present(server, incarnation) || !sendAll(fd, ready(server, 'I')))
      return;
    while (in.read(line) && present(server, incarnation)) {
      sleepMs(ClientLinkMs);
      rest = line;
      if (takeWord(rest) != "QUERY")
        return;
      const auto statement = takeWord(rest);
      const auto reply = run(server, incarnation, link, statement, rest);
      sleepMs(ClientLinkMs);
      if (reply.empty() || !present(server, incarnation) || !sendAll(fd, reply + ready(server, link.State)))
        return;
    }
  }
  std::string refuse(const Server &server, Link &link, const std::string &code) {
    if (link.State == 'T')
      link.State = 'E';
    const std::lock_guard hold(Lock);
    return "ERROR " + code + " " + server.Id + "\r\n";
  }
  std::string statusRow(const Server &server) {
    const std::lock_guard hold(Lock);
    sync();
    return std::string("ROW ") + (server.Leads ? "primary " : "replica ") + std::to_string(server.Term) +
           " " + std::to_string(server.Term) + "." + std::to_string(1000 + server.Received) + " " +
           std::to_string(server.Held) + " 0 0 " + std::to_string(server.Fds.size()) + "\r\nCOMPLETE -\r\n";
  }
  std::string run(Server &server, std::uint64_t incarnation, Link &link, const std::string &id,
                  std::string text) {
    auto word = takeWord(text);
    if (word == "STATUS")
      return statusRow(server);
    if (word == "PAUSE" || word == "RESUME" || word == "STEPDOWN") {
      const auto term = text.empty() ? 0 : std::stoull(text);
      Log.line("order " + word + " " + text + " at " + server.Id);
      {
        const std::lock_guard hold(Lock);
        sync();
        if (word == "PAUSE" && !server.Leads && term > TermNow)
          server.Held = term;
        if (word == "RESUME") {
          server.Held = 0;
          ResumedAt = nowMs();
        }
        if (word == "STEPDOWN" && server.Leads && term > server.Term)
          server.Leads = false;
      }
      if (word == "STEPDOWN")
        beat(server);
      return statusRow(server);
    }
    if (word == "ROLLBACK") {
      link.State = 'I';
      link.Wrote = false;
      return "COMPLETE -\r\n";
    }
    if (link.State == 'E')
      return word == "COMMIT" ? (link.State = 'I', "ERROR ABORTED rolled back\r\n")
                              : std::string("ERROR MALFORMED the transaction has failed\r\n");
    bool lacks = false;
    if (word == "AFTERLSN") {
      const auto at = takeWord(text);
      const auto dot = at.find('.');
      const std::lock_guard hold(Lock);
      sync();
      lacks = std::pair<std::uint64_t, std::uint64_t>(server.Term, 1000 + server.Received) <
              std::pair<std::uint64_t, std::uint64_t>(std::stoull(at), std::stoull(at.substr(dot + 1)));
      word = takeWord(text);
    }
    if (lacks)
      return refuse(server, link, "LAGGING");
    bool leadsNow = false;
    std::uint64_t term = 0;
    {
      const std::lock_guard hold(Lock);
      leadsNow = server.Leads;
      term = server.Term;
    }
    if (word == "BEGIN") {
      link.ReadOnly = text == "READ";
      if (!link.ReadOnly && !leadsNow)
        return refuse(server, link, "READONLY");
      link.State = 'T';
      link.Term = term;
      link.Wrote = false;
      return "COMPLETE -\r\n";
    }
    // Any statement of a plain transaction whose server has lost the lead.
    const bool lostLead = link.State == 'T' && !link.ReadOnly && (!leadsNow || term != link.Term);
    if (lostLead && !(word == "COMMIT" && !link.Wrote))
      return refuse(server, link, "READONLY");
    if (word == "SET") {
      const auto name = takeWord(text);
      link.Values[name] = text;
      return "COMPLETE -\r\n";
    }
    if (word == "DISCARD") {
      link.Values.clear();
      link.Prepared.clear();
      return "COMPLETE -\r\n";
    }
    if (word == "PREPARE") {
      const auto name = takeWord(text);
      link.Prepared[name] = takeWord(text);
      return "COMPLETE -\r\n";
    }
    if (word == "EXECUTE") {
      const auto it = link.Prepared.find(takeWord(text));
      if (it == link.Prepared.end())
        return refuse(server, link, "NOSTMT");
      word = it->second;
    }
    if (word == "WRITE" && (!leadsNow || link.ReadOnly))
      return refuse(server, link, "READONLY");
    checkValues(server, link, id, word + " " + text);
    sleepMs(server.WorkMs);
    const std::string done = "COMPLETE s" + std::to_string(++Signatures) + "\r\n";
    if (word == "READ")
      return "ROW v" + text + "\r\n" + done;
    if (word == "WRITE" && link.State == 'T') {
      link.Wrote = true;
      return done;
    }
    if (word == "COMMIT") {
      link.State = 'I';
      if (!link.Wrote)
        return done;
    } else if (word != "WRITE") {
      return "ERROR MALFORMED unknown statement\r\n";
    }
    return commit(server, incarnation, term, id) ? done : std::string();
  }
  void checkValues(const Server &server, const Link &link, const std::string &id, const std::string &text) {
    std::map<std::string, std::string> wanted;
    {
      const std::lock_guard hold(Expected.Lock);
      const auto it = Expected.Values.find(id);
      if (it == Expected.Values.end())
        return;
      wanted = it->second;
    }
    const std::lock_guard hold(Lock);
    ++Runs;
    if (wanted == link.Values)
      return;
    Pinned.push_back(id);
    Log.line("PINNED: server " + server.Id + " runs " + id + " " + text + " with the session values " +
             Json(link.Values).dump() + ", its client's are " + Json(wanted).dump());
  }
  /// Appends a commit and waits until a replica has received it. False if it cannot be acknowledged.
  bool commit(Server &server, std::uint64_t incarnation, std::uint64_t term, const std::string &id) {
    {
      const std::lock_guard hold(Lock);
      if (!server.Up || !server.Leads || server.Term != term)
        return false;
      sync();
      Commits.push_back({id, nowMs()});
      Times[id] = Clock();
    }
    for (;; sleepMs(0.3)) {
      const std::lock_guard hold(Lock);
      if (!server.Up || server.Incarnation != incarnation)
        return false;
      if (!server.Leads || server.Term != term)
        return false;
      sync();
      for (auto &it : Servers) {
        if (it.get() == &server || !it->Up)
          continue;
        for (auto n = it->Received; n > 0; --n)
          if (Commits[n - 1].Id == id)
            return true;
          else if (Times[Commits[n - 1].Id] < Times[id])
            break;
      }
    }
  }

  std::string Name;
  Store &Objects;
  Record &Log;
  Expectations &Expected;
  double ClientLinkMs;
  Ms PromoteMs;
  std::mutex Lock;
  std::vector<std::unique_ptr<Server>> Servers;
  std::vector<Commit> Commits;
  std::map<std::string, double> Times;
  std::map<std::string, Ms> LastBeat;
  std::uint64_t LastToken = 0, TermNow = 3, Ids = 0;
  std::atomic<std::uint64_t> Signatures{0};
  std::atomic<Ms> ResumedAt{0}; ///< When a server was last told to resume.
  Server *Cut = nullptr;        ///< Partitioned from the other servers.
  Server *Source = nullptr;     ///< Leads, or led last.
  std::vector<std::string> Pinned, RolledBack;
  std::size_t Promotions = 0, Runs = 0;
};

// ---- proxies

struct Proxy {
  std::string Node, Zone;
  int Callers = freePort(), Admin = freePort(), Peers = freePort(), Metrics = freePort();
  pid_t Pid = -1;
};

class Fleet {
public:
  Fleet(std::string program, std::string folder) : Program(std::move(program)), Folder(std::move(folder)) {}
  ~Fleet() { endAll(); }
  Proxy &add(const std::string &node, const std::string &zone) {
    Proxies.push_back(std::make_unique<Proxy>());
    Proxies.back()->Node = node;
    Proxies.back()->Zone = zone;
    return *Proxies.back();
  }
  void start(Proxy &it, int storePort, int dutyPort, const std::vector<std::string> &zones, bool first) {
    const auto file = Folder + "/" + it.Node + ".yaml";
    std::ofstream out(file);
    out << "node: " << it.Node << "\nregion: " << it.Zone.substr(0, it.Zone.find('-'))
        << "\navailability_zone: " << it.Zone
        << "\ninterface: sessions\naddresses:\n  callers: 127.0.0.1:" << it.Callers
        << "\n  peers: 127.0.0.1:" << it.Peers << "\n  admin: 127.0.0.1:" << it.Admin
        << "\n  metrics: 127.0.0.1:" << it.Metrics << "\nplatform: http://127.0.0.1:" << storePort
        << "\nduties: http://127.0.0.1:" << dutyPort
        << "\nshutdown_grace_s: 6\npromotion_fencing: true\nfirst_start: " << (first ? "true" : "false")
        << "\npropagation_ms: 3000\nstrict_revocation: \nrevocation_ms: \nquota_window_s: \nquota_overshoot: "
           "\n"
           "quota_slack: \ntarget_pace: \nmemory_mb: 260\nmax_descriptors: 4300\nregions:\n";
    for (const auto &zone : zones)
      out << "  " << zone << ": " << zone.substr(0, zone.find('-')) << "\n";
    out << "log:\n  format: key_value\n  level: info\n";
    out.close();
    const auto log = Folder + "/" + it.Node + ".log";
    const auto parent = ::getpid();
    it.Pid = ::fork();
    if (it.Pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (::getppid() != parent)
        ::_exit(1);
      const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(fd, 1);
      ::dup2(fd, 2);
      ::execl(Program.c_str(), "rosemaryhinge-platformd", "--settings", file.c_str(), nullptr);
      ::_exit(127);
    }
  }
  static bool ready(const Proxy &it) {
    const int fd = connectTo(it.Admin);
    if (fd < 0)
      return false;
    sendAll(fd, "GET /readyz HTTP/1.1\r\nHost: proxy\r\n\r\n");
    LineSocket in(fd);
    std::string line;
    const bool ok = in.read(line, 500) && line.find(" 200") != std::string::npos;
    ::close(fd);
    return ok;
  }
  bool awaitReady(Ms timeout) {
    const auto until = nowMs() + timeout;
    for (;; sleepMs(50)) {
      bool all = true;
      for (const auto &it : Proxies)
        all = all && ready(*it);
      if (all || nowMs() >= until)
        return all;
    }
  }
  void endAll() {
    for (auto &it : Proxies)
      if (it->Pid > 0) {
        ::kill(it->Pid, SIGKILL);
        ::waitpid(it->Pid, nullptr, 0);
        it->Pid = -1;
      }
  }
  std::vector<std::unique_ptr<Proxy>> Proxies;

private:
  std::string Program, Folder;
};

// ---- clients

struct Answer {
  bool Answered = false; ///< Whole, with its READY.
  bool Ok = false;
  std::string Code, Text, State;
};

class Client {
public:
  ~Client() { leave(); }
  bool open(int port, const std::string &database) {
    leave();
    Fd = connectTo(port);
    if (Fd < 0)
      return false;
    In = std::make_unique<LineSocket>(Fd);
    std::string line;
    if (!sendAll(Fd, "STARTUP " + database + " u1\r\n") || !In->read(line, 2'000) ||
        line.rfind("READY", 0) != 0) {
      leave();
      return false;
    }
    return true;
  }
  void leave() {
    if (Fd >= 0)
      ::close(std::exchange(Fd, -1));
  }
  bool send(const std::string &id, const std::string &text) {
    return Fd >= 0 && sendAll(Fd, "QUERY " + id + " " + text + "\r\n");
  }
  Answer query(const std::string &id, const std::string &text, Ms timeout = 4'000) {
    Answer out;
    if (!send(id, text))
      return out;
    std::string line;
    while (In->read(line, timeout)) {
      auto rest = line;
      const auto word = takeWord(rest);
      if (word == "COMPLETE")
        out.Ok = true;
      else if (word == "ERROR") {
        out.Code = takeWord(rest);
        out.Text = rest;
      } else if (word == "READY") {
        out.Answered = true;
        out.State = takeWord(rest);
        return out;
      }
    }
    out.Ok = false;
    leave();
    return out;
  }
  [[nodiscard]] bool isOpen() const { return Fd >= 0; }

private:
  int Fd = -1;
  std::unique_ptr<LineSocket> In;
};

inline std::string newId() {
  static std::atomic<std::uint64_t> last{0};
  static const auto seed = std::random_device{}();
  char buf[40];
  std::snprintf(buf, sizeof buf, "%08x%08llx", static_cast<unsigned>(seed),
                static_cast<unsigned long long>(++last));
  return buf;
}

inline Json route(const std::string &name, const std::string &host, const std::string &service,
                  const std::string &kind, int timeoutMs, int maxStalenessMs) {
  return {{"name", name},           {"host", host},
          {"service", service},     {"kind", kind},
          {"timeoutMs", timeoutMs}, {"targetLatencyMs", 800},
          {"priority", 1},          {"maxStalenessMs", maxStalenessMs}};
}

} // namespace review2
