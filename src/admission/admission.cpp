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
constexpr double UnmeasuredShare = 0.25;
/// Classes with a meter of their own; callers name classes freely, so the rest share one.
constexpr std::size_t MaxClassMeters = 1024;
/// Work that is considered again when an execution ends, of that which waits for its class to be measured.
constexpr int RequeuedPerFinish = 4;
/// Weight of one start in the mean number of connections that short work uses.
constexpr double DemandWeight = 1.0 / 256;
/// Connections kept for short work above its mean use, in standard deviations of random arrivals.
constexpr double DemandHeadroom = 2;
/// Part of the long share that short work cannot take.
constexpr double GuaranteedLongFraction = 0.25;

constexpr std::size_t ShortQueue = 0;
constexpr std::size_t LongQueue = 1;
constexpr std::size_t UnmeasuredQueue = 2;

std::size_t index(Lane lane) { return lane == Lane::Short ? ShortQueue : LongQueue; }
Lane laneOf(std::size_t queue) { return queue == LongQueue ? Lane::Long : Lane::Short; }

} // namespace

Lane Admission::laneFor(const DatabasePolicy &policy, const ClassPolicy &classPolicy,
                        const AdmissionRequest &request) {
  return lanes() ? meter(request).lane(classPolicy.Lane, policy.LongAfter) : Lane::Short;
}

void Admission::classify(const DatabasePolicy &policy, const ClassPolicy &classPolicy,
                         AdmissionRequest &request) {
  request.Lane = laneFor(policy, classPolicy, request);
  request.Cost = meter(request).expected();
  if (!lanes())
    request.Caller = CallerId(); // One share for all makes the queue first in, first out.
}

std::optional<Duration> Admission::enqueue(TimePoint now, const DatabasePolicy &policy,
                                           const TargetId &target, std::uint32_t capacity,
                                           AdmissionRequest request) {
  auto &state = Targets[target];
  const auto queued = Queued[{request.Database, request.Lane}];
  if (Policy != QueuePolicy::UnboundedRetry) {
    const auto wait = estimatedWait(policy, state, capacity, request);
    if (queued >= policy.QueueLimit)
      return std::max<Duration>(MinRetryAfter, wait);
    if (wait > Duration{} && now + wait + request.Cost + request.TimeToAnswer > request.Deadline)
      return std::max<Duration>(MinRetryAfter, wait);
  }
  const auto queue = index(request.Lane);
  addToQueue(target, state, queue, std::move(request));
  return std::nullopt;
}

bool Admission::canStart(TimePoint now, const DatabasePolicy &policy, const TargetId &target,
                         std::uint32_t capacity) {
  auto it = Targets.find(target);
  return it != Targets.end() && nextLane(now, policy, it->second, capacity);
}

std::optional<AdmissionRequest> Admission::startNext(TimePoint now, const DatabasePolicy &policy,
                                                     const TargetId &target, std::uint32_t capacity,
                                                     std::vector<AdmissionRequest> &late) {
  auto &state = Targets[target];
  while (auto lane = nextLane(now, policy, state, capacity)) {
    auto request = popFrom(state, index(*lane));
    if (missesDeadline(now, request)) {
      late.push_back(std::move(request));
      continue;
    }
    if (lanes() && *lane == Lane::Short) {
      if (meter(request).lane(Lane::Short, policy.LongAfter) == Lane::Long) {
        request.Lane = Lane::Long;
        addToQueue(target, state, LongQueue, std::move(request));
        continue;
      }
      if (exceedsUnmeasuredLimit(state, request, capacity)) {
        addToQueue(target, state, UnmeasuredQueue, std::move(request));
        continue;
      }
    }
    state.Started[request.Id] = now;
    if (request.Lane == Lane::Short) {
      ++state.ShortRunning;
      state.ShortDemand += (state.ShortRunning - state.ShortDemand) * DemandWeight;
    }
    InService[request.Id] = {request, target, now, false};
    return request;
  }
  return std::nullopt;
}

void Admission::onFinished(TimePoint now, std::uint64_t id, std::uint32_t capacity, DurationKind kind) {
  auto it = InService.find(id);
  if (it == InService.end())
    return;
  const auto &running = it->second;
  const auto target = running.Target;
  auto &state = Targets[target];
  state.Started.erase(id);
  if (running.Request.Lane == Lane::Short)
    --state.ShortRunning;
  const auto took = now - running.StartedAt;
  if (kind != DurationKind::None) {
    auto &classMeter = meter(running.Request);
    if (!running.OverdueRecorded)
      classMeter.record(took);
    auto &mean = state.MeanServiceTime[index(running.Request.Lane)];
    mean += (took - mean) / MeanDivisor;
    // Long work takes what its data takes; only short work shows how loaded the server is.
    const bool reflectsServerLoad = kind == DurationKind::ExecutionTime &&
                                    running.Request.Lane == Lane::Short && !running.OverdueRecorded;
    if (auto baseline = classMeter.baseline(); baseline && reflectsServerLoad)
      state.Limit.recordExecution(took, *baseline, capacity);
  }
  InService.erase(it);
  for (int n = 0; n < RequeuedPerFinish && !state.Queues[UnmeasuredQueue].empty(); ++n) {
    auto request = popFrom(state, UnmeasuredQueue);
    addToQueue(target, state, ShortQueue, std::move(request));
  }
}

