// A small settings tree for tests.

#pragma once

#include <string_view>

namespace rosemaryhinge::testing {

inline constexpr std::string_view SmallTree = R"(settings:
  read.wait: 30ms
groups:
  tuotanto:
    settings:
      deadline.default: 4s
    services:
      merchant-db:
        databases: [merchant-db-1, merchant-db-2]
        settings:
          slots.connections: 20
        classes:
          weighing:
            settings:
              repeatable: true
          settlement:
            settings:
              lane: long
              deadline.default: 1min
)";

} // namespace rosemaryhinge::testing
