// Tests of the pace of a server, played against a simulated server with a queue.

#include "links/serverpace.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <utility>
#include <vector>

using namespace rosemaryhinge;

namespace {

constexpr Duration ServiceTime = 10ms;
/// Statements that a simulated server runs at a time.
constexpr std::size_t Slots = 5;

/// Two peers that have answered 20 reads each in ServiceTime.
class Peers {
public:
  explicit Peers(TimePoint now, std::size_t failuresEach = 0) {
    for (auto &it : Paces)
      for (std::size_t n = 0; n < 20; ++n)
        static_cast<void>(n < failuresEach ? it.onFailure({}, now) : it.onSuccess(now, ServiceTime, {}, now));
  }
  PeerMeasure measure(TimePoint now) const {
    const std::array<const ServerPace *, 2> all{&Paces[0], &Paces[1]};
    return measurePeers(all, now);
  }

private:
  std::array<ServerPace, 2> Paces;
};

/// A proxy that always has Wanted statements for one server, in steps of 1 ms.
class Play {
public:
  void run(Duration time) {
    for (const auto end = Now + time; Now < end; Now += 1ms) {
      answer();
      begin();
    }
  }
  std::size_t takeGiven() { return std::exchange(Given, 0); }
  std::size_t count(PaceChange change) const {
    return static_cast<std::size_t>(std::count(Changes.begin(), Changes.end(), change));
  }
  void record(PaceChange change) {
    if (change != PaceChange::None)
      Changes.push_back(change);
  }

  ServerPace Pace;
  TimePoint Now{50s};
  Duration Service = ServiceTime;
  std::size_t Wanted = 40;
  std::size_t MaxQueue = 1'000; ///< Work in progress beyond which the server answers BUSY.
  std::size_t FailEach = 0;     ///< Every n-th read fails at once; 0 for none.
  bool Writes = false;          ///< The statements have no comparable duration.
  bool Hangs = false;           ///< The server answers nothing; statements are given up after 300 ms.
  std::size_t MostInProgress = 0;
  std::size_t Answered = 0;

private:
  struct Running {
    TimePoint SentAt;
    TimePoint EndsAt;
    bool Fails;
  };

  void answer() {
    const auto peers = Healthy.measure(Now);
    std::erase_if(InProgress, [&](const Running &it) {
      if (Hangs) {
        if (Now - it.SentAt < 300ms)
          return false;
        if (Pace.countsAsSilence(Now - it.SentAt, peers.Typical, Now))
          record(Pace.onFailure(peers, Now));
        return true;
      }
      if (Now < it.EndsAt)
        return false;
      ++Answered;
      record(it.Fails
                 ? Pace.onFailure(peers, Now)
                 : Pace.onSuccess(it.SentAt, Writes ? std::nullopt : std::optional(it.EndsAt - it.SentAt),
                                  peers.Typical, Now));
      return true;
    });
  }
  void begin() {
    while (InProgress.size() < Wanted) {
      if (static_cast<double>(InProgress.size() + 1) > Pace.limit()) {
        Pace.onLimitReached(Now);
        return;
      }
      ++Given;
      if (InProgress.size() >= MaxQueue) {
        record(Pace.onBusy(InProgress.size() + 1, Now));
        return;
      }
      const bool fails = FailEach != 0 && ++Sent % FailEach == 0;
      auto &slot = *std::min_element(FreeAt.begin(), FreeAt.end());
      slot = std::max(slot, Now) + Service;
      InProgress.push_back({Now, fails ? Now + 1ms : slot, fails});
      MostInProgress = std::max(MostInProgress, InProgress.size());
    }
  }

  Peers Healthy{Now};
  std::array<TimePoint, Slots> FreeAt{};
  std::vector<Running> InProgress;
  std::vector<PaceChange> Changes;
  std::size_t Given = 0;
  std::size_t Sent = 0;
};

} // namespace

