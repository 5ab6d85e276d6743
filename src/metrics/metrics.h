// Counters and summaries, written as Prometheus text.

#pragma once

#include "base/reason.h"
#include "metrics/imetrics.h"

#include <cstddef>
#include <map>
#include <memory>
#include <string>

namespace rosemaryhinge {

namespace detail {
struct Summary;
}

class Metrics : public IMetrics {
public:
  /// Every refusal and retry reason has its counter from the start, at zero.
  Metrics();
  ~Metrics() override;

  void count(std::string_view name, double value = 1) override;
  void observe(std::string_view name, Duration value) override;
  void countRefusal(RefusalReason reason);
  void countRetry(RetryReason reason);
  /// Value of a counter; 0 if nothing was counted.
  [[nodiscard]] double value(std::string_view name) const;
  /// Prometheus text format 0.0.4. Durations are in seconds.
  [[nodiscard]] std::string text() const;

  /// Bound on distinct names; what exceeds it is counted in metrics_dropped_total.
  static constexpr std::size_t MaxNames = 10'000;

private:
  std::map<std::string, double, std::less<>> Counters;
  std::map<std::string, std::unique_ptr<detail::Summary>, std::less<>> Summaries;
  double Dropped = 0;
};

} // namespace rosemaryhinge
