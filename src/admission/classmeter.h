// Measured durations of one request class.

#pragma once

#include "base/time.h"
#include "protocol/policy.h"

#include <array>
#include <cstddef>
#include <optional>

namespace rosemaryhinge {

class ClassMeter {
public:
  void record(Duration took);
  /// None before enough durations were measured.
  [[nodiscard]] std::optional<Duration> p50() const;
  /// Duration at low load. None as for p50().
  [[nodiscard]] std::optional<Duration> baseline() const { return Baseline; }
  /// Expected duration; a default before the first measurements.
  [[nodiscard]] Duration expected() const;
  /// Lane of the class: declared long, or measured to be.
  [[nodiscard]] Lane lane(Lane declared, Duration longAfter);

private:
  static constexpr std::size_t WindowSize = 15;
  static constexpr std::size_t MinSamples = 5;

  std::array<Duration, WindowSize> Window{};
  std::size_t Count = 0; ///< Durations noted since the start.
  std::optional<Duration> Baseline;
  bool MovedToLong = false;
};

} // namespace rosemaryhinge
