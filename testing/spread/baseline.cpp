// Figures of the baseline.

#include "spread/baseline.h"

namespace rosemaryhinge::spread {

namespace {

constexpr double StoreReadsPerS = 2000;
constexpr double WatchSeconds = 30;
/// Request and answer headers of a watch.
constexpr double HttpBytes = 600;

double ms(Duration value) { return static_cast<double>(value.count()) / 1000; }

} // namespace

BaselineFigures everyProxyWatches(const FleetOptions &options, Duration changeInterval,
                                  std::size_t objectBytes) {
  auto nodes = static_cast<double>(options.Nodes);
  auto changesPerS = 1000 / ms(changeInterval);
  auto object = static_cast<double>(objectBytes);
  BaselineFigures out;
  // Read and update by the operator's proxy, then the answers to all watches.
  out.InForceMs =
      4 * ms(options.ToStore) + nodes / StoreReadsPerS * 1000 + ms(options.ToStore) + ms(options.Jitter);
  out.BytesPerNodeS = changesPerS * (object + HttpBytes) + (object + HttpBytes) / WatchSeconds;
  out.StoreCallsPerS = nodes * (changesPerS + 1 / WatchSeconds);
  return out;
}

} // namespace rosemaryhinge::spread
