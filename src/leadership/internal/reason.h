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
  TargetId From;       ///< The primary to be replaced; empty if none is known.
  bool Urgent = false; ///< Nobody can write meanwhile.
};

/// None while the primary answers and stays. NoPrimarySince: since when none is known.
[[nodiscard]] std::optional<ChangeReason> reasonToChange(const DatabaseId &service, const Catalog &catalog,
                                                         const LinkPool &links, const SessionsModule &sessions,
                                                         std::optional<TimePoint> noPrimarySince, TimePoint now);

} // namespace rosemaryhinge::detail
