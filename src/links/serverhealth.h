// What this proxy's own connections tell about a server: silence, refusals, and how long it takes.

#pragma once

#include "base/time.h"
#include "protocol/link.h"

#include <optional>

namespace rosemaryhinge {

class ServerHealth {
public:
  void sent(TimePoint now);
  /// An answer came, sent for at a time. Outstanding: whether others are still awaited.
  void received(TimePoint now, bool outstanding);
  /// A link could not be opened or ended.
  void failed(LinkFailure why, TimePoint now, bool outstanding);
  /// Nothing is awaited any more, without an answer: the waiting was given up.
  void abandoned(TimePoint now);
  /// A proxy that lends connections to the server says that it does not answer there.
  void onReportedSilent(TimePoint now) { ReportedSilentAt = now; }
  /// How long a statement took, without the time on the network.
  void recordDuration(Duration value);

  /// How long the server has left this proxy without any answer while one was due. Zero if none is due.
  [[nodiscard]] Duration silence(TimePoint now) const;
  /// The server is not to be chosen where another can serve.
  [[nodiscard]] bool suspect(TimePoint now) const;
  /// The server's address refuses connections since this time: its process is down.
  [[nodiscard]] std::optional<TimePoint> refusedSince(TimePoint now) const;
  [[nodiscard]] Duration smoothedDuration() const { return SmoothedDuration; }

  /// Silence after which a server is suspect. Above the longest work of the deployments, 270 ms, with its
  /// queueing.
  static constexpr Duration SuspectAfter = 500ms;
  /// A failure says nothing any more once it is this old and nothing was tried since.
  static constexpr Duration FailureValidity = 2s;
  /// What another proxy has told of the server counts for this long.
  static constexpr Duration SilenceReportValidity = 200ms;

private:
  [[nodiscard]] bool failedRecently(TimePoint now) const {
    return FailingSince && now - FailedAt < FailureValidity;
  }

  std::optional<TimePoint> UnansweredSince; ///< No answer since, while one is due.
  std::optional<TimePoint> FailingSince;
  TimePoint FailedAt; ///< Last attempt that failed, while FailingSince is set.
  std::optional<TimePoint> RefusedSince;
  std::optional<TimePoint> ReportedSilentAt;
  Duration SmoothedDuration = 15ms; ///< Smoothed.
};

} // namespace rosemaryhinge
