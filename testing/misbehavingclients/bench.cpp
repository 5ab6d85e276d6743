// A proxy process with a small stand-in deployment, and the figures of the process.

#include "misbehavingclients/bench.h"

#include "platformsoak/sockets.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <unistd.h>

namespace rosemaryhinge::misbehavingclients {

namespace {

using namespace platformsoak;

constexpr Millis ReadyTimeoutMs = 20'000;
constexpr Millis PollMs = 50;
constexpr Millis AnswerTimeoutMs = 3'000;
constexpr double KbInMb = 1'024;
const std::string ServiceName = "merchant-db0";

ServiceOptions serviceOptions() {
  ServiceOptions out;
  out.Name = ServiceName;
  out.Zones = {"etela-a", "lansi-a", "pohjoinen-a"};
  return out;
}

std::string settings(int store, int duties) {
  const auto url = [](int port) { return "http://127.0.0.1:" + std::to_string(port) + "\n"; };
  return "region: north\ninterface: sessions\nplatform: " + url(store) + "duties: " + url(duties) +
         "shutdown_grace_s: 6\npromotion_fencing: true\npropagation_ms: 3000\n"
         "memory_mb: " +
         std::to_string(MemoryMb) + "\nmax_descriptors: " + std::to_string(MaxDescriptors) +
         "\nregions:\n  etela-a: north\n  lansi-a: north\n  pohjoinen-a: north\n"
         "log:\n  format: key_value\n  level: info\n";
}

double readMb(const std::string &line) { return std::stod(line.substr(line.find(':') + 1)) / KbInMb; }

} // namespace

Bench::Bench(const std::string &program, const std::string &folder)
    : Seen(folder), Operator(Store, {ServiceName}, Seen), Service(serviceOptions(), Store, Seen),
      Duties([](const HttpRequest &) {
        return HttpReply{404, "{}"};
      }) {
  Operator.begin();
  ProxyOptions options;
  options.Zone = "etela-a";
  options.Program = program;
  options.Folder = folder;
  options.Settings = settings(Store.port(), Duties.port());
  Proxy = std::make_unique<ProxyProcess>(options, Seen);
}

bool Bench::restart() {
  if (Proxy->signal(SIGKILL))
    while (!Proxy->check())
      sleepMs(PollMs);
  Proxy->start();
  const auto until = nowMs() + ReadyTimeoutMs;
  while (alive() && nowMs() < until) {
    if (Proxy->answersReady() && answers("QUERY start READ item1\r\n"))
      return true;
    sleepMs(PollMs);
  }
  return false;
}

ProcessFigures Bench::figures() const {
  ProcessFigures out;
  const auto folder = "/proc/" + std::to_string(Proxy->pid());
  std::ifstream in(folder + "/status");
  for (std::string line; std::getline(in, line);) {
    if (line.starts_with("VmRSS:"))
      out.ResidentMb = readMb(line);
    if (line.starts_with("VmHWM:"))
      out.PeakMb = readMb(line);
  }
  std::error_code ec;
  for (auto it = std::filesystem::directory_iterator(folder + "/fd", ec);
       !ec && it != std::filesystem::directory_iterator(); it.increment(ec))
    ++out.Descriptors;
  return out;
}

bool Bench::answers(const std::string &statement) const {
  const int fd = connectTo(port());
  if (fd < 0)
    return false;
  LineSocket socket(fd);
  std::string line;
  bool complete = false;
  if (sendAll(fd, "STARTUP p0 ordinary\r\n") && socket.read(line, AnswerTimeoutMs) == ReadResult::Line &&
      line.starts_with("READY") && sendAll(fd, statement))
    while (!complete && socket.read(line, AnswerTimeoutMs) == ReadResult::Line && !line.starts_with("READY"))
      complete = line.starts_with("COMPLETE");
  ::close(fd);
  return complete;
}

} // namespace rosemaryhinge::misbehavingclients
