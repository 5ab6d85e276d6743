// Tests of the expected wait in a queue.

#include "sessions/internal/waitestimator.h"

#include <doctest/doctest.h>

using namespace rosemaryhinge;
using namespace rosemaryhinge::detail;

namespace {

const TimePoint Start{100s};

/// Queues statements and starts one each interval, for one second.
void serve(WaitEstimator &queue, std::size_t queued, Duration interval) {
  for (std::size_t n = 0; n < queued; ++n)
    queue.onQueued(2, Start);
  for (auto at = Start; at < Start + 1s; at += interval)
    queue.onStarted(at);
}

} // namespace

TEST_CASE("the expected wait is the queue ahead over the rate at which statements are started") {
  WaitEstimator queue;
  serve(queue, 50, 20ms);
  const auto wait = queue.expected(2, Start + 1s);
  CHECK((wait > 900ms));
  CHECK((wait < 1200ms));
}

TEST_CASE("a statement of a higher priority waits only for those of its own") {
  WaitEstimator queue;
  serve(queue, 50, 20ms);
  CHECK((queue.expected(0, Start + 1s) == 0ms));
}

TEST_CASE("nothing is expected of a queue that is short, new, or held up by a fault") {
  WaitEstimator queue;
  serve(queue, WaitEstimator::MinQueue - 1, 20ms);
  CHECK((queue.expected(2, Start + 1s) == 0ms));
  WaitEstimator fresh;
  for (int n = 0; n < 50; ++n)
    fresh.onQueued(2, Start);
  fresh.onStarted(Start);
  CHECK((fresh.expected(2, Start + 100ms) == 0ms));
  // Nothing is started for a second: statements wait for the end of the fault.
  CHECK((fresh.expected(2, Start + 3s) == 0ms));
}

TEST_CASE("statements that leave the queue no longer count") {
  WaitEstimator queue;
  serve(queue, 50, 20ms);
  for (int n = 0; n < 50; ++n)
    queue.onRemoved(2);
  CHECK((queue.expected(2, Start + 1s) == 0ms));
}
