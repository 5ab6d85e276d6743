// rosemaryhinge-platformsoak: real processes of rosemaryhinge-platformd under faults, with the platform's
// rules checked. Exit status: 0 all rules held, 1 one was broken, 2 the run was not possible.

#include "platformsoak/faultplayer.h"
#include "platformsoak/promotionrule.h"
#include "platformsoak/report.h"
#include "platformsoak/workspacechecks.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <popt.h>
#include <sstream>

namespace {

using namespace rosemaryhinge::platformsoak;

constexpr int Held = 0, Broken = 1, NotPossible = 2;
/// From the first proxy that is ready to the first fault.
constexpr Millis WarmUpMs = 4'000;
/// After the last fault, for the stops that are still in progress.
constexpr Millis SettleMs = 9'000;
/// Each operation served needs a proxy and servers at work; fewer in a second mean that the run shows
/// nothing.
constexpr int LeastServedPerS = 100;

struct Options {
  std::uint64_t Seed = 1;
  int Seconds = 60;
  std::string Program = "build/release/bin/rosemaryhinge-platformd";
  std::string Folder = "/tmp/platform-soak";
  std::string With = "all";
  bool PlanOnly = false;
};

Troubles parseTroubles(const std::string &text) {
  const auto &names = troubleNames();
  if (text == "all")
    return {names.begin(), names.end()};
  Troubles out;
  std::istringstream in(text);
  for (std::string it; std::getline(in, it, ',');)
    if (std::find(names.begin(), names.end(), it) != names.end())
      out.insert(it);
    else
      throw std::runtime_error("--with: no trouble is called " + it);
  return out;
}

Options parseOptions(int argc, const char **argv) {
  Options out;
  long long seed = 1;
  char *program = nullptr, *folder = nullptr, *with = nullptr;
  int planOnly = 0;
  const std::array<poptOption, 8> table = {
      poptOption{"seed", 's', POPT_ARG_LONGLONG, &seed, 0, "seed of the plan of faults", "N"},
      poptOption{"seconds", 0, POPT_ARG_INT, &out.Seconds, 0, "length of the part with faults", "N"},
      poptOption{"program", 0, POPT_ARG_STRING, &program, 0, "the daemon", "PATH"},
      poptOption{"folder", 0, POPT_ARG_STRING, &folder, 0, "for the record and the logs of the processes",
                 "PATH"},
      poptOption{"with", 0, POPT_ARG_STRING, &with, 0,
                 "troubles, separated by commas: stops rolls second hups drain primary config slow down "
                 "restored delay hold slowcallers burst withdraw flood replace crash lost cut partition "
                 "late kill suspend crashes latestore entries zones, or all",
                 "NAMES"},
      poptOption{"plan", 0, POPT_ARG_NONE, &planOnly, 0, "print the plan only", nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context = poptGetContext("rosemaryhinge-platformsoak", argc, argv, table.data(), 0);
  const int result = poptGetNextOpt(context);
  poptFreeContext(context);
  if (result < -1)
    throw std::runtime_error(poptStrerror(result));
  out.Seed = static_cast<std::uint64_t>(seed);
  const auto take = [](std::string &to, char *from) {
    if (from)
      to = from;
    std::free(from);
  };
  take(out.Program, program);
  take(out.Folder, folder);
  take(out.With, with);
  out.PlanOnly = planOnly != 0;
  return out;
}

int check(Deployment &world, int seconds) {
  Lives lives;
  for (const auto &it : world.Proxies)
    lives.push_back(it->lives());
  const auto requests = world.Seen.requests();
  const auto runs = world.Seen.runs();
  const auto disruptions = world.Seen.disruptions();
  RunFigures figures;
  figures.Served = world.Callers->Counts.Served;
  figures.Failed = world.Callers->Counts.Failed;
  figures.Sessions = world.Callers->Counts.Sessions;
  Report report(std::cout, lives);
  report.stops(figures);
  report.refusals(requests, figures);
  report.cuts(requests, runs, disruptions, figures);
  report.violations(checkTwice(world.Seen.commits()), figures);
  report.violations(checkAnswers(requests, runs), figures);
  report.violations(checkConfig(world.Operator.versions(), world.Operator.probes(), lives, disruptions),
                    figures);
  report.violations(checkPromotions(world.Seen.promotions(), requests), figures);
  report.violations(checkServerAcknowledged(world.Seen.promotions()), figures);
  const auto arrivals = world.Seen.arrivals();
  const auto keys = world.Operator.keys();
  report.violations(checkUsers(requests, arrivals, keys), figures);
  report.violations(checkUnknownKeys(requests, arrivals, keys), figures);
  report.violations(checkWithdrawnKeys(requests, arrivals, keys), figures);
  report.violations(checkQuotas(Tenants, arrivals), figures);
  report.summary(figures);
  if (figures.Served < LeastServedPerS * seconds)
    return NotPossible;
  return figures.Lost > 0 || figures.BadEnds > 0 || !figures.Rules.empty() ? Broken : Held;
}

int run(const Options &options) {
  PlanOptions planned;
  planned.Seed = options.Seed;
  planned.LengthMs = Millis{options.Seconds} * 1'000;
  planned.With = parseTroubles(options.With);
  const auto plan = makePlan(planned);
  if (options.PlanOnly) {
    for (const auto &it : plan)
      std::cout << it.At << " ms  " << describe(it.Fault) << "\n";
    return Held;
  }
  std::filesystem::create_directories(options.Folder);
  auto &seen = *new Observations(options.Folder);
  DeploymentOptions deployed;
  deployed.Program = options.Program;
  deployed.Folder = options.Folder;
  deployed.Seed = options.Seed;
  auto &world = *new Deployment(deployed, seen);
  if (!world.start()) {
    std::cout << "the proxies did not become ready" << std::endl;
    world.end();
    return NotPossible;
  }
  world.startCallers();
  FaultPlayer player(world);
  player.play({}, WarmUpMs);
  player.play(plan, planned.LengthMs + SettleMs);
  world.endCallers();
  const auto out = check(world, options.Seconds);
  world.end();
  return out;
}

} // namespace

int main(int argc, char **argv) {
  std::signal(SIGPIPE, SIG_IGN);
  int out = NotPossible;
  try {
    out = run(parseOptions(argc, const_cast<const char **>(argv)));
  } catch (const std::exception &e) {
    std::cout << e.what() << std::endl;
  }
  std::cout << (out == Held ? "held" : out == Broken ? "BROKEN" : "not possible") << std::endl;
  // Threads of the stand-in still run.
  std::_Exit(out);
}
