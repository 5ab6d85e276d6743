// A proxy as a process of its own.

#include "platformsoak/proxyprocess.h"

#include "platformsoak/sockets.h"

#include <array>
#include <cerrno>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace rosemaryhinge::platformsoak {

namespace {

constexpr Millis ProbeTimeoutMs = 500;
constexpr std::int64_t NsInMs = 1'000'000;
/// Half of the time after which a request counts as read by the process.
constexpr Millis LongWaitMs = 100;
/// The time between two looks, at most.
constexpr Millis WatchSlackMs = 50;

/// Waits until the child runs its program. Until then it holds the sockets that the parent had at the fork,
/// and a port that the parent releases for the next proxy stays in use.
void awaitProgram(int pipeEnd) {
  char byte = 0;
  while (::read(pipeEnd, &byte, 1) < 0 && errno == EINTR) {
  }
  ::close(pipeEnd);
}

std::string describeEnd(int status) {
  return WIFSIGNALED(status) ? "by signal " + std::to_string(WTERMSIG(status))
                             : "with status " + std::to_string(WEXITSTATUS(status));
}

} // namespace

ProxyProcess::ProxyProcess(ProxyOptions options, Observations &seen)
    : Options(std::move(options)), Seen(seen), Callers(reservePort()), Admin(reservePort()),
      Peers(reservePort()), Metrics(reservePort()), AdvertisedPeers(Peers) {}

ProxyProcess::~ProxyProcess() {
  if (Pid <= 0)
    return;
  ::kill(Pid, SIGKILL);
  ::waitpid(Pid, nullptr, 0);
}

std::string ProxyProcess::node() const {
  return "edge-" + Options.Zone + "-" + std::to_string(Options.Index + 1);
}

void ProxyProcess::writeSettings(const std::string &file) const {
  const auto address = [](int port) { return "127.0.0.1:" + std::to_string(port) + "\n"; };
  std::ofstream(file) << "node: " << node() << "\nfirst_start: " << (Lives.empty() ? "true" : "false")
                      << "\navailability_zone: " << Options.Zone
                      << "\naddresses:\n  callers: " << address(Callers) << "  peers: " << address(Peers)
                      << "  admin: " << address(Admin) << "  metrics: " << address(Metrics)
                      << "  advertised: " << address(AdvertisedPeers) << Options.Settings;
}

void ProxyProcess::start() {
  const std::lock_guard hold(Lock);
  for (const auto port : {Callers, Admin, Peers, Metrics})
    releasePort(port);
  const auto name = Options.Folder + "/proxy-" + std::to_string(Options.Index + 1);
  const auto settings = name + ".yaml";
  writeSettings(settings);
  ProcessLife life;
  life.Proxy = Options.Index;
  life.Number = static_cast<int>(Lives.size()) + 1;
  life.StartedAt = nowMs();
  life.LogFile = name + "." + std::to_string(life.Number) + ".log";
  const auto parent = ::getpid();
  std::array<int, 2> started{};
  if (::pipe2(started.data(), O_CLOEXEC) != 0)
    throw std::runtime_error("no pipe for the start of a proxy");
  Pid = ::fork();
  if (Pid == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent)
      ::_exit(1);
    const int log = ::open(life.LogFile.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_APPEND, 0644);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    ::execl(Options.Program.c_str(), "rosemaryhinge-platformd", "--settings", settings.c_str(), nullptr);
    ::_exit(127);
  }
  ::close(started[1]);
  awaitProgram(started[0]);
  WasReady = false;
  WaitedNs = 0;
  Lives.push_back(life);
  Seen.line("proxy " + std::to_string(Options.Index + 1) + " starts, process " + std::to_string(Pid));
}

bool ProxyProcess::signal(int number) {
  const std::lock_guard hold(Lock);
  if (Pid <= 0)
    return false;
  auto &life = Lives.back();
  if (number == SIGTERM)
    life.Terms.push_back(nowMs());
  if (number == SIGHUP)
    life.Hups.push_back(nowMs());
  if (number == SIGKILL)
    life.KilledAt = nowMs();
  if (number == SIGSTOP)
    life.Suspensions.push_back({nowMs(), std::nullopt});
  ::kill(Pid, number);
  if (number == SIGCONT && !life.Suspensions.empty())
    life.Suspensions.back().Until = nowMs();
  Seen.line("proxy " + std::to_string(Options.Index + 1) + " gets signal " + std::to_string(number));
  return true;
}

bool ProxyProcess::crash() {
  const std::lock_guard hold(Lock);
  if (!servingLocked())
    return false;
  Lives.back().CrashedAt = nowMs();
  ::kill(Pid, SIGKILL);
  Seen.line("proxy " + std::to_string(Options.Index + 1) + " is killed");
  return true;
}

bool ProxyProcess::check() {
  const std::lock_guard hold(Lock);
  int status = 0;
  if (Pid <= 0 || ::waitpid(Pid, &status, WNOHANG) != Pid)
    return false;
  Pid = -1;
  Lives.back().EndedAt = nowMs();
  Lives.back().How = describeEnd(status);
  Seen.line("proxy " + std::to_string(Options.Index + 1) + " ended " + Lives.back().How);
  return true;
}

bool ProxyProcess::running() const {
  const std::lock_guard hold(Lock);
  return Pid > 0;
}

int ProxyProcess::pid() const {
  const std::lock_guard hold(Lock);
  return Pid;
}

bool ProxyProcess::serving() const {
  const std::lock_guard hold(Lock);
  return servingLocked();
}

bool ProxyProcess::servingLocked() const {
  if (Pid <= 0 || !WasReady)
    return false;
  const auto &life = Lives.back();
  return life.Terms.empty() && !life.CrashedAt && (life.Suspensions.empty() || life.Suspensions.back().Until);
}

bool ProxyProcess::answersReady() {
  const int fd = connectTo(Admin);
  if (fd < 0)
    return false;
  sendAll(fd, "GET /readyz HTTP/1.1\r\nHost: proxy\r\n\r\n");
  LineSocket socket(fd);
  std::string line;
  const bool ok =
      socket.read(line, ProbeTimeoutMs) == ReadResult::Line && line.find(" 200") != std::string::npos;
  ::close(fd);
  const std::lock_guard hold(Lock);
  WasReady = WasReady || (ok && Pid > 0);
  return ok;
}

void ProxyProcess::watchProcessor() {
  const std::lock_guard hold(Lock);
  if (Pid <= 0)
    return;
  std::ifstream in("/proc/" + std::to_string(Pid) + "/schedstat");
  std::int64_t ran = 0, waited = 0;
  if (!(in >> ran >> waited))
    return;
  const auto ms = (waited - WaitedNs) / NsInMs;
  WaitedNs = waited;
  if (ms > LongWaitMs)
    Seen.addDisruption({nowMs() - ms - WatchSlackMs, nowMs(), "waited for a processor", Options.Index});
}

std::vector<ProcessLife> ProxyProcess::lives() const {
  const std::lock_guard hold(Lock);
  return Lives;
}

} // namespace rosemaryhinge::platformsoak
