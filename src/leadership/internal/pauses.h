// Times of a change of primary that several steps share.

#pragma once

#include "base/time.h"

#include <cstddef>

namespace rosemaryhinge::detail {

/// Pause before an attempt is repeated.
inline constexpr Duration RetryDelay = 400ms;
/// Pause after a change, or an attempt that proved needless, before the next one of the same service.
inline constexpr Duration MinChangeInterval = 2s;
/// An order that cannot be undone is sent only if the store has confirmed the claim since this long.
inline constexpr Duration MaxClaimAge = 900ms;

/// The first proxies in rendezvous order claim one after the other, the remaining ones at random times after
/// them: most find the change done by then.
inline constexpr std::size_t FirstClaimants = 8;

/// Replicas that receive nothing for this long, while commits wait, have lost the primary. Above the usual
/// lag of the network between regions.
inline constexpr Duration ReplicationStallTime = 200ms;

} // namespace rosemaryhinge::detail
