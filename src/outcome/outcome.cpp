// Implementation of the outcome rules for lost answers.

#include "outcome/outcome.h"

#include <algorithm>

namespace rosemaryhinge {

Outcome outcomeOf(const MarkerRecord &record, std::uint64_t attempt) {
  if (!record.Done)
    return Outcome::DidNotRun;
  return record.Attempt == attempt ? Outcome::TookEffect : Outcome::EarlierAttemptTookEffect;
}

Ran ranWithoutMarker(bool mayHaveRun, bool hasEffects) {
  return mayHaveRun && hasEffects ? Ran::Unknown : Ran::NotRun;
}

bool mayAssumeNotRun(const Rules &rules) { return !rules.TrueNotRun; }

std::uint64_t nextAttempt(const MarkerRecord &record, std::uint64_t attempt) {
  return std::max(record.Attempt, attempt) + 1;
}

} // namespace rosemaryhinge
