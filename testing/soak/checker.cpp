// Recording of violations.

#include "soak/checker.h"

namespace rosemaryhinge::soak {

namespace {
/// Violations kept per checker and run; the first one is what matters.
constexpr std::size_t MaxKept = 5;
} // namespace

void Checker::fail(const std::string &detail) {
  World.trace("VIOLATION " + Name + ": " + detail);
  if (Found.size() < MaxKept)
    Found.push_back({Name, detail, World.Queue.now()});
}

} // namespace rosemaryhinge::soak
