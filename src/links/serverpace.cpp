// Limit on the statements in progress at a server, from its answers and the durations of its peers.

#include "links/serverpace.h"

#include <algorithm>
#include <utility>

namespace rosemaryhinge {

namespace {

/// Durations below this multiple of the typical duration let the limit grow.
constexpr int GrowBelow = 2;
/// Durations above this multiple of the typical duration lower the limit.
constexpr int LowerAbove = 3;
/// Factor of a decrease in a start phase.
constexpr double StartPhaseDecrease = 0.75;
constexpr double MinStartLimit = 1;
constexpr Duration LowerInterval = 100ms;

/// Outside a start phase, BUSY sets the limit to the number of links with pending replies times BusyFactor.
/// MinLimit is enough to keep a server busy if this proxy is the only one with work for it.
constexpr double BusyFactor = 0.8;
constexpr double MinLimit = 6;

/// The server is isolated when more than MaxFailures of the last AnswerWindow answers failed. The number is
/// absolute, so that one failure among few answers has no effect.
constexpr std::size_t AnswerWindow = 20;
constexpr std::size_t MaxFailures = AnswerWindow / 4;
/// Answers without which nothing is said about a server's share of failures.
constexpr std::size_t MinAnswers = AnswerWindow / 2;
/// The share of failures that isolates a server is above this multiple of the share at a peer.
constexpr double FailureRatio = 2;
constexpr std::size_t SuccessesToReadmit = 8;
/// Failures in the window that lower the limit of a start phase. A single one only stops its growth.
constexpr std::size_t FailuresToLower = 2;

/// The median of LatestCount durations, of which one or two may be outliers, is compared with the peers.
constexpr std::size_t LatestCount = 5;
constexpr std::size_t MinDurations = 3;
/// Durations that a server's own measure for its peers covers.
constexpr std::size_t MaxDurations = 21;
/// Time for which the durations of a server without new answers serve as a measure for its peers.
constexpr Duration DurationValidity = 5s;
/// Measuring error of a duration: the network time is an estimate. Smaller typical durations count as this.
constexpr Duration Resolution = 1ms;

Duration median(std::vector<Duration> values) {
  const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

} // namespace

PeerMeasure measurePeers(std::span<const ServerPace *const> peers, TimePoint now) {
  PeerMeasure out;
  std::vector<Duration> durations;
  for (const auto *it : peers) {
    if (const auto duration = it->duration(now))
      durations.push_back(*duration);
    if (const auto share = it->failureShare())
      out.FailureShare = std::min(out.FailureShare.value_or(*share), *share);
  }
  if (!durations.empty())
    out.Typical = std::max(Resolution, median(std::move(durations)));
  return out;
}

PaceChange ServerPace::start(TimePoint now) {
  if (Isolated)
    return PaceChange::None;
  Limit = StartLimit;
  RestrainedAt = now;
  onLimitReached(now);
  Durations.clear();
  return std::exchange(Starting, true) ? PaceChange::None : PaceChange::Started;
}

double ServerPace::limit() const { return Isolated ? MinStartLimit : Limit; }

std::optional<Duration> ServerPace::latestDuration() const {
  if (Durations.size() < MinDurations)
    return std::nullopt;
  const auto count = std::min(LatestCount, Durations.size());
  return median({Durations.end() - static_cast<std::ptrdiff_t>(count), Durations.end()});
}

std::optional<Duration> ServerPace::duration(TimePoint now) const {
  if (Isolated || Durations.size() < MinDurations || now - MeasuredAt >= DurationValidity)
    return std::nullopt;
  return median({Durations.begin(), Durations.end()});
}

std::optional<double> ServerPace::failureShare() const {
  if (Answers.size() < MinAnswers)
    return std::nullopt;
  return static_cast<double>(Failures) / static_cast<double>(Answers.size());
}

bool ServerPace::countsAsSilence(Duration waited, std::optional<Duration> typical, TimePoint now) const {
  const auto usual = typical ? typical : duration(now);
  return usual && waited > *usual * LowerAbove;
}

void ServerPace::recordAnswer(bool failed) {
  Answers.push_back(failed);
  Failures += failed ? 1 : 0;
  if (Answers.size() > AnswerWindow) {
    Failures -= Answers.front() ? 1 : 0;
    Answers.erase(Answers.begin());
  }
  SuccessesInRow = failed ? 0 : SuccessesInRow + 1;
}

PaceChange ServerPace::onSuccess(TimePoint sentAt, std::optional<Duration> duration,
                                 std::optional<Duration> typical, TimePoint now) {
  if (restrained() && sentAt < RestrainedAt)
    return PaceChange::None;
  recordAnswer(false);
  if (sentAt > LimitReachedAt)
    ++AnswersSinceLimitReached;
  if (duration) {
    Durations.push_back(*duration);
    MeasuredAt = now;
    if (Durations.size() > MaxDurations)
      Durations.erase(Durations.begin());
  }
  if (Isolated) {
    if (SuccessesInRow < SuccessesToReadmit)
      return PaceChange::None;
    Isolated = false;
    Answers.clear();
    Failures = 0;
    static_cast<void>(start(now));
    return PaceChange::Readmitted;
  }
  if (Starting)
    return adjustStart(duration ? typical : std::nullopt, now);
  Limit = std::min(MaxLimit, Limit + 1 / Limit);
  return PaceChange::None;
}

PaceChange ServerPace::adjustStart(std::optional<Duration> typical, TimePoint now) {
  const auto latest = latestDuration();
  if (typical && latest && *latest > *typical * LowerAbove)
    return lower(now);
  if (typical && latest && *latest >= *typical * GrowBelow)
    return PaceChange::None;
  // Without a measure, as for a write, only BUSY and failures slow the growth: a primary has no substitute.
  // A round of statements was sent and answered without one that had to wait: the limit covers the demand.
  const bool covered = static_cast<double>(AnswersSinceLimitReached) >= LimitReached;
  Limit = std::min(MaxLimit, Limit + 1);
  if (!covered && Limit < MaxLimit)
    return PaceChange::None;
  Starting = false;
  Limit = std::max(MinLimit, Limit);
  return PaceChange::Ended;
}

PaceChange ServerPace::lower(TimePoint now) {
  if (LoweredAt && now - *LoweredAt < LowerInterval)
    return PaceChange::None;
  LoweredAt = now;
  Limit = std::max(MinStartLimit, Limit * StartPhaseDecrease);
  return PaceChange::Decreased;
}

PaceChange ServerPace::onBusy(std::size_t inProgress, TimePoint now) {
  if (Isolated)
    return PaceChange::None;
  if (Starting)
    return lower(now);
  if (LoweredAt && now - *LoweredAt < LowerInterval)
    return PaceChange::None;
  LoweredAt = now;
  Limit = std::max(MinLimit, static_cast<double>(inProgress) * BusyFactor);
  return PaceChange::Decreased;
}

PaceChange ServerPace::onFailure(const PeerMeasure &peers, TimePoint now) {
  recordAnswer(true);
  if (Isolated)
    return PaceChange::None;
  const auto share = static_cast<double>(Failures) / static_cast<double>(Answers.size());
  if (Failures > MaxFailures && peers.FailureShare && share > *peers.FailureShare * FailureRatio) {
    Isolated = true;
    RestrainedAt = now;
    Starting = false;
    return PaceChange::Isolated;
  }
  return Starting && Failures >= FailuresToLower ? lower(now) : PaceChange::None;
}

} // namespace rosemaryhinge
