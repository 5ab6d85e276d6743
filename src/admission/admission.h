// Admission: which request runs, waits or is refused.

#pragma once

#include "admission/classmeter.h"
#include "admission/concurrencylimit.h"
#include "admission/fairqueue.h"
#include "admission/releasepacer.h"
#include "admission/retrybudget.h"
#include "protocol/policy.h"
#include "request/requestoptions.h"

#include <array>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace rosemaryhinge {

/// What the time on a connection says.
enum class DurationKind : std::uint8_t {
  None,            ///< Cut short.
  TransactionTime, ///< How long a transaction kept the connection, its caller's pauses included.
  ExecutionTime,   ///< How long the server took.
};

class Admission {
public:
  explicit Admission(QueuePolicy policy) : Policy(policy) {}

  /// Queues the work for the target. If it is refused instead, returns the time after which to try again.
  std::optional<Duration> enqueue(TimePoint now, const DatabasePolicy &policy, const TargetId &target,
                                  std::uint32_t capacity, AdmissionRequest request);
  /// True if a queued request may start on a connection of the target.
  [[nodiscard]] bool canStart(TimePoint now, const DatabasePolicy &policy, const TargetId &target,
                              std::uint32_t capacity);
  /// Takes out the request to start next. Work that can no longer meet its deadline goes to late.
  std::optional<AdmissionRequest> startNext(TimePoint now, const DatabasePolicy &policy,
                                            const TargetId &target, std::uint32_t capacity,
                                            std::vector<AdmissionRequest> &late);
  /// The request left its connection.
  void onFinished(TimePoint now, std::uint64_t id, std::uint32_t capacity, DurationKind kind);
  /// Takes a request out of its queue.
  void remove(std::uint64_t id);
  /// Takes out everything that waits for the target.
  std::vector<AdmissionRequest> removeAll(const TargetId &target);

  /// Lane and expected cost of a class.
  void classify(const DatabasePolicy &policy, const ClassPolicy &classPolicy, AdmissionRequest &request);
  void addRetryTokens(const DatabaseId &database, double share) { Budgets[database].add(share); }
  bool takeRetryToken(const DatabaseId &database);
  ReleasePacer &pacer(const DatabaseId &database) { return Pacers[database]; }
  /// Mean time on a connection of the target in the lane.
  [[nodiscard]] Duration meanServiceTime(const TargetId &target, Lane lane) const;

  [[nodiscard]] std::vector<TargetId> waitingTargets() const;
  /// Requests of the lane that wait for the target.
  [[nodiscard]] std::size_t queued(const TargetId &target, Lane lane) const;
  /// Lane of a class, declared or measured.
  [[nodiscard]] Lane laneFor(const DatabasePolicy &policy, const ClassPolicy &classPolicy,
                             const AdmissionRequest &request);

private:
  struct Running {
    AdmissionRequest Request;
    TargetId Target;
    TimePoint StartedAt;
    bool OverdueRecorded = false; ///< Its class already counts it as longer than the limit.
  };
  struct TargetState {
    std::array<FairQueue, 3> Queues; ///< Short, long, and short work that waits for its class to be measured.
    std::array<Duration, 2> MeanServiceTime = {5ms, 500ms};
    ConcurrencyLimit Limit;
    std::uint32_t ShortRunning = 0;
    double ShortDemand = 0;                     ///< Mean number of connections that short work uses.
    std::map<std::uint64_t, TimePoint> Started; ///< Requests on connections, with their starts.
  };

  [[nodiscard]] bool lanes() const { return Policy == QueuePolicy::FairLanes; }
  [[nodiscard]] std::uint32_t concurrencyLimit(const TargetState &state, std::uint32_t capacity) const;
  /// Connections taken by long work, declared or not.
  [[nodiscard]] std::uint32_t longRunning(TimePoint now, const TargetState &state, Duration longAfter);
  /// Connections that long work may use at present.
  [[nodiscard]] static std::uint32_t longLimit(const DatabasePolicy &policy, const TargetState &state,
                                               std::uint32_t capacity);
  [[nodiscard]] std::optional<Lane> nextLane(TimePoint now, const DatabasePolicy &policy, TargetState &state,
                                             std::uint32_t capacity);
  [[nodiscard]] Duration estimatedWait(const DatabasePolicy &policy, const TargetState &state,
                                       std::uint32_t capacity, const AdmissionRequest &request) const;
  [[nodiscard]] bool missesDeadline(TimePoint now, const AdmissionRequest &request) const;
  /// True if the class was never measured and has its share of the short lane already.
  [[nodiscard]] bool exceedsUnmeasuredLimit(const TargetState &state, const AdmissionRequest &request,
                                            std::uint32_t capacity);
  ClassMeter &meter(const AdmissionRequest &request);
  void addToQueue(const TargetId &target, TargetState &state, std::size_t queue, AdmissionRequest request);
  AdmissionRequest popFrom(TargetState &state, std::size_t queue);

  QueuePolicy Policy;
  std::map<TargetId, TargetState> Targets;
  std::map<std::pair<DatabaseId, ClassName>, ClassMeter> ClassMeters; ///< Bounded: callers choose the names.
  std::map<DatabaseId, RetryBudget> Budgets;
  std::map<DatabaseId, ReleasePacer> Pacers;
  std::map<std::pair<DatabaseId, Lane>, std::size_t> Queued; ///< Bounded by QueueLimit.
  struct QueueLocation {
    TargetId Target;
    std::size_t Queue = 0;
    CallerId Caller;
    DatabaseId Database;
  };
  std::map<std::uint64_t, QueueLocation> QueueLocations; ///< Where each queued request waits.
  std::map<std::uint64_t, Running> InService;
};

} // namespace rosemaryhinge
