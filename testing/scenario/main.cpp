// rosemaryhinge-scenario: plays scripted scenarios and reports what did not hold.

#include "scenario/player.h"

#include <cstdio>
#include <fstream>
#include <popt.h>
#include <sstream>

using namespace rosemaryhinge;

namespace {

std::string readFile(const std::string &file) {
  std::ifstream in(file);
  std::ostringstream out;
  out << in.rdbuf();
  return out.str();
}

/// Returns true if everything held with every seed.
bool playFile(const std::string &file, long long seed, bool trace) {
  Diagnostics findings;
  auto script = scenario::parseScenario(file, readFile(file), findings);
  for (const auto &it : findings)
    std::printf("%s\n", it.str().c_str());
  if (!findings.empty())
    return false;
  bool good = true;
  for (std::uint64_t n = 1; n <= script.Seeds; ++n) {
    if (seed != 0 && n != static_cast<std::uint64_t>(seed))
      continue;
    auto failures = scenario::Player(script, n, trace).play();
    for (const auto &it : failures)
      std::printf("%s: seed %llu: %s\n  replay: scripts/scenario --seed %llu --trace %s\n", file.c_str(),
                  static_cast<unsigned long long>(n), it.c_str(), static_cast<unsigned long long>(n),
                  file.c_str());
    good = good && failures.empty();
  }
  std::printf("%s: %s: %s\n", good ? "ok" : "FAILED", file.c_str(), script.Name.c_str());
  return good;
}

} // namespace

int main(int argc, const char **argv) {
  long long seed = 0;
  int trace = 0;
  poptOption options[] = {{"seed", 's', POPT_ARG_LONGLONG, &seed, 0, "play with this seed only", "S"},
                          {"trace", 't', POPT_ARG_NONE, &trace, 0, "print every event", nullptr},
                          POPT_AUTOHELP POPT_TABLEEND};
  auto *context = poptGetContext("rosemaryhinge-scenario", argc, argv, options, 0);
  poptSetOtherOptionHelp(context, "FILE...");
  auto result = poptGetNextOpt(context);
  if (result < -1) {
    std::fprintf(stderr, "%s: %s\n", poptBadOption(context, 0), poptStrerror(result));
    poptFreeContext(context);
    return 2;
  }
  int files = 0;
  int bad = 0;
  while (const char *file = poptGetArg(context)) {
    ++files;
    if (!playFile(file, seed, trace != 0))
      ++bad;
  }
  poptFreeContext(context);
  std::printf("scenarios: %d played, %d failed\n", files, bad);
  return files > 0 && bad == 0 ? 0 : 1;
}
