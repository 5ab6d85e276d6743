// A small deployment on loopback for the review's cases: the platform's store, its duty address, database
// servers, and the proxies as separate processes. It follows PROTOCOL.md; where that page is silent it acts like a
// sound server or platform.

#pragma once

#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

/// Milliseconds since the start of the program.
std::int64_t nowMs();
void sleepMs(std::int64_t ms);

/// Writes record.txt: one line for what was sent, answered, run, or done to a process.
class Record {
public:
  explicit Record(const std::string &file) : Out(file) {}
  void line(const std::string &text);

private:
  std::mutex Lock;
  std::ofstream Out;
};

// Sockets on 127.0.0.1. All return -1 or false on failure.
int listenOn(int port);
int portOf(int fd);
int freePort();
/// Ports that were given out are kept from other programs until then.
void releasePort(int port);
void releasePorts();
int connectTo(int port, int timeoutMs = 2'000);
bool sendAll(int fd, const std::string &bytes);
/// Ends a connection with a reset, like the end of a process with unread data.
void resetAndClose(int fd);

class LineSocket {
public:
  explicit LineSocket(int fd) : Fd(fd) {}
  /// Reads up to CR LF. False at the end of the connection or after the time.
  bool read(std::string &line, int timeoutMs = -1);
  /// Whether the last read failed because of the time.
  bool TimedOut = false;
  int Fd;

private:
  std::string Buf;
};

struct HttpRequest {
  std::string Method, Path, Body;
  std::map<std::string, std::string> Query, Headers;
};
struct HttpReply {
  int Status = 200;
  std::string Body = "{}";
};

class HttpServer {
public:
  using Handler = std::function<HttpReply(const HttpRequest &)>;
  explicit HttpServer(Handler handler);
  [[nodiscard]] int port() const { return Port; }

private:
  void serve(int fd);
  Handler Handle;
  int Fd, Port;
};

/// The platform's store: objects by kind and name, one revision counter, watches.
class Store {
public:
  explicit Store(int proxies);
  /// Each proxy has an address of its own, so that the cases can tell the proxies apart.
  [[nodiscard]] int port(int proxy) const { return Fronts[static_cast<std::size_t>(proxy)]->port(); }
  /// The addresses under which the proxies reach a server, by proxy. The first one is in the server's entry.
  void setAddresses(const std::vector<std::string> &addresses);
  /// Writes like the operator or a server. Returns the new revision.
  std::uint64_t write(const std::string &kind, const std::string &name, const Json &spec);
  void remove(const std::string &kind, const std::string &name);

private:
  HttpReply handle(const HttpRequest &request, int proxy);
  /// The object as a proxy sees it. Lock is held.
  [[nodiscard]] Json seen(Json object, int proxy) const;
  HttpReply list(const std::string &kind, const HttpRequest &request, int proxy);
  HttpReply watch(const std::string &kind, const HttpRequest &request, int proxy);
  HttpReply put(const std::string &kind, std::string name, const HttpRequest &request);
  void changed(const std::string &kind, const Json &object, bool deleted);
  /// Lock is held.
  const Json &writeLocked(const std::string &kind, const std::string &name, const Json &spec);

  struct Event {
    std::uint64_t Revision;
    std::string Kind;
    Json Object;
    bool Deleted;
  };
  std::mutex Lock;
  std::condition_variable Changed;
  std::map<std::string, std::map<std::string, Json>> Objects;
  std::vector<Event> History;
  std::uint64_t Revision = 100;
  std::map<std::string, std::vector<std::string>> Addresses;
  std::vector<std::unique_ptr<HttpServer>> Fronts;
};

struct ServiceOptions {
  std::string Name;
  int Index = 0;
  int Proxies = 1;
  int WorkMs = 8;       ///< A read, a write or a commit occupies a slot for this time.
  int StatusMs = 8;     ///< A status query occupies a slot for this time.
  int Slots = 3;
  int MaxConns = 21;
  int HeartbeatMs = 1'200;
};

/// A service: one primary and two replicas, one in each zone. Commits are acknowledged once a replica has them.
class Service {
public:
  Service(ServiceOptions options, Store &store, Record &record);
  ~Service();
  [[nodiscard]] const std::string &name() const { return Options.Name; }
  [[nodiscard]] int primary() const { return Primary; }
  [[nodiscard]] std::string id(int n) const { return Servers[static_cast<std::size_t>(n)]->Id; }
  [[nodiscard]] const ServiceOptions &options() const { return Options; }
  /// The process of a server ends without notice: its connections are reset, and its address refuses.
  void crash(int n);
  /// It starts again with its log: as the primary if no other was promoted.
  void restart(int n);
  HttpReply promote(const std::string &id);
  /// A server and a proxy receive nothing from each other.
  void cut(int n, int proxy, bool on);
  /// Commits of a statement's writes.
  [[nodiscard]] std::map<std::string, int> commitCounts();
  /// Status queries that replicas have received and not answered yet.
  std::atomic<int> StatusOutstanding{0};
  std::atomic<int> PausedReplicas{0};
  /// Whether a server has run the statement.
  [[nodiscard]] bool ran(const std::string &statement);

private:
  struct Server {
    std::string Id, Zone;
    int Number = 0;
    std::vector<int> Ports, ListenFds; ///< By proxy.
    std::set<int> CutProxies;
    std::atomic<bool> Up{false};
    bool Leads = false;
    std::uint64_t Term = 3, Lsn = 1'200, Held = 0;
    int Busy = 0, Conns = 0;
    std::int64_t Born = 0;
    std::uint64_t Sequence = 0;
    std::set<int> Fds;
  };
  struct Session;
  void start(Server &server);
  void accept(Server &server, int listenFd, int proxy);
  void serve(Server &server, int fd, int proxy);
  /// Waits for the end of a cut. False if the server has gone meanwhile.
  bool passes(Server &server, int proxy);
  std::string run(Server &server, Session &session, const std::string &id, std::string text);
  std::string ready(Server &server, const Session &session);
  std::string statusRow(const Server &server);
  /// Waits for a slot, and holds it for the time.
  void work(Server &server, int ms);
  /// Commits the writes; false if it was not acknowledged.
  bool commit(Server &server, const std::string &id, const std::vector<std::string> &writes);
  void beat(Server &server);

  ServiceOptions Options;
  Store &Objects;
  Record &Out;
  std::mutex Lock;
  std::condition_variable SlotFree;
  std::vector<std::unique_ptr<Server>> Servers;
  std::atomic<int> Primary{0};
  std::map<std::string, std::string> Data;
  std::set<std::string> Ran;
  std::map<std::string, int> CommitsOf;
  void noteRun(const Server &server, const std::string &what, const std::string &id);
  std::atomic<std::uint64_t> Signature{0};
  std::atomic<bool> Stopping{false};
};

/// A proxy: the program of the deploy file as a process of its own. It is started again when it ends.
class Proxy {
public:
  Proxy(int number, const std::string &folder, const std::string &settings, Record &record);
  ~Proxy();
  void start();
  void signal(int number);
  /// Notices the end of the process. An end without a signal of ours counts as one of its own.
  void check();
  [[nodiscard]] bool isReady() const;
  [[nodiscard]] bool running() const { return Pid > 0; }
  [[nodiscard]] int port() const { return Callers; }
  [[nodiscard]] int number() const { return Number; }
  /// Whether it was asked to stop.
  bool Stopping = false;
  int OwnEnds = 0;
  int Callers = 0, Admin = 0;

private:
  int Number;
  std::string Folder, Settings;
  Record &Out;
  int Pid = -1;
};

struct FleetOptions {
  int Proxies = 3;
  int Services = 3;
  bool Fencing = false;
  int WorkMs = 8;
  int StatusMs = 8;
  int GraceS = 6;
};

/// The whole deployment. Service n has the databases "pN" (primary), "bN" (bounded staleness) and "rN" (read your
/// writes).
class Fleet {
public:
  Fleet(const FleetOptions &options, const std::string &folder, Record &record);
  /// Starts the proxies and waits until all are ready.
  bool start(int timeoutMs = 20'000);
  bool waitReady(int timeoutMs);

  Store Objects;
  std::vector<std::unique_ptr<Service>> Services;
  std::vector<std::unique_ptr<Proxy>> Proxies;

private:
  HttpReply duty(const HttpRequest &request);
  FleetOptions Options;
  std::string Folder;
  Record &Out;
  std::unique_ptr<HttpServer> Duties;
};

/// Ends the proxies with its scope.
struct ProxyEnd {
  Fleet &Of;
  ~ProxyEnd() { Of.Proxies.clear(); }
};

/// A client's session. Requests are sent one after the other.
class Client {
public:
  struct Answer {
    bool Complete = false;  ///< Up to its READY.
    bool TimedOut = false;
    std::string Error;      ///< Code; empty for a success.
    std::string Signature, State;
    std::vector<std::string> Rows;
  };
  Client(Record &record, std::string who) : Out(record), Who(std::move(who)) {}
  ~Client() { close(); }
  bool open(int port, const std::string &database, int timeoutMs = 2'000);
  Answer query(const std::string &text, int timeoutMs);
  void close();
  [[nodiscard]] bool isOpen() const { return Socket != nullptr; }
  std::string LastId;

private:
  Record &Out;
  std::string Who;
  std::unique_ptr<LineSocket> Socket;
};

} // namespace review
