// Comparison of refusals with the log at the end.

#include "soak/truenotrun.h"

namespace rosemaryhinge::soak {

void TrueNotRun::onAnswered(const fakes::Submission &submission, const Answer &answer) {
  const auto *refusal = std::get_if<Refusal>(&answer);
  if (refusal != nullptr && refusal->Ran == Ran::NotRun && submission.What->Write)
    Claims[{submission.What->Tag, submission.Try}] = {submission.What->Database,
                                                      std::string(toString(refusal->Reason))};
}

void TrueNotRun::atEnd() {
  for (const auto &[claim, where] : Claims) {
    const auto *group = World.group(where.first);
    const auto *primary = group == nullptr ? nullptr : group->primary();
    if (primary != nullptr && primary->contains(claim.first) && primary->tryOf(claim.first) == claim.second)
      fail("operation " + claim.first + " try " + std::to_string(claim.second) + " was refused as not_run (" +
           where.second + ") and is in the log of " + primary->name().str());
  }
}

} // namespace rosemaryhinge::soak