void Admission::remove(std::uint64_t id) {
  auto it = QueueLocations.find(id);
  if (it == QueueLocations.end())
    return;
  const auto &location = it->second;
  if (Targets[location.Target].Queues[location.Queue].remove(location.Caller, id))
    --Queued[{location.Database, laneOf(location.Queue)}];
  QueueLocations.erase(it);
}

std::vector<AdmissionRequest> Admission::removeAll(const TargetId &target) {
  std::vector<AdmissionRequest> out;
  auto it = Targets.find(target);
  if (it == Targets.end())
    return out;
  for (auto &queue : it->second.Queues)
    for (auto &request : queue.clear()) {
      --Queued[{request.Database, request.Lane}];
      QueueLocations.erase(request.Id);
      out.push_back(std::move(request));
    }
  return out;
}

bool Admission::takeRetryToken(const DatabaseId &database) {
  return Policy == QueuePolicy::UnboundedRetry || Budgets[database].take();
}

Duration Admission::meanServiceTime(const TargetId &target, Lane lane) const {
  auto it = Targets.find(target);
  return it == Targets.end() ? TargetState().MeanServiceTime[index(lane)]
                             : it->second.MeanServiceTime[index(lane)];
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
                            : queues[ShortQueue].size() + queues[UnmeasuredQueue].size();
}

std::uint32_t Admission::concurrencyLimit(const TargetState &state, std::uint32_t capacity) const {
  return lanes() ? state.Limit.limit(capacity) : capacity;
}

std::uint32_t Admission::longRunning(TimePoint now, const TargetState &state, Duration longAfter) {
  std::uint32_t out = 0;
  for (const auto &[id, startedAt] : state.Started) {
    auto &running = InService.at(id);
    const bool overdue = now - startedAt > longAfter;
    if (overdue && !running.OverdueRecorded) {
      // Counted before it ends, so that a class that was declared short is moved while it still runs.
      running.OverdueRecorded = true;
      meter(running.Request).record(now - startedAt);
    }
    if (overdue || running.Request.Lane == Lane::Long)
      ++out;
  }
  return out;
}

std::optional<Lane> Admission::nextLane(TimePoint now, const DatabasePolicy &policy, TargetState &state,
                                        std::uint32_t capacity) {
  const auto &shortQueue = state.Queues[ShortQueue];
  const auto &longQueue = state.Queues[LongQueue];
  if ((shortQueue.empty() && longQueue.empty()) || state.Started.size() >= concurrencyLimit(state, capacity))
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
  const double room = std::clamp(capacity - used, share * GuaranteedLongFraction, share);
  return std::max(1U, static_cast<std::uint32_t>(room));
}

Duration Admission::estimatedWait(const DatabasePolicy &policy, const TargetState &state,
                                  std::uint32_t capacity, const AdmissionRequest &request) const {
  const auto &queue = state.Queues[index(request.Lane)];
  auto concurrency = concurrencyLimit(state, capacity);
  if (request.Lane == Lane::Long)
    concurrency = std::min(concurrency, longLimit(policy, state, capacity));
  const auto ahead = static_cast<Duration::rep>(queue.countAhead(request.Caller));
  return state.MeanServiceTime[index(request.Lane)] * ahead / std::max<Duration::rep>(1, concurrency);
}

ClassMeter &Admission::meter(const AdmissionRequest &request) {
  auto it = ClassMeters.find({request.Database, request.Class});
  if (it != ClassMeters.end())
    return it->second;
  return ClassMeters[{request.Database, ClassMeters.size() < MaxClassMeters ? request.Class : ClassName()}];
}

void Admission::addToQueue(const TargetId &target, TargetState &state, std::size_t queue,
                           AdmissionRequest request) {
  ++Queued[{request.Database, laneOf(queue)}];
  QueueLocations[request.Id] = {target, queue, request.Caller, request.Database};
  state.Queues[queue].push(std::move(request));
}

AdmissionRequest Admission::popFrom(TargetState &state, std::size_t queue) {
  auto out = *state.Queues[queue].pop();
  --Queued[{out.Database, laneOf(queue)}];
  QueueLocations.erase(out.Id);
  return out;
}

bool Admission::missesDeadline(TimePoint now, const AdmissionRequest &request) const {
  if (Policy == QueuePolicy::UnboundedRetry)
    return false;
  return now > request.QueuedAt && now + request.Cost + request.TimeToAnswer > request.Deadline;
}

bool Admission::exceedsUnmeasuredLimit(const TargetState &state, const AdmissionRequest &request,
                                       std::uint32_t capacity) {
  if (meter(request).p50())
    return false;
  const auto sameClassRunning =
      std::count_if(state.Started.begin(), state.Started.end(), [&](const auto &it) {
        const auto &running = InService.at(it.first).Request;
        return running.Class == request.Class && running.Lane == Lane::Short;
      });
  return sameClassRunning >= std::max(1.0, UnmeasuredShare * capacity);
}

} // namespace rosemaryhinge
