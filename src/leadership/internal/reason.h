// Why a service needs another primary.

#pragma once

#include "catalog/catalog.h"
#include "links/linkpool.h"
#include "sessions/sessionsmodule.h"

#include <optional>
#include <string>
#include <string_view>

namespace rosemaryhinge::detail {

enum class ReasonKind : std::uint8_t {
  NoPrimary,        ///< No server is known to lead.
  Refused,          ///< The primary's process is down.
  Silent,           ///< The primary does not answer this proxy.
  WritesUnanswered, ///< The primary does not answer commits: no replica receives them.
  Leaving,          ///< The primary is about to stop.
  OrderOutstanding, ///< A promotion may still be carried out, although its reason is gone.
  FenceLeft, ///< The holder of a claim that has fenced the commits is silent: its order may be outstanding.
  ReplicasPaused, ///< No change: replicas that an earlier one paused have to be resumed.
};
/// Name in metrics.
[[nodiscard]] std::string_view toString(ReasonKind kind);

struct ChangeReason {
  ReasonKind Kind = ReasonKind::NoPrimary;
  std::string Why;
  TargetId From; ///< The primary to be replaced; empty if none is known.

  /// Nobody can write meanwhile.
  [[nodiscard]] bool writesUnavailable() const {
    return Kind != ReasonKind::Leaving && Kind != ReasonKind::ReplicasPaused;
  }
  /// The primary may be well, and only this proxy's way to it may be broken: replicas that receive from it
  /// tell.
  [[nodiscard]] bool needsConfirmation() const {
    return Kind == ReasonKind::Silent || Kind == ReasonKind::WritesUnanswered;
  }
  /// An answer of the primary refutes the reason.
  [[nodiscard]] bool refutedByAnswer() const {
    return Kind == ReasonKind::Silent || Kind == ReasonKind::Refused;
  }
};

/// None while the primary answers and stays. Since: since when the present primary, or the lack of one, is
/// known. What a server did before it became the primary does not count.
[[nodiscard]] std::optional<ChangeReason> reasonToChange(const DatabaseId &service, const Catalog &catalog,
                                                         const LinkPool &links,
                                                         const SessionsModule &sessions, TimePoint since,
                                                         TimePoint now);

} // namespace rosemaryhinge::detail
