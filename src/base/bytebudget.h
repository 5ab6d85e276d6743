// Bytes that connections or sessions hold, against a budget for all of them.

#pragma once

#include <algorithm>
#include <cstddef>
#include <unordered_map>
#include <utility>
#include <vector>

namespace rosemaryhinge {

template <typename Id> class ByteBudget {
public:
  explicit ByteBudget(std::size_t limit) : Limit(limit) {}

  void setLimit(std::size_t limit) { Limit = limit; }
  /// Records what a holder holds now.
  void set(const Id &id, std::size_t bytes) {
    if (bytes == 0) {
      if (const auto it = Held.find(id); it != Held.end()) {
        Total -= it->second;
        Held.erase(it);
      }
      return;
    }
    auto &held = Held[id];
    Total += bytes;
    Total -= held;
    held = bytes;
  }
  [[nodiscard]] std::size_t total() const { return Total; }
  /// The largest holders whose removal brings the total down to three quarters of the limit, so that not each
  /// further byte removes one. Empty while the total is within the limit.
  [[nodiscard]] std::vector<Id> excess() const {
    std::vector<Id> out;
    if (Total <= Limit)
      return out;
    std::vector<std::pair<std::size_t, Id>> largest;
    largest.reserve(Held.size());
    for (const auto &[id, bytes] : Held)
      largest.emplace_back(bytes, id);
    std::sort(largest.begin(), largest.end(), [](const auto &a, const auto &b) { return a.first > b.first; });
    auto total = Total;
    for (auto it = largest.begin(); it != largest.end() && total > Limit / 4 * 3; ++it) {
      total -= it->first;
      out.push_back(it->second);
    }
    return out;
  }

private:
  std::size_t Limit;
  std::size_t Total = 0;
  std::unordered_map<Id, std::size_t> Held; ///< No zeros.
};

} // namespace rosemaryhinge
