// Deficit round robin.

#include "admission/fairqueue.h"

#include <algorithm>

namespace rosemaryhinge {

namespace {

/// Time on a connection that a caller is granted on each turn.
constexpr Duration Quantum = 10ms;
/// Costs are capped so that a turn comes within this many rounds.
constexpr int MaxRounds = 8;

Duration costOf(const Work &work) { return std::clamp<Duration>(work.Cost, 1ms, MaxRounds * Quantum); }

} // namespace

void FairQueue::push(Work work) {
  auto [it, added] = ByCaller.try_emplace(work.Caller);
  if (added)
    Round.push_back(work.Caller);
  it->second.Works.push_back(std::move(work));
  ++Size;
}

std::optional<Work> FairQueue::pop() {
  while (!Round.empty()) {
    auto it = ByCaller.find(Round.front());
    auto &[works, deficit] = it->second;
    if (deficit < costOf(works.front())) {
      deficit += Quantum;
      Round.splice(Round.end(), Round, Round.begin());
      continue;
    }
    deficit -= costOf(works.front());
    Work out = std::move(works.front());
    works.pop_front();
    --Size;
    if (works.empty()) {
      ByCaller.erase(it);
      Round.pop_front();
    }
    return out;
  }
  return std::nullopt;
}

bool FairQueue::remove(const CallerId &caller, std::uint64_t id) {
  auto it = ByCaller.find(caller);
  if (it == ByCaller.end())
    return false;
  auto &works = it->second.Works;
  auto found = std::find_if(works.begin(), works.end(), [&](const Work &w) { return w.Id == id; });
  if (found == works.end())
    return false;
  works.erase(found);
  --Size;
  if (works.empty()) {
    Round.remove(caller);
    ByCaller.erase(it);
  }
  return true;
}

std::vector<Work> FairQueue::clear() {
  std::vector<Work> out;
  out.reserve(Size);
  for (const auto &caller : Round)
    for (auto &work : ByCaller.at(caller).Works)
      out.push_back(std::move(work));
  Round.clear();
  ByCaller.clear();
  Size = 0;
  return out;
}

std::size_t FairQueue::ahead(const CallerId &caller) const {
  auto it = ByCaller.find(caller);
  const std::size_t own = it == ByCaller.end() ? 0 : it->second.Works.size();
  return std::min(Size, (own + 1) * ByCaller.size());
}

} // namespace rosemaryhinge
