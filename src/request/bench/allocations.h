// Bytes that the program holds, counted by replaced allocation functions.

#pragma once

#include <cstddef>

namespace rosemaryhinge::bench {

[[nodiscard]] std::size_t bytesHeld();

} // namespace rosemaryhinge::bench
