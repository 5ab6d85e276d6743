// Checker of graceful_shutdown.

#pragma once

#include "soak/checker.h"

#include <map>
#include <set>
#include <utility>

namespace rosemaryhinge::soak {

/// A proxy that ends gracefully has answered every request and has no statement running.
class GracefulShutdown : public Checker {
public:
  explicit GracefulShutdown(fakes::Fleet &fleet) : Checker(fleet, "graceful_shutdown") {}

  void onBeforeEvent(const fakes::FakeProxy &proxy, const Event &event) override;
  void onRequestArrived(const fakes::FakeProxy &proxy, RequestId id,
                        const fakes::Submission &submission) override;
  void onEffect(const fakes::FakeProxy &proxy, const Effect &effect) override;
  void onProxyEnded(const fakes::FakeProxy &proxy, bool graceful) override;

  [[nodiscard]] std::size_t completed() const { return Completed; }

private:
  struct Work {
    std::set<std::pair<NodeId, std::uint64_t>> Forwarded;
    std::set<std::pair<NodeId, std::uint64_t>>
        Answered;                                ///< Forwarded requests that this process has answered.
    std::map<std::uint64_t, bool> ArrivedBefore; ///< Whole transactions taken in before the shutdown.
  };
  std::map<std::size_t, Work> Proxies;
  std::size_t Completed = 0;
};

} // namespace rosemaryhinge::soak
