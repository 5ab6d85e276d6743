// Token bucket with whole tokens, in the time of events.

#pragma once

#include "base/time.h"

#include <algorithm>
#include <cstdint>

namespace rosemaryhinge::detail {

class TokenBucket {
public:
  explicit TokenBucket(TimePoint now, double tokens = 0) : Tokens(tokens), FilledAt(now) {}

  /// \param rate Tokens a second.
  /// \param capacity Tokens that an unused bucket holds.
  void setLimits(double rate, double capacity, TimePoint now) {
    fill(now);
    Rate = rate;
    Capacity = capacity;
    Tokens = std::min(Tokens, Capacity);
  }
  /// Takes as many tokens as there are, up to a number, and leaves a reserve.
  std::uint32_t take(std::uint32_t wanted, double reserve, TimePoint now) {
    fill(now);
    const double available = std::max(0.0, Tokens - reserve);
    const auto out = static_cast<std::uint32_t>(std::min<double>(wanted, available));
    Tokens -= out;
    return out;
  }
  /// Adds tokens, as far as the bucket holds them.
  void put(std::uint32_t tokens, TimePoint now) {
    fill(now);
    Tokens = std::min(Capacity, Tokens + tokens);
  }
  /// Time until a number of tokens is available; `longest` if that takes longer.
  [[nodiscard]] Duration timeUntil(std::uint32_t tokens, Duration longest, TimePoint now) const {
    const double elapsed = seconds(std::max(Duration{}, now - FilledAt));
    const double missing = tokens - std::min(Capacity, Tokens + Rate * elapsed);
    if (missing <= 0)
      return {};
    if (missing >= Rate * seconds(longest))
      return longest;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(missing / Rate));
  }
  [[nodiscard]] double capacity() const { return Capacity; }
  [[nodiscard]] double tokens() const { return Tokens; }

private:
  static double seconds(Duration it) { return std::chrono::duration<double>(it).count(); }
  void fill(TimePoint now) {
    if (now <= FilledAt)
      return;
    Tokens = std::min(Capacity, Tokens + Rate * seconds(now - FilledAt));
    FilledAt = now;
  }

  double Rate = 0;
  double Capacity = 0;
  double Tokens = 0; ///< At FilledAt; never more than Capacity.
  TimePoint FilledAt;
};

} // namespace rosemaryhinge::detail
