// The real decision logic behind IReducer.

#pragma once

#include "daemon/ireducer.h"
#include "reducer/reducer.h"

namespace rosemaryhinge::detail {

class ReducerAdapter : public IReducer {
public:
  explicit ReducerAdapter(NodeConfig self) { Logic.Self = std::move(self); }

  [[nodiscard]] Effects apply(const Event &event, TimePoint now) override {
    return reduce(Logic, event, now);
  }
  [[nodiscard]] std::optional<TimePoint> nextTimer() const override {
    return rosemaryhinge::nextTimer(Logic);
  }
  [[nodiscard]] bool ready() const override { return isReady(Logic); }

private:
  State Logic;
};

} // namespace rosemaryhinge::detail