TEST_CASE("a server that has run for long gets up to 64 statements, and fewer on BUSY, as before") {
  // Guards the deployments that are served by the earlier limit.
  Play play;
  play.Wanted = 100;
  play.run(1ms);
  CHECK(play.takeGiven() == 64);
  ServerPace pace;
  CHECK(pace.onBusy(11, TimePoint{1s}) == PaceChange::Decreased);
  CHECK(pace.limit() == doctest::Approx(8.8));
  CHECK(pace.onBusy(11, TimePoint{1s} + 50ms) == PaceChange::None);
  for (int n = 0; n < 20; ++n)
    static_cast<void>(pace.onBusy(1, TimePoint{2s} + n * 200ms));
  CHECK(pace.limit() == 6);
  static_cast<void>(pace.onSuccess(TimePoint{9s}, ServiceTime, std::nullopt, TimePoint{9s}));
  CHECK(pace.limit() == doctest::Approx(6 + 1.0 / 6));
}

TEST_CASE("slow answers do not change the limit of a server that has run for long") {
  Play play;
  play.Service = 100ms;
  play.run(2s);
  CHECK(play.count(PaceChange::Decreased) == 0);
  CHECK(play.Pace.limit() == ServerPace::MaxLimit);
}

TEST_CASE("a server that has started gets two statements, then twice as many in each service time") {
  // Guards against flooding a server whose caches are empty and whose connections are all new.
  Play play;
  play.record(play.Pace.start(play.Now));
  CHECK(play.count(PaceChange::Started) == 1);
  play.run(1ms);
  CHECK(play.takeGiven() == 2);
  play.run(ServiceTime);
  CHECK(play.takeGiven() == 4);
  play.run(ServiceTime);
  CHECK(play.takeGiven() <= 8);
  // The server is kept busy: in 200 ms, five slots run 100 statements.
  play.run(200ms);
  CHECK(play.Answered >= 90);
}

TEST_CASE("in the start phase, a server's queue stays shorter than two further rounds of work") {
  // Durations between two and three times the typical one hold the limit.
  Play play;
  play.record(play.Pace.start(play.Now));
  play.run(1s);
  CHECK(play.MostInProgress <= 3 * Slots);
  CHECK(play.Pace.restrained());
}

TEST_CASE("the start phase ends once all statements that want to run do") {
  Play play;
  play.Wanted = 6;
  play.record(play.Pace.start(play.Now));
  play.run(100ms);
  CHECK(play.count(PaceChange::Ended) == 1);
  CHECK_FALSE(play.Pace.restrained());
  // Then the limit grows by one for each round of answers.
  const auto limit = play.Pace.limit();
  static_cast<void>(play.Pace.onSuccess(play.Now, ServiceTime, ServiceTime, play.Now));
  CHECK(play.Pace.limit() == doctest::Approx(limit + 1 / limit));
}

TEST_CASE("a recovered server starts again with two statements") {
  Play play;
  play.run(100ms);
  play.Hangs = true;
  play.run(150ms);
  play.Hangs = false;
  play.Wanted = 0;
  play.run(500ms);
  play.takeGiven();
  play.Wanted = 40;
  play.record(play.Pace.start(play.Now));
  play.run(1ms);
  CHECK(play.takeGiven() == 2);
  play.run(300ms);
  CHECK(play.takeGiven() >= 100);
}

TEST_CASE("a started server that is slower than its peers keeps a small limit until it is not") {
  // Guards against filling a cold server's queue: with 40 statements each waited eight service times.
  Play play;
  play.Service = 5 * ServiceTime;
  play.record(play.Pace.start(play.Now));
  play.run(2s);
  CHECK(play.count(PaceChange::Decreased) > 0);
  CHECK(play.Pace.limit() >= 1);
  CHECK(play.Pace.limit() < 2);
  play.takeGiven();
  play.run(1s);
  // One at a time: 20 in a second. It is never left without any work.
  CHECK(play.takeGiven() >= 18);
  CHECK(play.Answered > 0);
  play.Service = ServiceTime;
  play.run(300ms);
  CHECK(play.Pace.limit() >= Slots);
}

