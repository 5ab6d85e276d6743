// Number of bytes allocated and not freed, counted by replaced operator new and delete.

#pragma once

#include <cstddef>

namespace rosemaryhinge::bench {

[[nodiscard]] std::size_t bytesHeld();

} // namespace rosemaryhinge::bench
