// The last events, kept for the log of a violated invariant.

#pragma once

#include "protocol/event.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace rosemaryhinge::detail {

class Trail {
public:
  static constexpr std::size_t Size = 64;

  void add(const Event &event, TimePoint now);
  /// One line per event, oldest first. No statement texts.
  [[nodiscard]] std::vector<std::string> lines() const;

private:
  struct Entry {
    TimePoint At;
    const char *Kind = "";
    std::uint64_t Number = 0; ///< Request, connection or call.
    std::string Where;        ///< Database, server or node.
    const char *Detail = "";
  };
  static Entry describe(const Event &event);

  std::vector<Entry> Entries; ///< A ring once it has Size entries.
  std::size_t Next = 0;
};

} // namespace rosemaryhinge::detail