TEST_CASE("one slow answer among few does not lower the limit of a started server") {
  Peers peers(TimePoint{50s});
  const auto typical = peers.measure(TimePoint{50s}).Typical;
  REQUIRE(typical);
  for (int slow = 0; slow < 4; ++slow) {
    ServerPace pace;
    static_cast<void>(pace.start(TimePoint{50s}));
    for (int n = 0; n < 4; ++n) {
      pace.onLimitReached(TimePoint{50s});
      CHECK(pace.onSuccess(TimePoint{50s}, n == slow ? 50 * ServiceTime : ServiceTime, typical,
                           TimePoint{50s}) == PaceChange::None);
    }
    CHECK(pace.limit() == 6);
  }
}

TEST_CASE("one failed answer does not lower the limit, and the second one does") {
  Peers peers(TimePoint{50s});
  ServerPace pace;
  static_cast<void>(pace.start(TimePoint{50s}));
  CHECK(pace.onFailure(peers.measure(TimePoint{50s}), TimePoint{50s}) == PaceChange::None);
  CHECK(pace.limit() == 2);
  CHECK(pace.onFailure(peers.measure(TimePoint{50s}), TimePoint{50s}) == PaceChange::Decreased);
  CHECK(pace.limit() == 1.5);
}

TEST_CASE("a server that fails a part of its reads gets one statement at a time until eight are good") {
  // Guards against a server that fails quickly and therefore draws the reads of its healthy peers.
  Play play;
  play.FailEach = 2;
  play.run(200ms);
  CHECK(play.count(PaceChange::Isolated) == 1);
  CHECK(play.Pace.limit() == 1);
  play.takeGiven();
  play.run(1s);
  CHECK(play.takeGiven() <= 200);
  CHECK(play.Pace.isolated());
  play.FailEach = 0;
  play.run(150ms);
  CHECK(play.count(PaceChange::Readmitted) == 1);
  CHECK(play.Pace.limit() > 2);
}

TEST_CASE("a server that fails one read in ten is not isolated") {
  Play play;
  play.FailEach = 10;
  play.run(5s);
  CHECK(play.count(PaceChange::Isolated) == 0);
}

TEST_CASE("few failed answers do not isolate a server, even if all of few failed") {
  Peers peers(TimePoint{50s});
  ServerPace pace;
  for (int n = 0; n < 5; ++n)
    CHECK(pace.onFailure(peers.measure(TimePoint{50s}), TimePoint{50s}) == PaceChange::None);
  CHECK(pace.limit() == ServerPace::MaxLimit);
  CHECK(pace.onFailure(peers.measure(TimePoint{50s}), TimePoint{50s}) == PaceChange::Isolated);
}

TEST_CASE("statements that fail at all servers isolate none, and neither do those of a server alone") {
  // Guards against punishing servers for callers' faulty statements.
  const TimePoint now{50s};
  Peers peers(now, 10);
  for (const auto &measure : {peers.measure(now), PeerMeasure{}}) {
    ServerPace pace;
    for (int n = 0; n < 40; ++n) {
      CHECK(pace.onFailure(measure, now) != PaceChange::Isolated);
      static_cast<void>(pace.onSuccess(now, ServiceTime, measure.Typical, now));
    }
  }
}

TEST_CASE("a server that hangs gets one statement at a time, and all again soon after it answers") {
  Play play;
  play.run(200ms);
  play.Hangs = true;
  play.run(400ms);
  CHECK(play.count(PaceChange::Isolated) == 1);
  play.takeGiven();
  play.run(3s);
  // One statement in each 300 ms; never none.
  CHECK(play.takeGiven() <= 11);
  CHECK(play.Pace.limit() == 1);
  play.Hangs = false;
  play.run(200ms);
  play.takeGiven();
  play.run(200ms);
  CHECK(play.takeGiven() >= 80);
}

