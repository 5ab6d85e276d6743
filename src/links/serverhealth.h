// Health of a server: missing replies, refused connections and statement durations. Observed on this proxy's
// own connections and reported by lenders.

#pragma once

#include "base/time.h"
#include "protocol/link.h"

#include <optional>

namespace rosemaryhinge {

class ServerHealth {
public:
  void sent(TimePoint now);
  /// Records a reply or an opened link.
  /// \param outstanding Whether other replies are still pending.
  void received(TimePoint now, bool outstanding);
  /// Records that a link could not be opened or was lost.
  void failed(LinkFailure why, TimePoint now, bool outstanding);
  /// Records that the proxy gave up waiting for the last pending reply.
  void abandoned(TimePoint now);
  /// Records a lender's report that the server does not reply to it.
  void onReportedSilent(TimePoint now) { ReportedSilentAt = now; }
  /// Records the duration of a statement, excluding network time.
  void recordDuration(Duration value, TimePoint now);

  /// Time for which the server has sent no reply while one was pending, or for which attempts have failed.
  /// Zero if no reply is pending and no recent attempt has failed.
  [[nodiscard]] Duration silence(TimePoint now) const;
  /// When the server last replied or accepted a link.
  [[nodiscard]] std::optional<TimePoint> lastReplyAt() const { return LastReplyAt; }
  /// Whether the server should be avoided if another one can serve the request.
  [[nodiscard]] bool suspect(TimePoint now) const;
  /// Time since which the server's address has refused connections, which means that the server process is
  /// down.
  [[nodiscard]] std::optional<TimePoint> refusedSince(TimePoint now) const;
  /// Smoothed duration of statements. Without new measurements it returns to InitialDuration, so that a
  /// server that was slow gets work again.
  [[nodiscard]] Duration smoothedDuration(TimePoint now) const;

  /// Time without a reply after which a server is suspect. Exceeds the longest statement in the deployments,
  /// 270 ms, with its queueing time.
  static constexpr Duration SuspectAfter = 500ms;
  /// Time after the last failed attempt for which the failure counts.
  static constexpr Duration FailureValidity = 2s;
  /// Time for which a lender's report about the server counts.
  static constexpr Duration SilenceReportValidity = 200ms;
  static constexpr Duration InitialDuration = 15ms;
  /// Without measurements for DurationValidity, half of the difference to InitialDuration is forgotten in
  /// each DurationHalfLife.
  static constexpr Duration DurationValidity = 300ms;
  static constexpr Duration DurationHalfLife = 400ms;

private:
  [[nodiscard]] bool failedRecently(TimePoint now) const {
    return FailingSince && now - FailedAt < FailureValidity;
  }

  std::optional<TimePoint> UnansweredSince; ///< Start of the current wait for a reply, if any.
  std::optional<TimePoint> FailingSince;
  TimePoint FailedAt; ///< Time of the last failed attempt; valid if FailingSince is set.
  std::optional<TimePoint> RefusedSince;
  std::optional<TimePoint> LastReplyAt;
  std::optional<TimePoint> ReportedSilentAt;
  Duration SmoothedDuration = InitialDuration; ///< As of MeasuredAt.
  TimePoint MeasuredAt;
};

} // namespace rosemaryhinge
