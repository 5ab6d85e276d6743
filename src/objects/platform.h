// Makes the adapter for the platform's object API.

#pragma once

#include "metrics/imetrics.h"
#include "objects/iplatform.h"

#include <asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>

namespace rosemaryhinge {

struct PlatformOptions {
  std::string Url; ///< Without a path, such as http://10.0.0.1:7000.
  /// Added to the timeout of a watch, which the platform itself ends.
  std::chrono::milliseconds WatchGrace{500};
  std::size_t MaxRunning = 256;
  std::size_t MaxQueued = 4'096;
};

/// The loop and the metrics must outlive the adapter, and the loop may not run after its end.
[[nodiscard]] std::unique_ptr<IPlatform> makePlatform(asio::io_context &io, PlatformOptions options,
                                                      IMetrics &metrics);

} // namespace rosemaryhinge
