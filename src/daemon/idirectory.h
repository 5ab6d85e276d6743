// Calls to the platform's store and duties, for proxies whose callers keep sessions.

#pragma once

#include "protocol/directory.h"

#include <functional>

namespace rosemaryhinge {

class IDirectory {
public:
  virtual ~IDirectory() = default;

  /// Each handler is called exactly once, later than the call; after stop() not at all.
  virtual void call(const DirectoryCall &effect, std::function<void(DirectoryAnswer)> handler) = 0;
  virtual void promote(const PromotionCall &effect, std::function<void(PromotionAnswer)> handler) = 0;
  virtual void stop() = 0;
};

} // namespace rosemaryhinge
