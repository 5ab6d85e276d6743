// Check that a healed fleet serves every database again.

#pragma once

#include "soak/checker.h"

#include <vector>

namespace rosemaryhinge::soak {

/// Runs a write and a read on every database; what does not succeed in time is reported as "liveness".
[[nodiscard]] std::vector<Violation> checkLiveness(fakes::Fleet &fleet);

} // namespace rosemaryhinge::soak
