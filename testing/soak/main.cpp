// rosemaryhinge-soak: many randomised runs with every invariant checked.

#include "soak/run.h"

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <mutex>
#include <popt.h>
#include <string>
#include <thread>
#include <vector>

using namespace rosemaryhinge;

namespace {

constexpr int MaxJobs = 3;
constexpr std::size_t MaxPrinted = 20;

/// What a set of runs must hold, with the least number of runs for which it is asked.
struct Needed {
  const char *Name;
  int FromRuns;
};
constexpr Needed NeededCounts[] = {
    {"acknowledged_writes", 1},
    {"answers.replica_read", 1},
    {"events", 1},
    {"promotions", 50},
    {"answers.commit", 20},
    {"answers.stated_age_read", 20},
    {"not_run_claims", 50},
    {"refused.unknown", 200},
    {"answers.later_try", 50},
    {"shutdowns_complete", 50},
    {"settings.accepted", 50},
    {"held.duplicated_answers", 50},
    {"held.lost_messages", 50},
    {"held.rival_order", 50},
    {"held.store_answers_lost", 200},
    {"held.death_with_statement_running", 200},
    {"fault.cut_primary", 50},
    {"fault.cut_primary_with_proxy", 50},
    {"fault.cut_zone", 50},
    {"fault.cut_proxy", 50},
    {"fault.cut_one_way", 50},
    {"fault.cut_store", 50},
    {"fault.replica_lag", 50},
    {"fault.duplicate_answers", 50},
    {"fault.crossed_answers", 50},
    {"fault.late_messages", 50},
    {"fault.proxy_death", 50},
    {"fault.death_in_transaction", 50},
    {"fault.pause", 50},
    {"fault.store_outage", 50},
    {"fault.store_slow", 50},
    {"fault.store_answer_lost", 50},
    {"fault.settings_edit", 50},
    {"fault.settings_rivals", 50},
    {"fault.rival_promotion", 50},
    {"fault.drain_proxy", 50},
    {"fault.drain_target", 50},
    {"fault.primary_down", 50},
    {"fault.replica_down", 50},
};

struct Arguments {
  long long Seed = 1;
  int Runs = 1;
  int Jobs = MaxJobs;
  int Trace = 0;
  int ListBreaks = 0;
  std::string Break;
};

bool parse(int argc, const char **argv, Arguments &out) {
  char *broken = nullptr;
  poptOption options[] = {
      {"seed", 's', POPT_ARG_LONGLONG, &out.Seed, 0, "seed of the first run", "S"},
      {"runs", 'n', POPT_ARG_INT, &out.Runs, 0, "number of runs; run i has seed S+i", "N"},
      {"jobs", 'j', POPT_ARG_INT, &out.Jobs, 0, "parallel workers, at most 3", "N"},
      {"break", 'b', POPT_ARG_STRING, &broken, 0, "switch off the rule behind an invariant", "NAME"},
      {"list-breaks", 0, POPT_ARG_NONE, &out.ListBreaks, 0, "print the names that --break knows", nullptr},
      {"trace", 't', POPT_ARG_NONE, &out.Trace, 0, "print every event of the runs", nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  auto *context = poptGetContext("rosemaryhinge-soak", argc, argv, options, 0);
  auto result = poptGetNextOpt(context);
  if (result < -1)
    std::fprintf(stderr, "%s: %s\n", poptBadOption(context, 0), poptStrerror(result));
  poptFreeContext(context);
  if (broken != nullptr)
    out.Break = broken;
  std::free(broken);
  return result >= -1 && out.Runs > 0;
}

std::string replayCommand(const Arguments &args, std::uint64_t seed) {
  return "scripts/soak --seed " + std::to_string(seed) + " --runs 1" +
         (args.Break.empty() ? "" : " --break " + args.Break) + " --trace";
}

std::vector<soak::RunResult> runAll(const Arguments &args, const Rules &rules) {
  std::vector<soak::RunResult> results(static_cast<std::size_t>(args.Runs));
  std::atomic<std::size_t> next = 0;
  auto work = [&] {
    for (auto n = next++; n < results.size(); n = next++) {
      soak::RunOptions options;
      options.Seed = static_cast<std::uint64_t>(args.Seed) + n;
      options.Rules = rules;
      options.Trace = args.Trace != 0;
      results[n] = soak::runOnce(options);
    }
  };
  std::vector<std::thread> workers;
  auto jobs = args.Trace != 0 ? 1 : std::clamp(args.Jobs, 1, MaxJobs);
  for (int n = 1; n < jobs; ++n)
    workers.emplace_back(work);
  work();
  for (auto &it : workers)
    it.join();
  return results;
}

std::size_t report(const Arguments &args, const std::vector<soak::RunResult> &results) {
  std::map<std::string, std::uint64_t> counts;
  std::map<std::string, std::uint64_t> byName;
  std::size_t violations = 0;
  for (const auto &run : results) {
    for (const auto &[name, value] : run.Counts)
      counts[name] += value;
    for (const auto &it : run.Violations) {
      ++byName[it.Invariant];
      if (++violations <= MaxPrinted)
        std::printf("violation: %s at %lld ms of seed %llu: %s\n  replay: %s\n", it.Invariant.c_str(),
                    static_cast<long long>((it.At - TimePoint(1h)).count() / 1000),
                    static_cast<unsigned long long>(run.Seed), it.Detail.c_str(),
                    replayCommand(args, run.Seed).c_str());
    }
  }
  for (const auto &[name, value] : counts)
    std::printf("count: %s %llu\n", name.c_str(), static_cast<unsigned long long>(value));
  for (const auto &[name, value] : byName)
    std::printf("violations: %s %llu\n", name.c_str(), static_cast<unsigned long long>(value));
  for (const auto &it : NeededCounts)
    if (args.Runs >= it.FromRuns && counts[it.Name] == 0) {
      std::printf("violation: the runs held no %s\n", it.Name);
      ++violations;
    }
  return violations;
}

} // namespace

int main(int argc, const char **argv) {
  Arguments args;
  if (!parse(argc, argv, args))
    return 2;
  if (args.ListBreaks != 0) {
    for (const auto &it : soak::breakableInvariants())
      std::printf("%s\n", it.c_str());
    return 0;
  }
  Rules rules;
  if (!args.Break.empty()) {
    auto without = soak::rulesWithout(args.Break);
    if (!without) {
      std::fprintf(stderr, "no invariant is named %s\n", args.Break.c_str());
      return 2;
    }
    rules = *without;
  }
  auto violations = report(args, runAll(args, rules));
  std::printf("soak: %d runs, %zu violations\n", args.Runs, violations);
  return violations == 0 ? 0 : 1;
}
