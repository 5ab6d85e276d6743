// Deficit round robin.

#include "admission/fairqueue.h"

#include <algorithm>

namespace rosemaryhinge {

namespace {

/// Time on a connection that a caller is granted on each turn.
constexpr Duration Quantum = 10ms;
/// Costs are capped so that a turn comes within this many rounds.
constexpr int MaxRounds = 8;

Duration costOf(const AdmissionRequest &request) {
  return std::clamp<Duration>(request.Cost, 1ms, MaxRounds * Quantum);
}

} // namespace

void FairQueue::push(AdmissionRequest request) {
  auto [it, added] = ByCaller.try_emplace(request.Caller);
  if (added)
    RoundRobin.push_back(request.Caller);
  it->second.Requests.push_back(std::move(request));
  ++Size;
}

std::optional<AdmissionRequest> FairQueue::pop() {
  while (!RoundRobin.empty()) {
    auto it = ByCaller.find(RoundRobin.front());
    auto &[requests, deficit] = it->second;
    if (deficit < costOf(requests.front())) {
      deficit += Quantum;
      RoundRobin.splice(RoundRobin.end(), RoundRobin, RoundRobin.begin());
      continue;
    }
    deficit -= costOf(requests.front());
    AdmissionRequest out = std::move(requests.front());
    requests.pop_front();
    --Size;
    if (requests.empty()) {
      ByCaller.erase(it);
      RoundRobin.pop_front();
    }
    return out;
  }
  return std::nullopt;
}

bool FairQueue::remove(const CallerId &caller, std::uint64_t id) {
  auto it = ByCaller.find(caller);
  if (it == ByCaller.end())
    return false;
  auto &requests = it->second.Requests;
  auto found =
      std::find_if(requests.begin(), requests.end(), [&](const AdmissionRequest &w) { return w.Id == id; });
  if (found == requests.end())
    return false;
  requests.erase(found);
  --Size;
  if (requests.empty()) {
    RoundRobin.remove(caller);
    ByCaller.erase(it);
  }
  return true;
}

std::vector<AdmissionRequest> FairQueue::clear() {
  std::vector<AdmissionRequest> out;
  out.reserve(Size);
  for (const auto &caller : RoundRobin)
    for (auto &request : ByCaller.at(caller).Requests)
      out.push_back(std::move(request));
  RoundRobin.clear();
  ByCaller.clear();
  Size = 0;
  return out;
}

std::size_t FairQueue::countAhead(const CallerId &caller) const {
  auto it = ByCaller.find(caller);
  const std::size_t own = it == ByCaller.end() ? 0 : it->second.Requests.size();
  return std::min(Size, (own + 1) * ByCaller.size());
}

} // namespace rosemaryhinge
