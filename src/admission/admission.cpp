// Admission by lanes, fair shares and deadlines.

#include "admission/admission.h"

#include <algorithm>
#include <cmath>

namespace rosemaryhinge {

namespace {

/// Shortest retry-after of a refusal.
constexpr Duration MinRetryAfter = 50ms;
/// Weight of one execution in the mean service time: 1 / MeanDivisor.
constexpr int MeanDivisor = 16;
/// A class that was never measured gets at most this share of the connections in the short lane.
constexpr double UnprovenShare = 0.25;
/// Classes with a meter of their own; callers name classes freely, so the rest share one.
constexpr std::size_t MaxMeters = 1024;
/// Work that is considered again when an execution ends, of that which waits for its class to be measured.
constexpr int UnprovenPerFinish = 4;
/// Weight of one start in the mean number of connections that short work uses.
constexpr double DemandWeight = 1.0 / 256;
/// Connections kept for short work above its mean use, in standard deviations of random arrivals.
constexpr double DemandHeadroom = 2;
/// Part of the long share that short work cannot take.
constexpr double GuaranteedPart = 0.25;

constexpr std::size_t ShortQueue = 0;
constexpr std::size_t LongQueue = 1;
constexpr std::size_t UnprovenQueue = 2;

std::size_t index(Lane lane) { return lane == Lane::Short ? ShortQueue : LongQueue; }
Lane laneOf(std::size_t queue) { return queue == LongQueue ? Lane::Long : Lane::Short; }

} // namespace

Lane Admission::laneFor(const DatabasePolicy &policy, const ClassPolicy &classPolicy, const Work &work) {
  return lanes() ? meter(work).lane(classPolicy.Lane, policy.LongAfter) : Lane::Short;
}

void Admission::assess(const DatabasePolicy &policy, const ClassPolicy &classPolicy, Work &work) {
  work.Lane = laneFor(policy, classPolicy, work);
  work.Cost = meter(work).expected();
  if (!lanes())
    work.Caller = CallerId(); // One share for all makes the queue first in, first out.
}

std::optional<Duration> Admission::enqueue(TimePoint now, const DatabasePolicy &policy,
                                           const TargetId &target, std::uint32_t capacity, Work work) {
  auto &state = Targets[target];
  const auto queued = Queued[{work.Database, work.Lane}];
  if (Policy != QueuePolicy::UnboundedRetry) {
    const auto wait = estimatedWait(policy, state, capacity, work);
    if (queued >= policy.QueueLimit)
      return std::max<Duration>(MinRetryAfter, wait);
    if (wait > Duration{} && now + wait + work.Cost + work.After > work.Deadline)
      return std::max<Duration>(MinRetryAfter, wait);
  }
  const auto queue = index(work.Lane);
  place(target, state, queue, std::move(work));
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
    auto work = takeFrom(state, index(*lane));
    if (tooLate(now, work)) {
      late.push_back(std::move(work));
      continue;
    }
    if (lanes() && *lane == Lane::Short) {
      if (meter(work).lane(Lane::Short, policy.LongAfter) == Lane::Long) {
        work.Lane = Lane::Long;
        place(target, state, LongQueue, std::move(work));
        continue;
      }
      if (unproven(state, work, capacity)) {
        place(target, state, UnprovenQueue, std::move(work));
        continue;
      }
    }
    state.Started[work.Id] = now;
    if (work.Lane == Lane::Short) {
      ++state.ShortRunning;
      state.ShortDemand += (state.ShortRunning - state.ShortDemand) * DemandWeight;
    }
    InService[work.Id] = {work, target, now, false};
    return work;
  }
  return std::nullopt;
}

