// Counts and latencies of a run.

#pragma once

#include "load/reply.h"

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace rosemaryhinge::load {

class Tally {
public:
  /// Milliseconds from the intended time of arrival to the answer.
  void answered(const std::string &workClass, const Reply &reply, bool read, double ms);
  void diverted(const Reply &reply) { ++Diversions[reply.Reason]; }
  void retried(const Reply &reply) { ++Retries[reply.Reason]; }
  /// Notes the answer to a write that was sent again after its acknowledgement.
  void repeated(const Reply &reply) {
    ++Repeats;
    RepeatsReplayed += reply.Ok && reply.Replayed ? 1 : 0;
  }
  void notSent() { ++NotSent; }

  [[nodiscard]] nlohmann::json json() const;
  [[nodiscard]] std::uint64_t count() const { return Answered; }

private:
  std::uint64_t Answered = 0;
  std::uint64_t Ok = 0;
  std::uint64_t NotSent = 0; ///< Arrivals beyond the bound of what may wait.
  std::uint64_t Replayed = 0;
  std::uint64_t Repeats = 0;
  std::uint64_t RepeatsReplayed = 0;
  std::uint64_t Reads = 0;
  std::uint64_t ReplicaReads = 0;
  std::map<std::string, std::uint64_t> Refusals;
  std::map<std::string, std::uint64_t> Diversions; ///< Refusals after which the balancer took the next proxy.
  std::map<std::string, std::uint64_t> Retries;    ///< Of writes with an unknown outcome.
  std::map<std::string, std::vector<double>> Latencies; ///< Of successes, by class.
};

/// Value at a quantile of a sorted list: the smallest that has at least that share at or below it. 0 if
/// empty.
[[nodiscard]] double quantile(const std::vector<double> &sorted, double share);

} // namespace rosemaryhinge::load