TEST_CASE("a statement that was abandoned early is no silence") {
  // Guards against callers that close their connection while a statement runs.
  Play play;
  play.run(100ms);
  CHECK_FALSE(play.Pace.countsAsSilence(2 * ServiceTime, ServiceTime, play.Now));
  CHECK(play.Pace.countsAsSilence(4 * ServiceTime, ServiceTime, play.Now));
  CHECK_FALSE(ServerPace().countsAsSilence(1s, std::nullopt, play.Now));
}

TEST_CASE("the limit of an only primary grows within a few service times") {
  // Guards against starved writes: they have no other server, and no peer to be compared with.
  Play play;
  play.Writes = true;
  play.record(play.Pace.start(play.Now));
  play.run(4 * ServiceTime);
  CHECK(play.Pace.limit() >= 2 * Slots);
  CHECK(play.Answered >= 2 + 4 + 5);
}

TEST_CASE("slow reads on a primary do not keep its writes at a small limit") {
  const TimePoint now{50s};
  ServerPace pace;
  static_cast<void>(pace.start(TimePoint{50s}));
  for (int n = 0; n < 8; ++n)
    static_cast<void>(pace.onSuccess(now, 10 * ServiceTime, ServiceTime, now + n * 200ms));
  REQUIRE(pace.limit() < 2);
  for (int n = 0; n < 4; ++n) {
    pace.onLimitReached(TimePoint{50s});
    static_cast<void>(pace.onSuccess(now, std::nullopt, ServiceTime, now + 2s));
  }
  CHECK(pace.limit() >= 5);
}

TEST_CASE("BUSY lowers a start phase to three quarters, at most once in 100 ms and to no less than one") {
  const TimePoint now{50s};
  ServerPace pace;
  static_cast<void>(pace.start(TimePoint{50s}));
  CHECK(pace.onBusy(2, now) == PaceChange::Decreased);
  CHECK(pace.limit() == 1.5);
  CHECK(pace.onBusy(2, now + 99ms) == PaceChange::None);
  for (int n = 1; n < 20; ++n)
    static_cast<void>(pace.onBusy(2, now + n * 100ms));
  CHECK(pace.limit() == 1);
}

TEST_CASE("a started server that refuses work beyond its capacity is kept busy") {
  Play play;
  play.MaxQueue = 2 * Slots;
  play.record(play.Pace.start(play.Now));
  play.run(1s);
  CHECK(play.Answered >= 400);
}

TEST_CASE("the answers that a server held back while it hung do not raise the limit after its recovery") {
  // Guards against a flood: thirty old answers would have raised the limit to 32 at once.
  const TimePoint now{50s};
  ServerPace pace;
  static_cast<void>(pace.start(now));
  for (int n = 0; n < 30; ++n)
    CHECK(pace.onSuccess(now - 1s, 1s, ServiceTime, now) == PaceChange::None);
  CHECK(pace.limit() == ServerPace::StartLimit);
  CHECK_FALSE(pace.duration(now));
}

TEST_CASE("answers to statements sent before an isolation do not end it") {
  // Guards against a server that fails at once and answers late: its good answers arrive in a row.
  const TimePoint now{50s};
  Peers peers(now);
  ServerPace pace;
  for (int n = 0; n < 6; ++n)
    static_cast<void>(pace.onFailure(peers.measure(now), now));
  REQUIRE(pace.isolated());
  for (int n = 0; n < 30; ++n)
    CHECK(pace.onSuccess(now - 10ms, ServiceTime, ServiceTime, now + 1ms) == PaceChange::None);
  CHECK(pace.isolated());
  for (int n = 0; n < 7; ++n)
    CHECK(pace.onSuccess(now, ServiceTime, ServiceTime, now + 10ms) == PaceChange::None);
  CHECK(pace.onSuccess(now, ServiceTime, ServiceTime, now + 10ms) == PaceChange::Readmitted);
  CHECK(pace.limit() == ServerPace::StartLimit);
}
