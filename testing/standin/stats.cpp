// Counters and states of the stand-in as JSON.

#include "standin/stats.h"

#include "standin/world.h"

#include <nlohmann/json.hpp>

namespace rosemaryhinge::standin {

namespace {

nlohmann::json slotsOf(const SlotTable &slots) {
  auto out = nlohmann::json::object();
  for (const auto &[number, it] : slots.all())
    out[std::to_string(number)] = {{"generation", it.Claimed},
                                   {"holder", it.Holder},
                                   {"open", it.Open},
                                   {"highest", it.Highest},
                                   {"refused_full", it.RefusedFull},
                                   {"refused_old_generation", it.RefusedOld}};
  return out;
}

nlohmann::json countersOf(const ServerCounters &it) {
  return {{"commits", it.Commits},
          {"rollbacks", it.Rollbacks},
          {"reads", it.Reads},
          {"marked", it.Marked},
          {"mark_conflicts", it.MarkConflicts},
          {"aborts", it.Aborts},
          {"refused_writes", it.RefusedWrites},
          {"promotions", it.Promotions},
          {"rebuilds", it.Rebuilds},
          {"dropped_entries", it.DroppedEntries},
          {"apply_errors", it.ApplyErrors}};
}

nlohmann::json serverOf(World::Server &it) {
  const auto &db = *it.Database;
  return {{"address", "127.0.0.1:" + std::to_string(it.Listener->port())},
          {"availability_zone", it.Place.AvailabilityZone},
          {"role", db.Primary ? "primary" : "replica"},
          {"raised_term", db.Raised},
          {"log_term", db.Log.end().Term},
          {"log_lsn", db.Log.end().Lsn},
          {"running", db.Running},
          {"leaving", db.Leaving},
          {"cut_from_proxies", db.CutFromProxies},
          {"cut_from_servers", db.CutFromServers},
          {"lag_ms", db.Lag.count()},
          {"connections", it.Listener->connections()},
          {"slot_limit", db.Slots.limit()},
          {"slot_limit_breached", db.Slots.breached()},
          {"refused_unknown_slot", db.Slots.RefusedUnknown},
          {"slots", slotsOf(db.Slots)},
          {"counters", countersOf(db.Counters)}};
}

} // namespace

std::string formatStats(World &world) {
  const auto &store = world.platform().Store;
  const auto &faults = world.platform().Faults;
  nlohmann::json out;
  out["deployment"] = world.deployment().Name;
  out["platform"] = {{"gets", store.Counters.Gets},
                     {"watches", store.Counters.Watches},
                     {"puts", store.Counters.Puts},
                     {"conflicts", store.Counters.Conflicts},
                     {"lists", store.Counters.Lists},
                     {"pending_watches", store.pendingWatches()},
                     {"down", faults.Down},
                     {"delay_ms", faults.Delay.count()},
                     {"answers_to_lose", faults.LoseAnswers}};
  for (const auto &[key, object] : store.all())
    out["platform"]["objects"][key] = {{"version", object.Version}, {"bytes", object.Value.size()}};
  for (auto &it : world.servers())
    out["servers"][it.Database->Target.str()] = serverOf(it);
  return out.dump(2) + "\n";
}

} // namespace rosemaryhinge::standin
