// Benchmarks of the request module: events per second, memory per session and request, and the load on a new
// primary when waiting requests are released after a failover.

#include "admission/releasepacer.h"
#include "request/bench/allocations.h"
#include "request/tests/testproxy.h"

#include <benchmark/benchmark.h>
#include <map>

using namespace rosemaryhinge;
using namespace rosemaryhinge::test;

namespace {

/// Complete reads at a replica whose slot this proxy holds. Two events each: arrival and end of execution.
void readHere(benchmark::State &state) {
  TestProxy w;
  std::uint64_t id = 0;
  for (auto _ : state) {
    w.Now += 10us;
    auto read = w.request(++id, true);
    read.Session = Position{1, 900};
    w.ask(read);
    const auto run = w.take<Execute>().at(0);
    w.done(run, {1, 1000}, TargetRole::Replica);
    w.Out.clear();
  }
  state.SetItemsProcessed(state.iterations() * 2);
}
BENCHMARK(readHere);

/// Complete writes with acknowledgement strength replica. Four events each: arrival, end of execution, and
/// two status answers.
void writeHere(benchmark::State &state) {
  TestProxy w;
  std::uint64_t id = 0;
  Lsn end = 1000;
  for (auto _ : state) {
    w.Now += 10us;
    w.ask(w.request(++id, false));
    const auto run = w.take<Execute>().at(0);
    w.done(run, {1, ++end});
    w.replyStatus({1, end});
    w.Out.clear();
  }
  state.SetItemsProcessed(state.iterations() * 4);
}
BENCHMARK(writeHere);

/// Complete writes at an entry proxy without a slot. Two events each: arrival and the answer of the holder.
void writeForwarded(benchmark::State &state) {
  TestProxy w;
  w.Slots.Held.clear();
  std::uint64_t id = 0;
  for (auto _ : state) {
    w.Now += 10us;
    w.ask(w.request(++id, false));
    const auto sent = w.takeForward();
    w.forwarded(sent->first.str().c_str(), Success{}, sent->second.Id);
    w.Out.clear();
  }
  state.SetItemsProcessed(state.iterations() * 2);
}
BENCHMARK(writeForwarded);

/// Memory that remains per idle session. Expected to be near zero, as the caller keeps the session token.
void bytesPerIdleSession(benchmark::State &state) {
  constexpr std::uint64_t Sessions = 10000;
  for (auto _ : state) {
    TestProxy w;
    auto serve = [&](std::uint64_t id) {
      auto read = w.request(id, true);
      read.Caller = CallerId("caller " + std::to_string(id));
      w.ask(read);
      w.done(w.take<Execute>().at(0), {1, 1000}, TargetRole::Replica);
      w.Out.clear();
    };
    for (std::uint64_t it = 1; it <= 100; ++it)
      serve(it);
    const auto before = bench::bytesHeld();
    for (std::uint64_t it = 1; it <= Sessions; ++it)
      serve(100 + it);
    const auto after = bench::bytesHeld();
    state.counters["bytes"] = (static_cast<double>(after) - static_cast<double>(before)) / Sessions;
  }
}
BENCHMARK(bytesPerIdleSession)->Iterations(1);

/// Memory per request while it is forwarded to another proxy.
void bytesPerRequestInFlight(benchmark::State &state) {
  constexpr std::uint64_t Sessions = 5000;
  for (auto _ : state) {
    TestProxy w;
    w.Slots.Held.clear();
    const auto before = bench::bytesHeld();
    for (std::uint64_t it = 1; it <= Sessions; ++it) {
      auto read = w.request(it, true);
      read.Caller = CallerId("caller " + std::to_string(it));
      w.ask(read);
      w.Out.clear();
    }
    state.counters["bytes"] =
        (static_cast<double>(bench::bytesHeld()) - static_cast<double>(before)) / Sessions;
  }
}
BENCHMARK(bytesPerRequestInFlight)->Iterations(1);

/// Three proxies release 600 requests each to a server with 60 connections and 6 ms service time, which can
/// start 10 requests per millisecond. Counts the arrivals per millisecond and the backlog.
void release(benchmark::State &state, ReleasePolicy policy) {
  constexpr std::size_t Senders = 3;
  constexpr std::size_t Waiting = 600;
  constexpr std::int64_t ServerPerMillisecond = 10;
  for (auto _ : state) {
    std::mt19937_64 random(11);
    std::map<std::int64_t, std::int64_t> arrivals;
    for (std::size_t sender = 0; sender < Senders; ++sender) {
      ReleasePacer pacer;
      pacer.startRelease(TimePoint{}, releaseInterval(6ms, 60, Senders), Waiting);
      for (std::size_t it = 0; it < Waiting; ++it)
        ++arrivals[pacer.nextSendTime(TimePoint{}, policy, random).time_since_epoch() / 1ms];
    }
    std::int64_t peak = 0;
    std::int64_t backlog = 0;
    std::int64_t longest = 0;
    for (std::int64_t at = 0; at <= arrivals.rbegin()->first; ++at) {
      const auto now = arrivals.contains(at) ? arrivals[at] : 0;
      peak = std::max(peak, now);
      backlog = std::max<std::int64_t>(0, backlog + now - ServerPerMillisecond);
      longest = std::max(longest, backlog);
    }
    state.counters["peak_per_ms"] = static_cast<double>(peak);
    state.counters["longest_backlog"] = static_cast<double>(longest);
    state.counters["last_at_ms"] = static_cast<double>(arrivals.rbegin()->first);
  }
}
BENCHMARK_CAPTURE(release, plain, ReleasePolicy::Immediate)->Iterations(1);
BENCHMARK_CAPTURE(release, jittered, ReleasePolicy::Jittered)->Iterations(1);
BENCHMARK_CAPTURE(release, paced, ReleasePolicy::Paced)->Iterations(1);

} // namespace

BENCHMARK_MAIN();
