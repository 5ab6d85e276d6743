// Selection of the server to promote.

#include "failover/internal/promotion.h"

namespace rosemaryhinge::detail {

namespace {

bool isLeaving(const TargetId &target, const TargetStatus &status,
               const std::map<TargetId, TargetView> &views) {
  auto it = views.find(target);
  return status.Leaving || (it != views.end() && it->second.leaving());
}

} // namespace

TargetId chooseTarget(const Group &group, const std::map<TargetId, TargetStatus> &raised,
                      const std::map<TargetId, TargetView> &views) {
  if (raised.size() < group.majority())
    return {};
  std::size_t staying = 0;
  for (const auto &[target, status] : raised)
    if (!isLeaving(target, status, views))
      ++staying;
  bool excludeLeaving = staying >= group.majority();
  const TargetId *best = nullptr;
  Position bestPosition;
  for (const auto &[target, status] : raised) {
    if (excludeLeaving && isLeaving(target, status, views))
      continue;
    if (best == nullptr || bestPosition < status.Log) {
      best = &target;
      bestPosition = status.Log;
    }
  }
  return best == nullptr ? TargetId() : *best;
}

} // namespace rosemaryhinge::detail
