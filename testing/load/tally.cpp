// Counts and latencies of a run.

#include "load/tally.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace rosemaryhinge::load {

namespace {

nlohmann::json quantiles(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return {{"count", values.size()},          {"p50", quantile(values, 0.5)},
          {"p90", quantile(values, 0.9)},    {"p99", quantile(values, 0.99)},
          {"p999", quantile(values, 0.999)}, {"max", values.empty() ? 0 : values.back()}};
}

} // namespace

double quantile(const std::vector<double> &sorted, double share) {
  if (sorted.empty())
    return 0;
  auto rank = static_cast<std::size_t>(std::ceil(share * static_cast<double>(sorted.size())));
  return sorted[std::clamp<std::size_t>(rank, 1, sorted.size()) - 1];
}

void Tally::answered(const std::string &workClass, const Reply &reply, bool read, double ms) {
  ++Answered;
  if (!reply.Ok) {
    ++Refusals[reply.Reason];
    return;
  }
  ++Ok;
  if (reply.Replayed)
    ++Replayed;
  if (read) {
    ++Reads;
    if (reply.ByReplica)
      ++ReplicaReads;
  }
  Latencies[workClass].push_back(ms);
}

nlohmann::json Tally::json() const {
  nlohmann::json out = {{"answered", Answered}, {"ok", Ok},
                        {"not_sent", NotSent},  {"replayed", Replayed},
                        {"repeats", Repeats},   {"repeats_replayed", RepeatsReplayed},
                        {"refusals", Refusals}, {"diversions", Diversions},
                        {"retries", Retries},   {"replica_reads", ReplicaReads},
                        {"reads", Reads}};
  std::vector<double> all;
  for (const auto &[name, values] : Latencies) {
    out["classes"][name] = quantiles(values);
    all.insert(all.end(), values.begin(), values.end());
  }
  out["latency_ms"] = quantiles(std::move(all));
  return out;
}

} // namespace rosemaryhinge::load
