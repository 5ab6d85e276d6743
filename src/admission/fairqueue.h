// Queue that shares capacity fairly between callers: deficit round robin by expected cost.

#pragma once

#include "admission/work.h"

#include <cstddef>
#include <list>
#include <optional>
#include <unordered_map>
#include <vector>

namespace rosemaryhinge {

class FairQueue {
public:
  void push(Work work);
  std::optional<Work> pop();
  bool remove(const CallerId &caller, std::uint64_t id);
  std::vector<Work> clear();

  [[nodiscard]] std::size_t size() const { return Size; }
  [[nodiscard]] bool empty() const { return Size == 0; }
  /// Requests that run before one that this caller would add now, at equal costs.
  [[nodiscard]] std::size_t ahead(const CallerId &caller) const;

private:
  struct Share {
    std::list<Work> Works;
    Duration Deficit{};
  };
  using Shares = std::unordered_map<CallerId, Share>;

  std::list<CallerId> Round; ///< Callers with work, in order of their turns.
  Shares ByCaller;           ///< Exactly the callers of Round, none with an empty list.
  std::size_t Size = 0;      ///< Sum over ByCaller.
};

} // namespace rosemaryhinge
