// rosemaryhinge-misbehavingclients: groups of misbehaving clients at a process of rosemaryhinge-platformd.
// Checked is that the process lives, that its memory and descriptors stay within the limits of its settings,
// and that it answers an ordinary request afterwards. Exit status: 0 all held, 1 one did not, 2 not possible.

#include "misbehavingclients/bench.h"
#include "misbehavingclients/groups.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <popt.h>

namespace {

using namespace rosemaryhinge::misbehavingclients;
namespace platformsoak = rosemaryhinge::platformsoak;

constexpr int Held = 0, Broken = 1, NotPossible = 2;
/// Resident memory after a group has left. The three budgets for callers together are three
/// eighths of memory_mb; the rest is the process itself.
constexpr double AfterwardsMb = MemoryMb / 2.0;
/// Ends a run whose process does not recover. Above the time after which stalled callers are closed.
constexpr Millis RecoveryMs = 30'000;
constexpr Millis RecoveryPollMs = 100;

struct Options {
  std::string Program = "build/release/bin/rosemaryhinge-platformd";
  std::string Folder = "/tmp/misbehaving-clients";
  std::string Only;
};

Options parseOptions(int argc, const char **argv) {
  Options out;
  char *program = nullptr, *folder = nullptr, *only = nullptr;
  const std::array<poptOption, 5> table = {
      poptOption{"program", 0, POPT_ARG_STRING, &program, 0, "the daemon", "PATH"},
      poptOption{"folder", 0, POPT_ARG_STRING, &folder, 0, "for settings and logs", "PATH"},
      poptOption{"only", 0, POPT_ARG_STRING, &only, 0, "run only this group", "NAME"},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context = poptGetContext("rosemaryhinge-misbehavingclients", argc, argv, table.data(), 0);
  const int result = poptGetNextOpt(context);
  poptFreeContext(context);
  if (result < -1)
    throw std::runtime_error(poptStrerror(result));
  const auto take = [](std::string &to, char *from) {
    if (from)
      to = from;
    std::free(from);
  };
  take(out.Program, program);
  take(out.Folder, folder);
  take(out.Only, only);
  return out;
}

template <typename Condition> bool eventually(Condition condition) {
  const auto until = platformsoak::nowMs() + RecoveryMs;
  while (!condition()) {
    if (platformsoak::nowMs() > until)
      return false;
    platformsoak::sleepMs(RecoveryPollMs);
  }
  return true;
}

/// Prints what was measured, and returns whether everything held.
bool run(Bench &bench, const GroupPlan &plan) {
  int descriptors = 0;
  {
    ClientGroup group(plan, bench.port());
    group.play([&] { descriptors = std::max(descriptors, bench.figures().Descriptors); });
  }
  const bool answered =
      eventually([&] { return !bench.alive() || bench.answers("QUERY after READ item1\r\n"); });
  const bool returned =
      eventually([&] { return !bench.alive() || bench.figures().ResidentMb <= AfterwardsMb; });
  const bool alive = bench.alive();
  const auto last = bench.figures();
  const bool held = alive && answered && returned && last.PeakMb <= MemoryMb && descriptors <= MaxDescriptors;
  std::cout << (held ? "held   " : "BROKEN ") << plan.Name << ": " << (alive ? "alive" : "ENDED") << ", peak "
            << static_cast<int>(last.PeakMb) << " MB of " << MemoryMb << ", afterwards "
            << static_cast<int>(last.ResidentMb) << " MB of " << AfterwardsMb << ", descriptors "
            << descriptors << " of " << MaxDescriptors << ", " << (answered ? "answered" : "NOT ANSWERED")
            << (held ? "" : "; guards against: " + plan.Guards) << std::endl;
  return held;
}

int runAll(const Options &options) {
  std::filesystem::create_directories(options.Folder);
  // Threads of the stand-in run until the program ends.
  auto &bench = *new Bench(options.Program, options.Folder);
  int out = Held;
  const auto note = [&out](bool held) { out = held ? out : Broken; };
  bool found = false;
  for (const auto &plan : groups()) {
    if (!options.Only.empty() && plan.Name != options.Only)
      continue;
    found = true;
    if (!bench.restart()) {
      std::cout << "the process did not become ready" << std::endl;
      bench.end();
      return NotPossible;
    }
    note(run(bench, plan));
  }
  if (options.Only.empty()) {
    // Limits must not refuse a single message of permitted size.
    const bool served = bench.restart() && bench.answers(largeStatement("QUERY large READ item1 "));
    std::cout << (served ? "held   " : "BROKEN ") << "one message of just under 1 MiB in calm" << std::endl;
    note(served);
  }
  bench.end();
  return found ? out : NotPossible;
}

} // namespace

int main(int argc, char **argv) {
  std::signal(SIGPIPE, SIG_IGN);
  int out = NotPossible;
  try {
    out = runAll(parseOptions(argc, const_cast<const char **>(argv)));
  } catch (const std::exception &e) {
    std::cout << e.what() << std::endl;
  }
  std::cout << (out == Held ? "held" : out == Broken ? "BROKEN" : "not possible") << std::endl;
  // Threads of the stand-in still run.
  std::_Exit(out);
}
