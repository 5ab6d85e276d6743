// Tests of a whole daemon in a process of its own: signals, and requests around its end.

#include "daemon/daemon.h"
#include "daemon/logger.h"
#include "daemon/options.h"
#include "daemon/sessiondaemon.h"
#include "net/bootclock.h"
#include "net/tests/scriptedserver.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdio>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <optional>
#include <poll.h>
#include <stdexcept>
#include <string>
#include <string_view>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>

using namespace rosemaryhinge;
using asio::ip::tcp;
using Clock = std::chrono::steady_clock;

namespace {

constexpr std::chrono::seconds MaxWait{10};
constexpr int HarnessFailed = 99; ///< Exit status.

/// Answers each read after a while, and refuses what comes during the shutdown. Complete once nothing is in
/// flight.
class SlowReducer : public IReducer {
public:
  explicit SlowReducer(Duration readTime) : ReadTime(readTime) {}

  [[nodiscard]] Effects apply(const Event &event, TimePoint now) override {
    Effects out;
    if (const auto *request = std::get_if<RequestArrived>(&event)) {
      for (std::size_t n = 0; n < LinesPerRequest; ++n)
        out.push_back(Log{LogLevel::Info, "statement", {{"text", std::string(300, 'x')}}});
      if (Leaving)
        out.push_back(Respond{request->Request.Id, Refusal{RefusalReason::ShuttingDown, Ran::NotRun,
                                                           Duration{}, "this proxy is shutting down"}});
      else
        InFlight.emplace_back(now + ReadTime, request->Request.Id);
    }
    if (FailsOnShutdown && std::holds_alternative<ShutdownRequested>(event))
      throw std::runtime_error("test failure");
    Leaving = Leaving || std::holds_alternative<ShutdownRequested>(event);
    while (!InFlight.empty() && InFlight.front().first <= now) {
      out.push_back(Respond{InFlight.front().second, Success{}});
      InFlight.pop_front();
    }
    if (Leaving && InFlight.empty() && !std::exchange(Complete, true))
      out.push_back(ShutdownComplete{});
    return out;
  }
  [[nodiscard]] std::optional<TimePoint> nextTimer() const override {
    return InFlight.empty() ? std::nullopt : std::optional(InFlight.front().first);
  }
  [[nodiscard]] bool ready() const override { return true; }

