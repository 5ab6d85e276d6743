// Implementation of the term confirmations.

#include "acknowledge/termconfirmations.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace rosemaryhinge {

void TermConfirmations::record(const TargetId &target, Term raised, TimePoint sentAt) {
  auto [it, added] = Latest.try_emplace(target, Confirmation{raised, sentAt});
  auto &latest = it->second;
  if (added || raised < latest.Term)
    return;
  latest.SentAt = raised > latest.Term ? sentAt : std::max(latest.SentAt, sentAt);
  latest.Term = raised;
}

std::optional<TimePoint> TermConfirmations::majorityConfirmedAt(const Group &group, Term term) const {
  std::vector<TimePoint> times;
  for (const auto &server : group.Servers)
    if (auto it = Latest.find(server.Target); it != Latest.end() && it->second.Term == term)
      times.push_back(it->second.SentAt);
  const auto need = group.majority();
  if (times.size() < need)
    return std::nullopt;
  std::sort(times.begin(), times.end(), std::greater<>());
  return times[need - 1];
}

Term TermConfirmations::highestTerm(const Group &group) const {
  Term out = 0;
  for (const auto &server : group.Servers)
    if (auto it = Latest.find(server.Target); it != Latest.end())
      out = std::max(out, it->second.Term);
  return out;
}

} // namespace rosemaryhinge
