// Counters and states of the stand-in as JSON.

#pragma once

#include <string>

namespace rosemaryhinge::standin {

class World;

[[nodiscard]] std::string formatStats(World &world);

} // namespace rosemaryhinge::standin
