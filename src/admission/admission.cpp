// Admission by lanes, fair shares and deadlines.

#include "admission/admission.h"

#include <algorithm>

namespace rosemaryhinge {

namespace {

/// Shortest retry-after of a refusal.
constexpr Duration MinRetryAfter = 50ms;
/// Weight of one execution in the mean service time: 1 / MeanDivisor.
constexpr int MeanDivisor = 16;
/// A class that was never measured gets at most this share of the connections in the short lane.
constexpr double UnprovenShare = 0.5;

std::size_t index(Lane lane) { return lane == Lane::Short ? 0 : 1; }

std::uint32_t longLimit(const DatabasePolicy &policy, std::uint32_t capacity) {
  return std::max(1U, static_cast<std::uint32_t>(policy.LongShare * capacity));
}

} // namespace

void Admission::assess(const DatabasePolicy &policy, const ClassPolicy &classPolicy, Work &work) {
  auto &measured = meter(work);
  work.Lane = lanes() ? measured.lane(classPolicy.Lane, policy.LongAfter) : Lane::Short;
  work.Cost = measured.expected();
  if (!lanes())
    work.Caller = CallerId(); // One share for all makes the queue first in, first out.
}

std::optional<Duration> Admission::enqueue(TimePoint now, const DatabasePolicy &policy,
                                           const TargetId &target, std::uint32_t capacity, Work work) {
  auto &state = Targets[target];
  auto &queued = Queued[{work.Database, work.Lane}];
  if (Policy != QueuePolicy::UnboundedRetry) {
    const auto wait = estimatedWait(policy, state, capacity, work);
    if (queued >= policy.QueueLimit)
      return std::max<Duration>(MinRetryAfter, wait);
    if (wait > Duration{} && now + wait + work.Cost + work.After > work.Deadline)
      return std::max<Duration>(MinRetryAfter, wait);
  }
  ++queued;
  Places[work.Id] = {target, work.Lane, work.Caller, work.Database};
  auto &queue = state.Queues[index(work.Lane)];
  queue.push(std::move(work));
  return std::nullopt;
}

bool Admission::wants(TimePoint now, const DatabasePolicy &policy, const TargetId &target,
                      std::uint32_t capacity) {
  auto it = Targets.find(target);
  return it != Targets.end() && laneToServe(now, policy, it->second, capacity);
}

std::optional<Work> Admission::start(TimePoint now, const DatabasePolicy &policy, const TargetId &target,
                                     std::uint32_t capacity, std::vector<Work> &late) {
  auto &state = Targets[target];
  while (auto lane = laneToServe(now, policy, state, capacity)) {
    auto work = state.Queues[index(*lane)].pop();
    --Queued[{work->Database, *lane}];
    Places.erase(work->Id);
    if (tooLate(now, *work)) {
      late.push_back(std::move(*work));
      continue;
    }
    const bool moved =
        lanes() && *lane == Lane::Short &&
        (meter(*work).lane(Lane::Short, policy.LongAfter) == Lane::Long || unproven(state, *work, capacity));
    if (moved) {
      work->Lane = Lane::Long;
      ++Queued[{work->Database, Lane::Long}];
      Places[work->Id] = {target, Lane::Long, work->Caller, work->Database};
      state.Queues[index(Lane::Long)].push(std::move(*work));
      continue;
    }
    state.Started[work->Id] = now;
    InService[work->Id] = {*work, target, now, false};
    return work;
  }
  return std::nullopt;
}

void Admission::finished(TimePoint now, std::uint64_t id, std::uint32_t capacity, Measure measure) {
  auto it = InService.find(id);
  if (it == InService.end())
    return;
  const auto &running = it->second;
  auto &state = Targets[running.Target];
  state.Started.erase(id);
  const auto took = now - running.StartedAt;
  if (measure != Measure::Nothing) {
    auto &own = meter(running.Item);
    if (!running.Noted)
      own.note(took);
    auto &mean = state.Service[index(running.Item.Lane)];
    mean += (took - mean) / MeanDivisor;
    if (auto usual = own.usual(); usual && measure == Measure::Run)
      state.Limit.finished(took, *usual, capacity);
  }
  InService.erase(it);
}

void Admission::remove(std::uint64_t id) {
  auto it = Places.find(id);
  if (it == Places.end())
    return;
  const auto &place = it->second;
  if (Targets[place.Target].Queues[index(place.Lane)].remove(place.Caller, id))
    --Queued[{place.Database, place.Lane}];
  Places.erase(it);
}

std::vector<Work> Admission::drain(const TargetId &target) {
  std::vector<Work> out;
  auto it = Targets.find(target);
  if (it == Targets.end())
    return out;
  for (auto &queue : it->second.Queues)
    for (auto &work : queue.clear()) {
      --Queued[{work.Database, work.Lane}];
      Places.erase(work.Id);
      out.push_back(std::move(work));
    }
  return out;
}

bool Admission::takeRetry(const DatabaseId &database) {
  return Policy == QueuePolicy::UnboundedRetry || Budgets[database].take();
}

Duration Admission::service(const TargetId &target, Lane lane) const {
  auto it = Targets.find(target);
  return it == Targets.end() ? TargetState().Service[index(lane)] : it->second.Service[index(lane)];
}

std::vector<TargetId> Admission::waitingTargets() const {
  std::vector<TargetId> out;
  for (const auto &[target, state] : Targets)
    if (!state.Queues[0].empty() || !state.Queues[1].empty())
      out.push_back(target);
  return out;
}

std::size_t Admission::queued(const TargetId &target) const {
  auto it = Targets.find(target);
  return it == Targets.end() ? 0 : it->second.Queues[0].size() + it->second.Queues[1].size();
}

std::uint32_t Admission::limitOf(const TargetState &state, std::uint32_t capacity) const {
  return lanes() ? state.Limit.limit(capacity) : capacity;
}

std::uint32_t Admission::longRunning(TimePoint now, const TargetState &state, Duration longAfter) {
  std::uint32_t out = 0;
  for (const auto &[id, startedAt] : state.Started) {
    auto &running = InService.at(id);
    const bool overdue = now - startedAt > longAfter;
    if (overdue && !running.Noted) {
      // Counted before it ends, so that a class that was declared short is moved while it still runs.
      running.Noted = true;
      meter(running.Item).note(now - startedAt);
    }
    if (overdue || running.Item.Lane == Lane::Long)
      ++out;
  }
  return out;
}

std::optional<Lane> Admission::laneToServe(TimePoint now, const DatabasePolicy &policy, TargetState &state,
                                           std::uint32_t capacity) {
  const auto &[shortQueue, longQueue] = state.Queues;
  if ((shortQueue.empty() && longQueue.empty()) || state.Started.size() >= limitOf(state, capacity))
    return std::nullopt;
  if (longQueue.empty())
    return Lane::Short;
  const auto running = longRunning(now, state, policy.LongAfter);
  // The first connection of the long lane goes before short work: long work must not starve.
  if (running == 0 || (shortQueue.empty() && running < longLimit(policy, capacity)))
    return Lane::Long;
  return shortQueue.empty() ? std::nullopt : std::optional(Lane::Short);
}

Duration Admission::estimatedWait(const DatabasePolicy &policy, const TargetState &state,
                                  std::uint32_t capacity, const Work &work) const {
  const auto &queue = state.Queues[index(work.Lane)];
  auto concurrency = limitOf(state, capacity);
  if (work.Lane == Lane::Long)
    concurrency = std::min(concurrency, longLimit(policy, capacity));
  const auto ahead = static_cast<Duration::rep>(queue.ahead(work.Caller));
  return state.Service[index(work.Lane)] * ahead / std::max<Duration::rep>(1, concurrency);
}

bool Admission::tooLate(TimePoint now, const Work &work) const {
  if (Policy == QueuePolicy::UnboundedRetry)
    return false;
  return now > work.QueuedAt && now + work.Cost + work.After > work.Deadline;
}

bool Admission::unproven(const TargetState &state, const Work &work, std::uint32_t capacity) {
  if (meter(work).p50())
    return false;
  const auto same = std::count_if(state.Started.begin(), state.Started.end(), [&](const auto &it) {
    const auto &item = InService.at(it.first).Item;
    return item.Class == work.Class && item.Lane == Lane::Short;
  });
  return same >= std::max(1.0, UnprovenShare * capacity);
}

} // namespace rosemaryhinge
