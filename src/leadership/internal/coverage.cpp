// What must be covered before a promotion.

#include "leadership/internal/coverage.h"

#include <algorithm>

namespace rosemaryhinge::detail {

namespace {

/// Whether a server other than the candidate may hold acknowledged commits that a log up to this position
/// lacks.
bool mayHoldMore(const ServerState &it, Position log) {
  return it.Missing || !it.Status || !(it.Paused || it.Settled) || it.Status->Log > log;
}

/// Whether every server that may have acknowledged commits has been compared with the candidate, or the
/// former primary's log stands in for it.
bool compared(const ServerStates &servers, const TargetId &candidate) {
  const auto &self = servers.at(candidate);
  const auto log = self.Status->Log;
  if (self.FormerPrimary)
    return self.SteppedDown;
  if (holdsAllCommits(servers, candidate))
    return true;
  const bool stopped = std::any_of(servers.begin(), servers.end(), [](const auto &one) {
    return one.second.FormerPrimary && one.second.SteppedDown;
  });
  return stopped && std::none_of(servers.begin(), servers.end(), [&](const auto &one) {
           return one.first != candidate && !one.second.FormerPrimary && mayHoldMore(one.second, log);
         });
}

} // namespace

std::string_view describe(Coverage coverage) {
  switch (coverage) {
  case Coverage::Complete:
    return "complete";
  case Coverage::Uncompared:
    return "uncompared";
  case Coverage::AwaitsLog:
    return "awaits_log";
  case Coverage::NoLogKnown:
    break;
  }
  return "no_log_known";
}

Coverage coverage(const PromotionEvidence &evidence, const TargetId &candidate) {
  const auto self = evidence.Servers.find(candidate);
  if (self == evidence.Servers.end() || !self->second.Status)
    return Coverage::Uncompared;
  const bool leads = self->second.FormerPrimary && !self->second.SteppedDown;
  if (evidence.Fenced ? leads : !compared(evidence.Servers, candidate))
    return Coverage::Uncompared;
  if (self->second.Status->Log >= evidence.Required)
    return Coverage::Complete;
  return evidence.LogsAbsent ? Coverage::AwaitsLog : Coverage::NoLogKnown;
}

TargetId unlessFormerHoldsMore(const ServerStates &servers, const TargetId &candidate, Position required) {
  const auto &proposed = servers.at(candidate);
  for (const auto &[target, it] : servers) {
    if (!it.FormerPrimary || !it.SteppedDown || !it.Status)
      continue;
    const bool holdsMore = proposed.Status->Log < required && it.Status->Log >= required;
    const bool stays = proposed.Leaving && !it.Leaving && it.Status->Log >= proposed.Status->Log;
    if (holdsMore || stays)
      return target;
  }
  return candidate;
}

} // namespace rosemaryhinge::detail
