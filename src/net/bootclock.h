// Reads CLOCK_BOOTTIME, the clock of the decision logic.

#pragma once

#include "base/time.h"

namespace rosemaryhinge {

[[nodiscard]] TimePoint bootNow();

} // namespace rosemaryhinge
