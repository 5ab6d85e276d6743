// Course of a randomised run: start, load and faults, healing, settling, liveness.

#include "soak/run.h"

#include "fakes/fleet.h"
#include "soak/checkers.h"
#include "soak/faults.h"
#include "soak/liveness.h"
#include "soak/tally.h"
#include "soak/tracer.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

namespace rosemaryhinge::soak {

namespace {

constexpr Duration StartUp = 4s;
constexpr Duration Settling = 10s;

constexpr std::array<std::pair<std::string_view, bool Rules::*>, 11> Switches = {{
    {"read_your_writes", &Rules::ReadYourWrites},
    {"no_stale_primary_ack", &Rules::NoStalePrimaryAck},
    {"no_lost_write", &Rules::NoLostWrite},
    {"transaction_isolation", &Rules::TransactionIsolation},
    {"answer_matching", &Rules::AnswerMatching},
    {"true_not_run", &Rules::TrueNotRun},
    {"at_most_once", &Rules::AtMostOnce},
    {"leaving_target_idle", &Rules::LeavingTargetIdle},
    {"graceful_shutdown", &Rules::GracefulShutdown},
    {"settings_in_force", &Rules::SettingsInForce},
    {"slot_limit", &Rules::SlotLimit},
}};

class Run {
public:
  explicit Run(const RunOptions &options)
      : Random(options.Seed * 7919 + 17), World(fleetOptions(options, Random)), Checks(World),
        Injector(World, Checks.Settings), Trace(World) {
    World.Observers.push_back(&Counted);
    if (options.Trace) {
      World.Trace = [](const std::string &line) { std::printf("%s\n", line.c_str()); };
      World.Observers.push_back(&Trace);
    }
    Result.Seed = options.Seed;
  }

  RunResult execute() {
    World.start();
    World.runFor(StartUp);
    startCallers();
    scheduleFaults();
    World.runFor(Faulty);
    Injector.healAll();
    World.runFor(Settling);
    for (const auto &it : World.Callers)
      it->stop();
    World.runFor(4s);
    Result.Violations = checkLiveness(World);
    for (auto *it : Checks.all())
      it->atEnd();
    collect();
    return std::move(Result);
  }

private:
  static fakes::FleetOptions fleetOptions(const RunOptions &options, fakes::Dice &random) {
    fakes::FleetOptions out;
    out.Seed = options.Seed;
    out.Rules = options.Rules;
    out.Deployment = random.chance(0.5) ? "paalisoft" : "openraad";
    out.Nodes = 3 + random.below(2);
    out.Databases = random.chance(0.3) ? 2 : 1;
    // Slots so small that leftover connections of an earlier holder would breach their limit.
    if (random.chance(0.5))
      out.SlotConnections = 3;
    return out;
  }

  void startCallers() {
    auto callers = 3 + Random.below(4);
    for (std::size_t n = 0; n < callers; ++n) {
      fakes::CallerProfile profile;
      profile.Database = World.Plan.Groups[n % World.Plan.Groups.size()].Database;
      profile.Think = Random.between(40ms, 200ms);
      profile.LongShare = Random.chance(0.5) ? 0.03 : 0.15;
      profile.PrimaryShare = Random.chance(0.3) ? 0.3 : 0.0;
      World.addCaller(profile).start();
    }
  }

  void scheduleFaults() {
    Faulty = Random.between(6s, 14s);
    auto faults = 1 + Random.below(6);
    for (std::size_t n = 0; n < faults; ++n) {
      auto fault = Random.chance(0.1) ? Fault::DrainProxy : static_cast<Fault>(Random.below(FaultCount));
      auto at = Random.between(0us, 8s);
      auto length = Random.between(300ms, 6s);
      // Some last longer than any window, timeout and suspicion of the fleet.
      if (Random.chance(0.15)) {
        at = Random.between(0us, 2s);
        length = Random.between(8s, 14s);
        Faulty = std::max(Faulty, at + length);
      }
      World.Queue.after(at, [this, fault, length] { Injector.inject(fault, length); });
      // Revisions that overtake each other are what could take a proxy back.
      if (fault == Fault::SettingsEdit && Random.chance(0.5))
        World.Queue.after(at, [this, length] { Injector.inject(Fault::LateMessages, length); });
    }
  }

  void collect() {
    auto found = Checks.violations();
    Result.Violations.insert(Result.Violations.end(), found.begin(), found.end());
    Result.Counts = Counted.Counts;
    for (const auto &[name, value] : Injector.counts())
      Result.Counts[name] += value;
    auto &counts = Result.Counts;
    counts["steps"] = World.Queue.steps();
    counts["held.duplicated_answers"] = World.DuplicatedAnswers;
    counts["held.duplicated_messages"] = World.DuplicatedMessages;
    counts["held.lost_messages"] = World.Network.Lost;
    counts["held.store_answers_lost"] = World.Store->AnswersLost;
    counts["held.store_calls_refused"] = World.Store->Refused;
    counts["acknowledged_writes"] = Checks.Lost.acknowledged();
    counts["not_run_claims"] = Checks.NotRun.claims();
    counts["shutdowns_complete"] = Checks.Shutdown.completed();
    counts["settings.seen_in_force"] = Checks.Settings.delays().size();
    for (const auto &group : World.Groups)
      for (const auto &server : group->servers()) {
        counts["held.killed_connections"] += server->KilledConnections;
        counts["held.generation_refusals"] += server->GenerationRefusals;
      }
    for (const auto &it : World.Proxies)
      counts["events"] += it->Events;
    for (const auto &it : World.Callers)
      counts["answers.none"] += it->Unanswered;
  }

  fakes::Dice Random;
  fakes::Fleet World;
  Checkers Checks;
  Faults Injector;
  Tally Counted;
  Tracer Trace;
  Duration Faulty{};
  RunResult Result;
};

} // namespace

RunResult runOnce(const RunOptions &options) { return Run(options).execute(); }

std::optional<Rules> rulesWithout(std::string_view invariant) {
  for (const auto &[name, rule] : Switches)
    if (name == invariant) {
      Rules out;
      out.*rule = false;
      return out;
    }
  return std::nullopt;
}

std::vector<std::string> breakableInvariants() {
  std::vector<std::string> out;
  out.reserve(Switches.size());
  for (const auto &[name, rule] : Switches)
    out.emplace_back(name);
  return out;
}

} // namespace rosemaryhinge::soak
