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
enum class Measure : std::uint8_t {
  Nothing, ///< Cut short.
  Hold,    ///< How long a transaction kept the connection, its caller's pauses included.
  Run,     ///< How long the server took.
};

class Admission {
public:
  explicit Admission(QueuePolicy policy) : Policy(policy) {}

  /// Queues the work for the target. If it is refused instead, returns the time after which to try again.
  std::optional<Duration> enqueue(TimePoint now, const DatabasePolicy &policy, const TargetId &target,
                                  std::uint32_t capacity, Work work);
  /// True if a queued request may start on a connection of the target.
  [[nodiscard]] bool wants(TimePoint now, const DatabasePolicy &policy, const TargetId &target,
                           std::uint32_t capacity);
  /// Takes out the request to start next. Work that can no longer meet its deadline goes to late.
  std::optional<Work> start(TimePoint now, const DatabasePolicy &policy, const TargetId &target,
                            std::uint32_t capacity, std::vector<Work> &late);
  /// The request left its connection.
  void finished(TimePoint now, std::uint64_t id, std::uint32_t capacity, Measure measure);
  /// Takes a request out of its queue.
  void remove(std::uint64_t id);
  /// Takes out everything that waits for the target.
  std::vector<Work> drain(const TargetId &target);

  /// Lane and expected cost of a class.
  void assess(const DatabasePolicy &policy, const ClassPolicy &classPolicy, Work &work);
  void earnRetry(const DatabaseId &database, double share) { Budgets[database].earn(share); }
  bool takeRetry(const DatabaseId &database);
  ReleasePacer &pacer(const DatabaseId &database) { return Pacers[database]; }
  /// Mean time on a connection of the target in the lane.
  [[nodiscard]] Duration service(const TargetId &target, Lane lane) const;

  [[nodiscard]] std::vector<TargetId> waitingTargets() const;
  /// Requests of the lane that wait for the target.
  [[nodiscard]] std::size_t queued(const TargetId &target, Lane lane) const;
  /// Lane of a class, declared or measured.
  [[nodiscard]] Lane laneFor(const DatabasePolicy &policy, const ClassPolicy &classPolicy, const Work &work);

private:
  struct Running {
    Work Item;
    TargetId Target;
    TimePoint StartedAt;
    bool Noted = false; ///< Its class already counts it as longer than the limit.
  };
  struct TargetState {
    std::array<FairQueue, 3> Queues; ///< Short, long, and short work that waits for its class to be measured.
    std::array<Duration, 2> Service = {5ms, 500ms};
    ConcurrencyLimit Limit;
    std::uint32_t ShortRunning = 0;
    double ShortDemand = 0;                     ///< Mean number of connections that short work uses.
    std::map<std::uint64_t, TimePoint> Started; ///< Requests on connections, with their starts.
  };

  [[nodiscard]] bool lanes() const { return Policy == QueuePolicy::FairLanes; }
  [[nodiscard]] std::uint32_t limitOf(const TargetState &state, std::uint32_t capacity) const;
  /// Connections taken by long work, declared or not.
  [[nodiscard]] std::uint32_t longRunning(TimePoint now, const TargetState &state, Duration longAfter);
  /// Connections that long work may use at present.
  [[nodiscard]] static std::uint32_t longLimit(const DatabasePolicy &policy, const TargetState &state,
                                               std::uint32_t capacity);
  [[nodiscard]] std::optional<Lane> laneToServe(TimePoint now, const DatabasePolicy &policy,
                                                TargetState &state, std::uint32_t capacity);
  [[nodiscard]] Duration estimatedWait(const DatabasePolicy &policy, const TargetState &state,
                                       std::uint32_t capacity, const Work &work) const;
  [[nodiscard]] bool tooLate(TimePoint now, const Work &work) const;
  /// True if the class was never measured and has its share of the short lane already.
  [[nodiscard]] bool unproven(const TargetState &state, const Work &work, std::uint32_t capacity);
  ClassMeter &meter(const Work &work);
  void place(const TargetId &target, TargetState &state, std::size_t queue, Work work);
  Work takeFrom(TargetState &state, std::size_t queue);

  QueuePolicy Policy;
  std::map<TargetId, TargetState> Targets;
  std::map<std::pair<DatabaseId, ClassName>, ClassMeter> Meters; ///< Bounded: callers choose the names.
  std::map<DatabaseId, RetryBudget> Budgets;
  std::map<DatabaseId, ReleasePacer> Pacers;
  std::map<std::pair<DatabaseId, Lane>, std::size_t> Queued; ///< Bounded by QueueLimit.
  struct Place {
    TargetId Target;
    std::size_t Queue = 0;
    CallerId Caller;
    DatabaseId Database;
  };
  std::map<std::uint64_t, Place> Places; ///< Where each queued request waits.
  std::map<std::uint64_t, Running> InService;
};

} // namespace rosemaryhinge
