// Calls to the platform's object API.

#pragma once

#include "protocol/platform.h"

#include <functional>

namespace rosemaryhinge {

class IPlatform {
public:
  virtual ~IPlatform() = default;

  using Handler = std::function<void(PlatformAnswer)>;

  /// The handler is called exactly once, later than this call; after stop() not at all.
  virtual void call(const PlatformCall &effect, Handler handler) = 0;
  virtual void stop() = 0;
};

} // namespace rosemaryhinge
