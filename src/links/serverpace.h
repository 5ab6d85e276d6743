// Pace at which a server gets work from this proxy: a limit on statements in progress. A server that has
// started or recovered begins with a small limit, which grows with its answers.

#pragma once

#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace rosemaryhinge {

/// What a call changed, for counters and log lines.
enum class PaceChange : std::uint8_t {
  None,
  Started,   ///< The start phase began.
  Decreased, ///< The limit was lowered.
  Ended,     ///< The start phase ended.
  Isolated,  ///< Too many answers failed, so the limit is 1.
  Readmitted ///< Enough answers in a row were good; a start phase follows.
};

class ServerPace;

/// What the other servers of a service show. Nothing is known of peers that have not answered.
struct PeerMeasure {
  std::optional<Duration> Typical;    ///< Median of the durations of the peers.
  std::optional<double> FailureShare; ///< Lowest share of failed answers of a peer.
};
[[nodiscard]] PeerMeasure measurePeers(std::span<const ServerPace *const> peers, TimePoint now);

class ServerPace {
public:
  /// Begins the start phase, for a server that is new or has recovered. An isolated server stays isolated.
  [[nodiscard]] PaceChange start(TimePoint now);
  /// Records a successful answer. Answers to statements sent before the last start or isolation neither raise
  /// the limit nor readmit the server: when a server that hung goes on, they all arrive at once.
  /// \param duration Duration of the statement, if it can be compared with those of other servers.
  /// \param typical Typical duration at the other servers of the service, if known. It is not used unless
  /// restrained().
  [[nodiscard]] PaceChange onSuccess(TimePoint sentAt, std::optional<Duration> duration,
                                     std::optional<Duration> typical, TimePoint now);
  /// Records that the server refused work as busy.
  /// \param inProgress Links with pending replies.
  [[nodiscard]] PaceChange onBusy(std::size_t inProgress, TimePoint now);
  /// Records a statement that failed by the server's fault, or was not answered in time.
  /// A server is isolated only if a peer fails much less: otherwise the statements may be at fault, and there
  /// is no better server for them.
  [[nodiscard]] PaceChange onFailure(const PeerMeasure &peers, TimePoint now);
  /// Records that a statement could not start because of the limit.
  void onLimitReached(TimePoint now) {
    AnswersSinceLimitReached = 0;
    LimitReached = Limit;
    LimitReachedAt = now;
  }

  /// Maximum number of statements in progress.
  [[nodiscard]] double limit() const;
  /// Whether the limit is that of a server in its start phase or of one whose answers failed.
  [[nodiscard]] bool restrained() const { return Starting || Isolated; }
  [[nodiscard]] bool isolated() const { return Isolated; }
  /// Median of the recent durations, as a measure for other servers. Returns nullopt if there are too few, or
  /// none is recent.
  [[nodiscard]] std::optional<Duration> duration(TimePoint now) const;
  /// Share of failed answers. Returns nullopt if there are too few answers.
  [[nodiscard]] std::optional<double> failureShare() const;
  /// Whether a statement that was abandoned after this time counts as a failure: only if the server or its
  /// peers usually answer in a fraction of it.
  [[nodiscard]] bool countsAsSilence(Duration waited, std::optional<Duration> typical, TimePoint now) const;

  /// Initial and maximum limit of a server that is not in a start phase.
  static constexpr double MaxLimit = 64;
  static constexpr double StartLimit = 2;

private:
  [[nodiscard]] PaceChange lower(TimePoint now);
  [[nodiscard]] PaceChange adjustStart(std::optional<Duration> typical, TimePoint now);
  void recordAnswer(bool failed);
  [[nodiscard]] std::optional<Duration> latestDuration() const;

  double Limit = MaxLimit;
  bool Starting = false;
  bool Isolated = false;
  std::size_t SuccessesInRow = 0;
  std::size_t Failures = 0; ///< Number of failures in Answers.
  /// Successful answers to statements that were sent after a statement could not start for the last time.
  std::size_t AnswersSinceLimitReached = 0;
  double LimitReached = StartLimit; ///< The limit at that time.
  TimePoint LimitReachedAt;
  std::vector<bool> Answers;       ///< The last answers; true for a failure.
  std::vector<Duration> Durations; ///< The last comparable durations.
  TimePoint MeasuredAt;
  TimePoint RestrainedAt; ///< Time of the last start or isolation.
  std::optional<TimePoint> LoweredAt;
};

} // namespace rosemaryhinge