  bool FailsOnShutdown = false;
  std::size_t LinesPerRequest = 0; ///< Log lines.

private:
  Duration ReadTime;
  std::deque<std::pair<TimePoint, RequestId>> InFlight;
  bool Leaving = false;
  bool Complete = false;
};

std::string platformAnswer(const std::string &request) {
  const std::string keys = R"({"current":"k","keys":{"k":"MDEyMzQ1Njc4OWFiY2RlZg=="}})";
  if (request.find("keys/session") == std::string::npos)
    return "HTTP/1.1 404 x\r\nContent-Length: 0\r\n\r\n";
  return "HTTP/1.1 200 x\r\nX-Version: 1\r\nContent-Length: " + std::to_string(keys.size()) + "\r\n\r\n" +
         keys;
}

/// Reads until the end of the stream, or until the text is complete; empty text after MaxWait.
std::string readUntil(int fd, const std::function<bool(const std::string &)> &complete) {
  std::string out;
  std::array<char, 4096> buf{};
  const auto end = Clock::now() + MaxWait;
  while (Clock::now() < end && !complete(out)) {
    pollfd in{fd, POLLIN, 0};
    if (::poll(&in, 1, 100) != 1)
      continue;
    const auto n = ::read(fd, buf.data(), buf.size());
    if (n <= 0)
      break;
    out.append(buf.data(), static_cast<std::size_t>(n));
  }
  return out;
}

/// A connection of a caller.
class Caller {
public:
  explicit Caller(std::uint16_t port) : Socket(Io) {
    Socket.connect({asio::ip::make_address("127.0.0.1"), port});
  }
  void send() {
    const std::string body = R"({"sql":"SELECT 1"})";
    send("POST /v1/db/d/query HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body);
  }
  void send(const std::string &bytes) {
    std::error_code ec;
    asio::write(Socket, asio::buffer(bytes), ec);
  }
  /// The next answer up to the given text; incomplete if the connection ends before.
  std::string answer(std::string_view last = "\r\n\r\n{") {
    return readUntil(Socket.native_handle(),
                     [last](const std::string &it) { return it.find(last) != std::string::npos; });
  }

private:
  asio::io_context Io;
  tcp::socket Socket;
};

bool isRefusal(const std::string &text) { return text.find("shutting_down") != std::string::npos; }
bool isAnswer(const std::string &text) { return text.starts_with("HTTP/1.1 200"); }

/// Handlers of doctest are inherited by a child process; a daemon starts without them.
void resetSignals() {
  for (const int it : {SIGTERM, SIGINT, SIGSEGV, SIGABRT, SIGFPE, SIGILL})
    std::signal(it, SIG_DFL);
}

/// Runs a function in a process of its own. The exit status that it returns, or minus the signal that ended
/// it.
int statusOf(const std::function<int()> &body) {
  std::fflush(nullptr);
  const auto pid = ::fork();
  REQUIRE(pid >= 0);
  if (pid == 0) {
    resetSignals();
    int status = HarnessFailed;
    try {
      status = body();
    } catch (const std::exception &) {
      status = HarnessFailed;
    }
    ::_exit(status);
  }
  int status = 0;
  ::waitpid(pid, &status, 0);
  return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

struct NoCodecs : ICodecs {
  [[nodiscard]] std::unique_ptr<ICallerCodec> caller() const override { return nullptr; }
  [[nodiscard]] std::unique_ptr<IServerCodec> server() const override { return nullptr; }
};

struct NoDirectory : IDirectory {
  void call(const DirectoryCall &, std::function<void(DirectoryAnswer)>) override {}
  void promote(const PromotionCall &, std::function<void(PromotionAnswer)>) override {}
  void stop() override {}
};

/// A daemon in a process of its own, which serves callers.
class DaemonProcess {
public:
  /// AfterRun is called in the process once runDaemon() has returned.
  explicit DaemonProcess(SlowReducer reducer, const std::function<void()> &afterRun = {}) {
    std::fflush(nullptr);
    REQUIRE(::pipe(Output.data()) == 0);
    REQUIRE(::pipe(Listening.data()) == 0);
    Pid = ::fork();
    REQUIRE(Pid >= 0);
    if (Pid == 0)
      run(std::move(reducer), afterRun);
    ::close(std::exchange(Output[1], -1));
    ::close(std::exchange(Listening[1], -1));
    REQUIRE(::read(Listening[0], &Ports, sizeof Ports) == sizeof Ports);
    const auto end = Clock::now() + MaxWait;
    while (Clock::now() < end && !serves())
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  ~DaemonProcess() {
    if (Pid > 0) {
      ::kill(Pid, SIGKILL);
      ::waitpid(Pid, nullptr, 0);
    }
    for (const int it : {Output[0], Listening[0]})
      ::close(it);
  }
  DaemonProcess(const DaemonProcess &) = delete;
  DaemonProcess &operator=(const DaemonProcess &) = delete;

  void signal(int number) const { ::kill(Pid, number); }
  [[nodiscard]] std::uint16_t port() const { return Ports.Callers; }
  /// Waits for the end of the process. Its exit status, or minus the signal that ended it.
  int wait() {
    Log = readUntil(Output[0], [](const std::string &) { return false; });
    int status = 0;
    ::waitpid(std::exchange(Pid, 0), &status, 0);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  }
  /// Last line of the log, after wait().
  [[nodiscard]] std::string lastLine() const {
    const auto text = Log.substr(0, Log.find_last_not_of('\n') + 1);
    return text.substr(text.find_last_of('\n') + 1);
  }

  std::string Log; ///< Standard output, after wait().

private:
  [[noreturn]] void run(SlowReducer reducer, const std::function<void()> &afterRun) const {
    resetSignals();
    ::dup2(Output[1], STDOUT_FILENO);
    ::close(Output[1]);
    asio::io_context io;
    const testing::ScriptedServer platform(io, [](testing::ScriptedServer::Connection &it) {
      if (it.In.find("\r\n\r\n") != std::string::npos)
        it.send(platformAnswer(std::exchange(it.In, {})));
    });
    std::thread([&io] { io.run(); }).detach();
    LocalSettings settings;
    settings.Self.Node = NodeId("n1");
    settings.Callers = settings.Peers = settings.Admin = {"127.0.0.1", 0};
    settings.PlatformUrl = "http://" + platform.address();
    int status = 0;
    try {
      Logger logger(LogFormat::KeyValue, LogLevel::Info, settings.Self.Node);
      status = runDaemon(settings, "/nonexistent", reducer, logger, [this](const DaemonPorts &it) {
        if (::write(Listening[1], &it, sizeof it) != sizeof it)
          ::_exit(HarnessFailed);
      });
    } catch (const std::exception &) {
      ::_exit(HarnessFailed);
    }
    if (afterRun)
      afterRun();
    ::_exit(status);
  }
  [[nodiscard]] bool serves() const {
    Caller caller(Ports.Admin);
    caller.send("GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n");
    return caller.answer("\r\n\r\n").starts_with("HTTP/1.1 200");
  }

  pid_t Pid = 0;
  std::array<int, 2> Output{};
  std::array<int, 2> Listening{};
  DaemonPorts Ports;
};

} // namespace

TEST_CASE("SIGHUP does not end a process with a request in flight") {
  DaemonProcess daemon(SlowReducer(300ms));
  Caller caller(daemon.port());
  caller.send();
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  daemon.signal(SIGHUP);
  CHECK(isAnswer(caller.answer()));
  daemon.signal(SIGTERM);
  CHECK(daemon.wait() == 0);
  CHECK(daemon.Log.find("settings file refused") != std::string::npos);
}

TEST_CASE("SIGHUP does not end a daemon that is starting") {
  const auto file = std::filesystem::temp_directory_path() / ("settings-" + std::to_string(::getpid()));
  std::ofstream(file) << "node: n1\nregion: r\navailability_zone: z\nplatform: http://127.0.0.1:7000\n"
                         "addresses: {callers: 127.0.0.1:1, peers: 127.0.0.1:2, admin: 127.0.0.1:3}\n";
  const int status = statusOf([&] {
    std::signal(SIGHUP, SIG_DFL);
    std::string program = "daemon", option = "--settings", path = file;
    std::array<char *, 4> arguments = {program.data(), option.data(), path.data(), nullptr};
    return startDaemon(3, arguments.data(), program, [](const LocalSettings &, const std::string &) {
      std::raise(SIGHUP);
      return 7;
    });
  });
  std::filesystem::remove(file);
  CHECK(status == 7);
}

TEST_CASE("SIGTERM that arrives while a daemon sets up its listeners starts a graceful shutdown") {
  CHECK(statusOf([] {
          LocalSettings settings;
          settings.Callers = settings.Admin = {"127.0.0.1", 0};
          SlowReducer reducer(0ms);
          Logger logger(LogFormat::KeyValue, LogLevel::Error, NodeId("n1"));
          return runSessionDaemon(settings, "/nonexistent", reducer, logger, NoCodecs(),
                                  [](asio::io_context &, IMetrics &) {
                                    std::raise(SIGTERM);
                                    return std::make_unique<NoDirectory>();
                                  });
        }) == 0);
}

TEST_CASE("signals after the last answer do not change the exit status") {
  DaemonProcess daemon(SlowReducer(0ms), [] {
    std::raise(SIGTERM);
    std::raise(SIGHUP);
  });
  daemon.signal(SIGTERM);
  CHECK(daemon.wait() == 0);
}

TEST_CASE("signals without a meaning do not end a process with a request in flight") {
  DaemonProcess daemon(SlowReducer(300ms));
  Caller caller(daemon.port());
  caller.send();
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  for (const int it : {SIGPIPE, SIGUSR1, SIGUSR2, SIGALRM, SIGXFSZ})
    daemon.signal(it);
  CHECK(isAnswer(caller.answer()));
  daemon.signal(SIGTERM);
  CHECK(daemon.wait() == 0);
}

TEST_CASE("the last line says why the process ended, and how long after the first signal") {
  DaemonProcess planned(SlowReducer(300ms));
  Caller caller(planned.port());
  caller.send();
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  planned.signal(SIGTERM);
  CHECK(planned.wait() == 0);
  CHECK(planned.lastLine().find("message=ended node=n1 why=drained ms=") != std::string::npos);

  DaemonProcess interrupted(SlowReducer(60s));
  Caller waiting(interrupted.port());
  waiting.send();
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  interrupted.signal(SIGTERM);
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  interrupted.signal(SIGINT);
  CHECK(interrupted.wait() == 0);
  CHECK(interrupted.lastLine().find("message=ended node=n1 why=interrupted ms=") != std::string::npos);
  CHECK(interrupted.lastLine().find(" outstanding=1") != std::string::npos);
}

TEST_CASE("an exception of the loop is named in the last line") {
  SlowReducer reducer(0ms);
  reducer.FailsOnShutdown = true;
  DaemonProcess daemon(reducer);
  daemon.signal(SIGTERM);
  CHECK(daemon.wait() == 1);
  CHECK(daemon.lastLine().find("level=error message=ended node=n1 why=failed ms=") != std::string::npos);
  CHECK(daemon.lastLine().find("test failure") != std::string::npos);
}

TEST_CASE("the last lines of a daemon are written though its log is over its rate and nobody reads it") {
  SlowReducer reducer(0ms);
  reducer.LinesPerRequest = 200;
  DaemonProcess daemon(reducer);
  Caller caller(daemon.port());
  for (int n = 0; n < 20; ++n) {
    caller.send();
    CHECK(isAnswer(caller.answer()));
  }
  daemon.signal(SIGTERM);
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  CHECK(daemon.wait() == 0);
  CHECK(daemon.Log.find("message=\"shutdown requested\"") != std::string::npos);
  CHECK(daemon.Log.find("message=\"log lines left out\"") != std::string::npos);
  CHECK(daemon.lastLine().find("message=ended") != std::string::npos);
}

TEST_CASE("requests that arrive on open connections after SIGTERM are answered") {
  DaemonProcess daemon(SlowReducer(100ms));
  std::deque<Caller> idle;
  for (int n = 0; n < 10; ++n)
    idle.emplace_back(daemon.port());
  Caller inFlight(daemon.port());
  inFlight.send();
  std::this_thread::sleep_for(std::chrono::milliseconds(20));
  daemon.signal(SIGTERM);
  // The request in flight is answered 80 ms after SIGTERM, and nothing else keeps the process.
  std::size_t answered = 0;
  for (auto &it : idle) {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    it.send();
    answered += isRefusal(it.answer()) ? 1 : 0;
  }
  CHECK(answered == idle.size());
  CHECK(isAnswer(inFlight.answer()));
  CHECK(daemon.wait() == 0);
  CHECK(daemon.lastLine().find("why=drained") != std::string::npos);
}

TEST_CASE("a daemon without open connections ends as soon as it has drained") {
  DaemonProcess daemon(SlowReducer(0ms));
  const auto start = Clock::now();
  daemon.signal(SIGTERM);
  CHECK(daemon.wait() == 0);
  CHECK(Clock::now() - start < std::chrono::milliseconds(500));
}
