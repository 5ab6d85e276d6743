// Time of the soak: whole milliseconds since the start of the program.

#pragma once

#include <chrono>
#include <cstdint>
#include <thread>

namespace rosemaryhinge::platformsoak {

using Millis = std::int64_t;

inline Millis nowMs() {
  static const auto Start = std::chrono::steady_clock::now();
  const auto since = std::chrono::steady_clock::now() - Start;
  return std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
}

inline Millis unixMs() {
  const auto since = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
}

inline void sleepMs(Millis ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

} // namespace rosemaryhinge::platformsoak
