// One request of the load, and what came of it.

#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace rosemaryhinge::load {

enum class Kind : std::uint8_t { Write, OwnRead, AgedRead };

/// A kind of work of a deployment's callers.
struct WorkClass {
  std::string Name; ///< Request class, as the settings tree names it.
  Kind Type = Kind::AgedRead;
  double Weight = 0;                   ///< Share of the arrivals; the weights of a mix add up to 1.
  std::uint32_t AgeMs = 0;             ///< Accepted age of the data, for AgedRead.
  std::uint32_t LongMs = 0;            ///< Time that the work spends in the database besides its statements.
  std::vector<std::string> Statements; ///< $N stands for a number that differs between requests.
};

struct Operation {
  const WorkClass *Class = nullptr;
  std::string Database;
  std::uint64_t Number = 0;
  std::uint64_t Session = 0;
  std::string Key; ///< Idempotency key of a write.
};

} // namespace rosemaryhinge::load
