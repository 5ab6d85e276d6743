// Queue that shares capacity fairly between callers: deficit round robin by expected cost.

#pragma once

#include "admission/admissionrequest.h"

#include <cstddef>
#include <list>
#include <optional>
#include <unordered_map>
#include <vector>

namespace rosemaryhinge {

class FairQueue {
public:
  void push(AdmissionRequest request);
  std::optional<AdmissionRequest> pop();
  bool remove(const CallerId &caller, std::uint64_t id);
  std::vector<AdmissionRequest> clear();

  [[nodiscard]] std::size_t size() const { return Size; }
  [[nodiscard]] bool empty() const { return Size == 0; }
  /// Requests that run before one that this caller would add now, at equal costs.
  [[nodiscard]] std::size_t countAhead(const CallerId &caller) const;

private:
  struct CallerQueue {
    std::list<AdmissionRequest> Requests;
    Duration Deficit{};
  };
  using CallerQueues = std::unordered_map<CallerId, CallerQueue>;

  std::list<CallerId> RoundRobin; ///< Callers with work, in order of their turns.
  CallerQueues ByCaller;          ///< Exactly the callers of Round, none with an empty list.
  std::size_t Size = 0;           ///< Sum over ByCaller.
};

} // namespace rosemaryhinge
