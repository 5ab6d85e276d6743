// Why a service needs another primary.

#pragma once

#include "catalog/catalog.h"
#include "links/linkpool.h"
#include "sessions/sessionsmodule.h"

#include <optional>
#include <string>

namespace rosemaryhinge::detail {

struct ChangeReason {
  std::string Why;
  TargetId From;                  ///< The primary to be replaced; empty if none is known.
  bool WritesUnavailable = false; ///< Nobody can write meanwhile.
  /// The primary may be well, and only this proxy's way to it may be broken: replicas that receive from it
  /// tell.
  bool NeedsConfirmation = false;
};

/// None while the primary answers and stays. Since: since when the present primary, or the lack of one, is
/// known. What a server did before it became the primary does not count.
[[nodiscard]] std::optional<ChangeReason> reasonToChange(const DatabaseId &service, const Catalog &catalog,
                                                         const LinkPool &links,
                                                         const SessionsModule &sessions, TimePoint since,
                                                         TimePoint now);

} // namespace rosemaryhinge::detail