void Admission::finished(TimePoint now, std::uint64_t id, std::uint32_t capacity, Measure measure) {
  auto it = InService.find(id);
  if (it == InService.end())
    return;
  const auto &running = it->second;
  const auto target = running.Target;
  auto &state = Targets[target];
  state.Started.erase(id);
  if (running.Item.Lane == Lane::Short)
    --state.ShortRunning;
  const auto took = now - running.StartedAt;
  if (measure != Measure::Nothing) {
    auto &own = meter(running.Item);
    if (!running.Noted)
      own.note(took);
    auto &mean = state.Service[index(running.Item.Lane)];
    mean += (took - mean) / MeanDivisor;
    // Long work takes what its data takes; only short work shows how loaded the server is.
    const bool shows = measure == Measure::Run && running.Item.Lane == Lane::Short && !running.Noted;
    if (auto usual = own.usual(); usual && shows)
      state.Limit.finished(took, *usual, capacity);
  }
  InService.erase(it);
  for (int n = 0; n < UnprovenPerFinish && !state.Queues[UnprovenQueue].empty(); ++n) {
    auto work = takeFrom(state, UnprovenQueue);
    place(target, state, ShortQueue, std::move(work));
  }
}

void Admission::remove(std::uint64_t id) {
  auto it = Places.find(id);
  if (it == Places.end())
    return;
  const auto &place = it->second;
  if (Targets[place.Target].Queues[place.Queue].remove(place.Caller, id))
    --Queued[{place.Database, laneOf(place.Queue)}];
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
    if (!state.Queues[ShortQueue].empty() || !state.Queues[LongQueue].empty())
      out.push_back(target);
  return out;
}

std::size_t Admission::queued(const TargetId &target, Lane lane) const {
  auto it = Targets.find(target);
  if (it == Targets.end())
    return 0;
  const auto &queues = it->second.Queues;
  return lane == Lane::Long ? queues[LongQueue].size()
                            : queues[ShortQueue].size() + queues[UnprovenQueue].size();
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
  const auto &shortQueue = state.Queues[ShortQueue];
  const auto &longQueue = state.Queues[LongQueue];
  if ((shortQueue.empty() && longQueue.empty()) || state.Started.size() >= limitOf(state, capacity))
    return std::nullopt;
  if (longQueue.empty())
    return Lane::Short;
  const auto running = longRunning(now, state, policy.LongAfter);
  // The first connection of the long lane goes before short work: long work must not starve.
  if (running == 0 || (shortQueue.empty() && running < longLimit(policy, state, capacity)))
    return Lane::Long;
  return shortQueue.empty() ? std::nullopt : std::optional(Lane::Short);
}

std::uint32_t Admission::longLimit(const DatabasePolicy &policy, const TargetState &state,
                                   std::uint32_t capacity) {
  const double share = policy.LongShare * capacity;
  const double used = state.ShortDemand + DemandHeadroom * std::sqrt(state.ShortDemand);
  const double room = std::clamp(capacity - used, share * GuaranteedPart, share);
  return std::max(1U, static_cast<std::uint32_t>(room));
}

Duration Admission::estimatedWait(const DatabasePolicy &policy, const TargetState &state,
                                  std::uint32_t capacity, const Work &work) const {
  const auto &queue = state.Queues[index(work.Lane)];
  auto concurrency = limitOf(state, capacity);
  if (work.Lane == Lane::Long)
    concurrency = std::min(concurrency, longLimit(policy, state, capacity));
  const auto ahead = static_cast<Duration::rep>(queue.ahead(work.Caller));
  return state.Service[index(work.Lane)] * ahead / std::max<Duration::rep>(1, concurrency);
}

ClassMeter &Admission::meter(const Work &work) {
  auto it = Meters.find({work.Database, work.Class});
  if (it != Meters.end())
    return it->second;
  return Meters[{work.Database, Meters.size() < MaxMeters ? work.Class : ClassName()}];
}

void Admission::place(const TargetId &target, TargetState &state, std::size_t queue, Work work) {
  ++Queued[{work.Database, laneOf(queue)}];
  Places[work.Id] = {target, queue, work.Caller, work.Database};
  state.Queues[queue].push(std::move(work));
}

Work Admission::takeFrom(TargetState &state, std::size_t queue) {
  auto out = *state.Queues[queue].pop();
  --Queued[{out.Database, laneOf(queue)}];
  Places.erase(out.Id);
  return out;
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
