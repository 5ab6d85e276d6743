// Token bucket that bounds retries to a share of the requests.

#pragma once

#include <algorithm>

namespace rosemaryhinge {

class RetryBudget {
public:
  /// A request came in; it earns a share of a retry.
  void add(double share) { Tokens = std::min(Burst, Tokens + share); }
  bool take() {
    if (Tokens < 1)
      return false;
    Tokens -= 1;
    return true;
  }

private:
  /// Retries that may follow at once after a fault, such as the loss of one slot's 20 connections.
  static constexpr double Burst = 20;
  double Tokens = Burst;
};

} // namespace rosemaryhinge
