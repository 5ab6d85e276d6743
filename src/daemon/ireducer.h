// The decision logic as the loop uses it.

#pragma once

#include "protocol/effect.h"
#include "protocol/event.h"

#include <optional>

namespace rosemaryhinge {

class IReducer {
public:
  virtual ~IReducer() = default;

  [[nodiscard]] virtual Effects apply(const Event &event, TimePoint now) = 0;
  [[nodiscard]] virtual std::optional<TimePoint> nextTimer() const = 0;
  [[nodiscard]] virtual bool ready() const = 0;
};

} // namespace rosemaryhinge
