// Limits on what callers' connections may hold, and the accounting for them. Needs no network.

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace rosemaryhinge {

struct CallerLimits {
  std::size_t MaxSessions = 3'000;
  /// Bytes of all connections that were received and not answered yet.
  std::size_t ReceivedBytes = std::size_t{32} << 20;
  /// Bytes of the answers of all connections that were not accepted by their callers yet.
  std::size_t UnreadBytes = std::size_t{32} << 20;
  /// Answers that one caller does not read; beyond it its connection is closed.
  std::size_t MaxUnsent = std::size_t{4} << 20;
  std::chrono::milliseconds SessionStart{10'000}; ///< From the connection to the start of its session.
  std::chrono::milliseconds Message{15'000};      ///< From the first byte of a message to its last one.
  std::chrono::milliseconds Answer{15'000}; ///< For which a caller may accept none of its pending answer.
  std::chrono::milliseconds CheckInterval{1'000}; ///< Between two checks of the three times above.
};

/// Limits for a process with this much memory and this many descriptors; empty: not known.
[[nodiscard]] CallerLimits callerLimits(std::optional<std::uint32_t> memoryMb,
                                        std::optional<std::uint32_t> maxDescriptors);

/// What one connection has sent that is not answered yet.
class ReceivedStatements {
public:
  /// A statement that was passed on. Its answers come in the order of the statements.
  void passedOn(std::size_t bytes);
  void answered();
  /// Bytes of statements that were passed on.
  [[nodiscard]] std::size_t bytes() const { return Bytes; }
  /// Whether a further statement may be passed on, and bytes may be read.
  [[nodiscard]] bool belowLimits() const;

  static constexpr std::size_t MaxBytes = std::size_t{256} << 10;
  static constexpr std::size_t MaxStatements = 32;

private:
  std::deque<std::size_t> Sizes;
  std::size_t Bytes = 0;
};

/// Counts the checks for which a condition has held without a break. Time for which the process is suspended
/// counts as one check, so that callers are not closed for it.
class ConditionAge {
public:
  void reset() { Checks = 0; }
  /// Called at each check. Returns whether the condition has held for longer than the time.
  [[nodiscard]] bool exceeds(bool holds, std::chrono::milliseconds time, std::chrono::milliseconds interval) {
    Checks = holds ? Checks + 1 : 0;
    return (Checks - 1) * interval >= time;
  }

private:
  int Checks = 0;
};

/// Decides when free memory is given back to the system: once usage has fallen to half of its peak and stays
/// there until the next check, by when the statements of closed connections are gone as well.
class MemoryRelease {
public:
  /// Called at each check with the bytes in use. Returns whether to release now.
  [[nodiscard]] bool due(std::size_t inUse);

  /// A lower peak is not worth the work.
  static constexpr std::size_t MinPeakBytes = std::size_t{4} << 20;

private:
  std::size_t Peak = 0;
  bool Fell = false; ///< At the last check.
};

} // namespace rosemaryhinge
