// Confirmations of terms.

#include "acknowledge/termconfirmations.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace rosemaryhinge {

void TermConfirmations::record(const TargetId &target, Term raised, TimePoint sentAt) {
  auto [it, added] = Known.try_emplace(target, Confirmation{raised, sentAt});
  auto &known = it->second;
  if (added || raised < known.Term)
    return;
  known.SentAt = raised > known.Term ? sentAt : std::max(known.SentAt, sentAt);
  known.Term = raised;
}

std::optional<TimePoint> TermConfirmations::majorityAt(const Group &group, Term term) const {
  std::vector<TimePoint> times;
  for (const auto &server : group.Servers)
    if (auto it = Known.find(server.Target); it != Known.end() && it->second.Term == term)
      times.push_back(it->second.SentAt);
  const auto need = group.majority();
  if (times.size() < need)
    return std::nullopt;
  std::sort(times.begin(), times.end(), std::greater<>());
  return times[need - 1];
}

Term TermConfirmations::highest(const Group &group) const {
  Term out = 0;
  for (const auto &server : group.Servers)
    if (auto it = Known.find(server.Target); it != Known.end())
      out = std::max(out, it->second.Term);
  return out;
}

} // namespace rosemaryhinge
