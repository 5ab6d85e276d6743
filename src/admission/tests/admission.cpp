// Admission under overload, long work and uneven callers.

#include "admission/admission.h"

#include <doctest/doctest.h>
#include <map>

using namespace rosemaryhinge;

namespace {

const TargetId Server("s");
constexpr std::uint32_t Connections = 10;

struct Fixture {
  DatabasePolicy Policy;
  Admission Queue{QueuePolicy::FairLanes};
  TimePoint Now{10s};
  std::uint64_t NextId = 0;

  bool offer(const char *caller, const char *name, Lane declared = Lane::Short, Duration deadline = 5s) {
    ClassPolicy classPolicy;
    classPolicy.Lane = declared;
    AdmissionRequest request{
        ++NextId, CallerId(caller), DatabaseId("d"), ClassName(name), declared, Now + deadline, Now, {}, {}};
    Queue.classify(Policy, classPolicy, request);
    return !Queue.enqueue(Now, Policy, Server, Connections, request);
  }
  std::vector<AdmissionRequest> startAll() {
    std::vector<AdmissionRequest> out;
    std::vector<AdmissionRequest> late;
    while (auto request = Queue.startNext(Now, Policy, Server, Connections, late))
      out.push_back(*request);
    return out;
  }
  /// Runs n executions of a class, one after the other.
  void measure(const char *name, int n, Duration took) {
    for (int it = 0; it < n; ++it) {
      offer("m", name);
      auto requests = startAll();
      Now += took;
      for (const auto &request : requests)
        Queue.onFinished(Now, request.Id, Connections, DurationKind::ExecutionTime);
    }
  }
};

std::size_t countOf(const std::vector<AdmissionRequest> &requests, const char *name) {
  return static_cast<std::size_t>(
      std::count_if(requests.begin(), requests.end(),
                    [&](const AdmissionRequest &w) { return w.Class == ClassName(name); }));
}

} // namespace

TEST_CASE_FIXTURE(Fixture, "long work leaves connections to short work") {
  measure("quick", 20, 5ms);
  for (int it = 0; it < 30; ++it)
    offer("a", "settlement", Lane::Long, 600s);
  CHECK(startAll().size() == 4);
  // Routing compares servers by this: a backlog of long work must not send short work to a busier one.
  CHECK(Queue.queued(Server, Lane::Short) == 0);
  CHECK(Queue.queued(Server, Lane::Long) == 26);
  offer("b", "quick");
  CHECK(countOf(startAll(), "quick") == 1);
}

TEST_CASE_FIXTURE(Fixture, "a class that was declared short and runs long is held to the long share") {
  measure("extract", 20, 900ms);
  for (int it = 0; it < 30; ++it)
    offer("a", "extract", Lane::Short, 600s);
  CHECK(startAll().size() == 4);
}

TEST_CASE_FIXTURE(Fixture, "a burst of a class that was never measured cannot take all connections") {
  for (int it = 0; it < 30; ++it)
    offer("a", "new", Lane::Short, 600s);
  const auto started = startAll().size();
  CHECK(started < Connections);
  Now += 300ms; // All of it turns out to be long.
  measure("quick", 1, 5ms);
  CHECK(countOf(startAll(), "new") == 0);
}

TEST_CASE_FIXTURE(Fixture, "a caller with a thousand requests does not delay a caller with one") {
  measure("quick", 20, 5ms);
  for (int it = 0; it < 1000; ++it)
    offer("greedy", "quick");
  offer("modest", "quick");
  const auto requests = startAll();
  CHECK(std::any_of(requests.begin(), requests.end(),
                    [](const AdmissionRequest &w) { return w.Caller == CallerId("modest"); }));
}

TEST_CASE_FIXTURE(Fixture, "work that cannot meet its deadline is refused early, not after its wait") {
  measure("quick", 40, 10ms);
  int admitted = 0;
  for (int it = 0; it < 1000; ++it)
    admitted += offer("a", "quick", Lane::Short, 100ms) ? 1 : 0;
  CHECK(admitted > 0);
  CHECK(admitted <= 100); // 100 ms at 10 connections and 10 ms each.
  Now += 99ms;
  std::vector<AdmissionRequest> late;
  CHECK_FALSE(Queue.startNext(Now, Policy, Server, Connections, late));
  CHECK(late.size() == static_cast<std::size_t>(admitted));
}

TEST_CASE_FIXTURE(Fixture, "the queue of a lane is bounded for the database") {
  Policy.QueueLimit = 50;
  int admitted = 0;
  for (int it = 0; it < 100; ++it)
    admitted += offer("a", "quick", Lane::Short, 600s) ? 1 : 0;
  CHECK(admitted == 50);
  CHECK(Queue.removeAll(Server).size() == 50);
  CHECK(offer("a", "quick", Lane::Short, 600s));
}

TEST_CASE_FIXTURE(Fixture, "concurrency falls while latency rises and recovers") {
  ConcurrencyLimit limit;
  for (int it = 0; it < 64; ++it)
    limit.recordExecution(100ms, 5ms, 20);
  CHECK(limit.limit(20) < 12);
  CHECK(limit.limit(20) >= 5);
  for (int it = 0; it < 64 * 20; ++it)
    limit.recordExecution(5ms, 5ms, 20);
  CHECK(limit.limit(20) == 20);
}

TEST_CASE("retries end when their budget is spent") {
  Admission queue(QueuePolicy::FairLanes);
  int taken = 0;
  while (queue.takeRetryToken(DatabaseId("d")))
    ++taken;
  CHECK(taken == 20);
  for (int it = 0; it < 9; ++it)
    queue.addRetryTokens(DatabaseId("d"), 0.1);
  CHECK_FALSE(queue.takeRetryToken(DatabaseId("d")));
  queue.addRetryTokens(DatabaseId("d"), 0.11);
  CHECK(queue.takeRetryToken(DatabaseId("d")));
}

TEST_CASE("paced release never sends more than the sender's share") {
  std::mt19937_64 random(7);
  const auto interval = releaseInterval(6ms, 60, 3);
  CHECK(interval == 300us);
  auto busiest = [&](ReleasePolicy policy) {
    ReleasePacer pacer;
    pacer.startRelease(TimePoint{1s}, interval, 600);
    std::map<Duration::rep, int> byMillisecond;
    for (int it = 0; it < 600; ++it)
      ++byMillisecond[pacer.nextSendTime(TimePoint{1s}, policy, random).time_since_epoch() / 1ms];
    int out = 0;
    for (const auto &it : byMillisecond)
      out = std::max(out, it.second);
    return out;
  };
  CHECK(busiest(ReleasePolicy::Paced) <= 4);
  CHECK(busiest(ReleasePolicy::Jittered) > busiest(ReleasePolicy::Paced));
  CHECK(busiest(ReleasePolicy::Immediate) == 600);
}
